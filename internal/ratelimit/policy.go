package ratelimit

import "time"

// policy is how instances divide a limit.
type policy struct {
	// All instances together may keep as many unused tokens as the limit allows in keptTime, and
	// keptTokens more. It bounds how many requests can come at once after a time with little
	// demand. As many instances as keepAll may each keep one.
	keptTime   time.Duration
	keptTokens float64
	keepAll    float64
	// introduction is how long after an instance has learnt of a limit it takes an equal part:
	// others that learn of it at the same time have not told their demand yet.
	introduction time.Duration
	// debt is how many requests may be sent ahead of their tokens.
	debt float64
	// use is the part of the limit that is divided; the rest is left for what instances send at the same
	// time by chance, or do not know of each other.
	use float64
	// cautious instances take a large part only if their demand has been large for some time.
	cautious bool
}

// defaultPolicy is made for a bound over 4 seconds.
var defaultPolicy = policy{keptTime: 1500 * time.Millisecond, keptTokens: 4, introduction: 2 * time.Second, debt: 1, use: 1}

// Option configures a Share.
type Option func(*policy)

// WithinSecond has the limit hold in every second, for up to 1.5 times as many requests as it allows, and 5 more. The
// default holds over 4 seconds. In a second, requests that came together by chance, and unused tokens, count for
// more, so that fewer tokens are divided and kept, and none is lent.
func WithinSecond() Option {
	return func(p *policy) {
		p.keptTime, p.keptTokens, p.keepAll = 100*time.Millisecond, 1, 4
		p.introduction = lowestTime
		p.debt, p.use, p.cautious = 0, 0.6, true
	}
}
