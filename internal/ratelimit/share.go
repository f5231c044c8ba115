// Package ratelimit divides a limit on requests a second among instances that each know their own
// demand and the sum of the others'. It uses neither clocks nor sockets: the caller passes the
// current time.
package ratelimit

import (
	"math"
	"time"
)

const (
	// minLimit is the lowest limit that is kept, in requests a second from all instances. At a
	// lower one, no answer would show that the limit has ended.
	minLimit = 0.1
	// maxSeconds bounds times that follow from a low rate, in seconds.
	maxSeconds = 1e6
)

// Peers is what an instance knows of the others that keep the same limit.
type Peers struct {
	// Known is true if Demand is up to date. Otherwise the instance takes an equal part.
	Known bool
	// Demand is the sum of the others' demand, in requests a second.
	Demand float64
	// Instances is the number of instances, this one included.
	Instances int
}

// fraction returns the part of the limit of an instance with a demand of its own.
func (p Peers) fraction(own float64) float64 {
	if !p.Known || own+p.Demand <= 0 {
		return 1 / float64(max(1, p.Instances))
	}
	return own / (own + p.Demand)
}

// cautiousFraction is fraction for an instance that takes more than an equal part only as far as its demand of
// some time ago justifies it. In a sudden rise each instance knows of its own demand before it knows of the others',
// so that all would take a large part. Whatever they know of each other, all together take at most twice the limit.
func (p Peers) cautiousFraction(own, lowest float64) float64 {
	equal := 1 / float64(max(1, p.Instances))
	if !p.Known || lowest <= 0 {
		return min(equal, p.fraction(own))
	}
	return min(max(equal, p.fraction(lowest)), p.fraction(own))
}

// Share is one instance's part of a limit. A token lets one request pass. It fills at the
// instance's fraction of the limit, and is lost if it is not used for long.
type Share struct {
	policy  *policy       // nil for the default
	limit   float64       // requests a second of all instances together; 0 without a limit
	since   time.Duration // when the limit was set
	tokens  float64       // at most 1; below 0 after requests ahead of their tokens
	at      time.Duration // when tokens was up to date
	demands float64       // Total of the instance's demand then
	full    time.Duration // since when the token is full, if it is
}

// NewShare returns a share without a limit.
func NewShare(options ...Option) *Share {
	p := defaultPolicy
	for _, option := range options {
		option(&p)
	}
	return &Share{policy: &p}
}

// rules returns how the share divides its limit.
func (s *Share) rules() *policy {
	if s.policy == nil {
		return &defaultPolicy
	}
	return s.policy
}

// Set sets the limit, in requests a second. The first token of an instance is partly full, by phase
// from 0 to 1, so that instances which learn of a limit together do not send together.
func (s *Share) Set(limit, phase float64, own *Demand, now time.Duration) {
	if s.limit == 0 {
		s.tokens, s.since, s.at, s.demands = phase, now, now, own.Total(now)
	}
	s.limit = max(minLimit, limit)
}

// Clear ends the limit.
func (s *Share) Clear() { *s = Share{policy: s.policy} }

// Limited reports whether there is a limit.
func (s *Share) Limited() bool { return s != nil && s.limit > 0 }

// Limit returns the limit, in requests a second.
func (s *Share) Limit() float64 { return s.limit }

// Ready reports whether a request may be sent.
func (s *Share) Ready(own *Demand, peers Peers, now time.Duration) bool {
	if s.limit == 0 {
		return true
	}
	s.advance(own, peers, now)
	return s.tokens >= 1
}

// ReadyAhead reports whether a request that cannot wait may be sent ahead of its token.
func (s *Share) ReadyAhead(own *Demand, peers Peers, now time.Duration) bool {
	debt := s.rules().debt
	return s.Ready(own, peers, now) || debt > 0 && s.tokens > -debt
}

// Take counts a request that is sent. A nil share has no limit.
func (s *Share) Take() {
	if s != nil && s.limit > 0 {
		s.tokens--
	}
}

// Return reverts Take for a request that the target has not got.
func (s *Share) Return() {
	if s != nil && s.limit > 0 {
		s.tokens = min(1, s.tokens+1)
	}
}

// Wait returns how long it takes until a request may be sent, if the demand stays the same.
func (s *Share) Wait(own *Demand, peers Peers, now time.Duration) time.Duration {
	if s.Ready(own, peers, now) {
		return 0
	}
	return seconds((1 - s.tokens) / s.rate(own.Rate(now), own, peers, now))
}

// rate returns the tokens a second of this instance with a rate of demand.
func (s *Share) rate(demand float64, own *Demand, peers Peers, now time.Duration) float64 {
	rules := s.rules()
	fraction := peers.fraction(demand)
	if rules.cautious {
		fraction = peers.cautiousFraction(demand, own.Lowest(now))
	}
	return s.limit * rules.use * max(fraction, 1/maxSeconds)
}

// advance fills the token up to a time, by the instance's mean demand since the last time.
func (s *Share) advance(own *Demand, peers Peers, now time.Duration) {
	elapsed := now - s.at
	if elapsed <= 0 {
		return
	}
	peers.Known = peers.Known && now-s.since >= s.rules().introduction
	total := own.Total(now)
	rate := s.rate((total-s.demands)/elapsed.Seconds(), own, peers, now)
	if s.tokens < 1 {
		s.full = s.at + seconds((1-s.tokens)/rate)
	}
	s.at, s.demands = now, total
	if now < s.full {
		s.tokens = 1 - (s.full-now).Seconds()*rate
		return
	}
	s.tokens = 1
	s.loseUnused(rate, peers.Instances, now)
}

// loseUnused replaces a token that was full for too long by one that has begun to fill since.
func (s *Share) loseUnused(rate float64, instances int, now time.Duration) {
	rules := s.rules()
	kept := s.limit*rules.keptTime.Seconds() + rules.keptTokens
	if float64(instances) <= max(kept, rules.keepAll) {
		return
	}
	hold := seconds(kept / s.limit)
	cycle := hold + seconds(1/rate) // from one full token to the next
	s.full += (now - s.full) / cycle * cycle
	if refilling := now - s.full - hold; refilling > 0 {
		s.tokens = min(refilling.Seconds()*rate, math.Nextafter(1, 0))
	}
}

// seconds returns a number of seconds as a duration, at most maxSeconds.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, maxSeconds) * float64(time.Second))
}
