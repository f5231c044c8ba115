// Package retry limits how many requests are sent once more. Every instance limits its repeats to a
// fraction of its own requests and to its share of what all instances have beside that, so that all
// together keep to the sum without a message for each repeat.
package retry

import (
	"math"
	"time"
)

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
	// bucketCount is the number of buckets that are kept. The oldest window that has a repeat in common
	// with the newest bucket begins windowBuckets before it, and the requests of the window before that
	// one count too. The bucket in which a window begins counts for repeats, and not for requests.
	bucketCount = 2 * windowBuckets
)

// Budget is the budget of one service at one instance for requests that are sent once more. It is not
// safe for concurrent use.
//
// In every window the repeats are at most the ratio of half of the requests in that window and the one
// before it, and the reserve. The bound is linear in the requests: if each instance keeps it, the
// repeats of all keep it for the requests of all, however those spread over the instances.
type Budget struct {
	ratio   float64
	reserve float64
	bucket  time.Duration
	counts  [bucketCount]bucketCounts
	newest  int64 // number of the newest bucket since the start of the clock
}

// bucketCounts holds the counters of one bucket.
type bucketCounts struct {
	requests int
	repeats  int
}

// New returns a budget that allows, within every window, the given ratio of the requests in it to be
// repeated, and reserve repeats in addition.
func New(window time.Duration, ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, bucket: max(1, window/windowBuckets)}
}

// SetReserve sets the repeats that are allowed within a window in addition to the ratio.
func (b *Budget) SetReserve(reserve float64) { b.reserve = reserve }

// Request counts a caller's request.
func (b *Budget) Request(now time.Duration) { b.bucketAt(now).requests++ }

// Allow reports whether a request may be sent once more, and counts the repeat if so.
func (b *Budget) Allow(now time.Duration) bool {
	if b.Use(now).left() < 1 {
		return false
	}
	b.bucketAt(now).repeats++
	return true
}

// Use is what a window of a budget holds so far.
type Use struct {
	repeats int
	limit   float64
}

// Repeats returns the repeats in the window.
func (u Use) Repeats() int { return u.repeats }

// left returns how many further repeats the window may have.
func (u Use) left() float64 { return u.limit - float64(u.repeats) }

// Limit returns how many repeats the window may have.
func (u Use) Limit() float64 { return u.limit }

// Use returns what the window holds that allows the fewest further repeats.
func (b *Budget) Use(now time.Duration) Use {
	b.bucketAt(now)
	tightest := Use{limit: math.Inf(1)}
	b.eachWindow(func(u Use) {
		if u.left() < tightest.left() {
			tightest = u
		}
	})
	return tightest
}

// Idle reports whether the budget holds nothing that could still bound a repeat.
func (b *Budget) Idle(now time.Duration) bool {
	b.bucketAt(now)
	return b.counts == [bucketCount]bucketCounts{}
}

// eachWindow calls a function with what each window holds so far that is not over, from the newest on.
func (b *Budget) eachWindow(f func(Use)) {
	repeats, requests := 0, 0
	for number := b.newest; number > b.newest-windowBuckets+1; number-- {
		requests += b.at(number).requests
	}
	for first := b.newest; first >= b.newest-windowBuckets; first-- {
		repeats += b.at(first).repeats
		requests += b.at(first - windowBuckets + 1).requests
		f(Use{repeats: repeats, limit: b.ratio*float64(requests)/2 + b.reserve})
	}
}

// at returns the counts of a bucket that is kept; those before the start of the clock are empty.
func (b *Budget) at(number int64) bucketCounts {
	if number < 0 {
		return bucketCounts{}
	}
	return b.counts[number%bucketCount]
}

// bucketAt advances the window to the given time and returns its newest bucket.
func (b *Budget) bucketAt(now time.Duration) *bucketCounts {
	number := int64(now / b.bucket)
	for b.newest < number {
		b.newest = max(b.newest+1, number-bucketCount)
		b.counts[b.newest%bucketCount] = bucketCounts{}
	}
	return &b.counts[b.newest%bucketCount]
}
