package balance

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/ratelimit"
	"github.com/vanillaward/vanillaward/internal/target"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// statements is what a target has said about itself in its answers to this instance. They hold
// until the target starts anew: under another identity or address, or with a later start in a
// report, or when the list shows it again for longer than lists are out of date. Silence, and
// lists and reports from before, do not end them.
type statements struct {
	at      time.Duration // when the last one was made
	leaving bool
	// waitUntil is until when the target wants no requests; 0 if it has not asked, or has
	// accepted enough requests since.
	waitUntil time.Duration
	// probes counts the requests sent before waitUntil.
	probes int
	// credit is the number of requests that may still be sent after waitUntil.
	credit int
	// share is this instance's part of the limit that the target's answers state.
	share ratelimit.Share
}

const (
	// maxProbes is the number of requests that may be sent to a target that asked to wait.
	maxProbes = 1
	// returnCredit is the number of requests that may be sent for each one that a target has
	// accepted after the time for which it asked to get none.
	returnCredit = 2
	// staleListDuration bounds how old a list may be that an instance gets after a newer one.
	staleListDuration = 10 * time.Second
)

func (t *Target) key() target.Key { return target.NewKey(t.id, t.address, t.service) }

// departedTarget is a target that is no longer listed.
type departedTarget struct {
	target *Target
	until  time.Duration
}

// listed returns the state of a target on the list. That of a target which was listed shortly
// before is used again, since an older list can hide a target for a moment.
func (b *Balancer) listed(l *wire.Target, now time.Duration) *Target {
	key := target.KeyOf(l)
	if t := b.targets[key]; t != nil {
		return t
	}
	if d, ok := b.departed[key]; ok && now <= d.until {
		delete(b.departed, key)
		d.target.readySince = now // it may have started anew
		return d.target
	}
	return &Target{id: l.GetId(), service: l.GetService(), address: l.GetAddress()}
}

// rememberDeparted keeps the targets that are not on the next list, and drops those that have
// been kept long enough.
func (b *Balancer) rememberDeparted(next map[target.Key]*Target, now time.Duration) {
	for key, d := range b.departed {
		if now > d.until {
			delete(b.departed, key)
		}
	}
	for key, t := range b.targets {
		if next[key] != t {
			b.departed[key] = departedTarget{target: t, until: now + staleListDuration}
		}
	}
}

// setListedLeaving records whether the list shows the target as leaving.
func (t *Target) setListedLeaving(leaving bool, now time.Duration) {
	switch {
	case leaving:
		t.noteLeaving(now)
		t.readySince = 0
	case t.leaving:
		t.readySince = now
	case t.readySince > 0 && now > t.readySince+staleListDuration:
		t.endStatements(t.readySince)
		t.readySince = 0
	}
	t.leaving = leaving
}

// StateLeaving records that a target has stated that it is leaving. It reports whether this is
// news. Other instances learn of it as of a suspicion, until the report or the list shows it.
func (b *Balancer) StateLeaving(t *Target, now time.Duration) bool {
	t.stated.at = now
	if t.stated.leaving {
		return false
	}
	t.noteLeaving(now)
	t.stated.leaving = true
	b.SuspectLeaving(t, now)
	return true
}

// StateLimit records whether an answer of a target states a limit, and which. It reports whether
// this is news.
func (b *Balancer) StateLimit(t *Target, limited bool, limit float64, now time.Duration) bool {
	s := &t.stated
	before := s.share.Limit()
	if limited {
		s.share.Set(limit, b.random.Float64(), b.demandFor(t.service), now)
		s.at = now
	} else {
		s.share.Clear()
	}
	return s.share.Limit() != before
}

// demandUnit is the number of units in messages that make one request a second.
const demandUnit = 1000

const (
	// peersValid is the age up to which what was heard of other instances' demand is used.
	peersValid = 3 * time.Second
	// unknownInstances is how many instances are assumed to share a limit if it is not known.
	unknownInstances = 16
)

// demandFor returns this instance's demand for a service, which is counted from the first call on.
func (b *Balancer) demandFor(service string) *ratelimit.Demand {
	d := b.demand[service]
	if d == nil {
		d = &ratelimit.Demand{}
		b.demand[service] = d
	}
	return d
}

// peersOf returns what is known of the other instances that keep a target's limit.
func (b *Balancer) peersOf(t *Target, now time.Duration) ratelimit.Peers {
	return ratelimit.Peers{
		Known: b.instances > 0 && now-b.peersAt <= peersValid && !t.outside, Demand: t.peerUse.demand, Instances: b.likelyInstances(),
	}
}

// likelyInstances returns the number of instances that share targets, or what is assumed if it is unknown.
func (b *Balancer) likelyInstances() int {
	if b.instances == 0 {
		return unknownInstances
	}
	return b.instances
}

// withinLimit reports whether the limit that a target states, and that of a cold target, permit another request.
func (b *Balancer) withinLimit(t *Target, now time.Duration) bool {
	return b.withinStatedLimit(t, now) && b.withinColdLimit(t, now)
}

// withinStatedLimit reports whether the limit that a target states permits another request.
func (b *Balancer) withinStatedLimit(t *Target, now time.Duration) bool {
	return !t.stated.share.Limited() || t.stated.share.Ready(b.demandFor(t.service), b.peersOf(t, now), now)
}

// resumableWithinLimit reports whether the limit that a target states, and that of a cold target, permit a
// request that cannot wait.
func (b *Balancer) resumableWithinLimit(t *Target, now time.Duration) bool {
	return b.withinColdLimit(t, now) && b.resumableWithinStatedLimit(t, now)
}

func (b *Balancer) resumableWithinStatedLimit(t *Target, now time.Duration) bool {
	return !t.stated.share.Limited() || t.stated.share.ReadyAhead(b.demandFor(t.service), b.peersOf(t, now), now)
}

// limitWait returns how long it takes until the limit that a target states permits a request.
func (b *Balancer) limitWait(t *Target, now time.Duration) time.Duration {
	if !t.stated.share.Limited() {
		return 0
	}
	return t.stated.share.Wait(b.demandFor(t.service), b.peersOf(t, now), now)
}

// StateWait records that a target wants no requests for a time.
func (b *Balancer) StateWait(t *Target, wait, now time.Duration) {
	s := &t.stated
	s.at = now
	if !s.waiting(now) {
		s.probes = 0
	}
	s.waitUntil = max(s.waitUntil, now+wait)
	s.credit = 1
}

// EarliestReturn returns the time after which the first target of a service wants requests again,
// by the times for which targets asked to wait, by the limits that they state and by the room that
// brittle ones have. It is 0 if a target accepts requests, or if none has asked.
func (b *Balancer) EarliestReturn(service string, now time.Duration) time.Duration {
	var earliest time.Duration
	for _, t := range b.byService[service] {
		if !b.usable(t, now) {
			continue
		}
		wait := max(t.stated.waitUntil-now, b.limitWait(t, now), b.coldWait(t, now), b.waitForRoom(t, now))
		if wait <= 0 {
			return 0
		}
		if earliest == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest
}

func (s *statements) waiting(now time.Duration) bool { return now < s.waitUntil }

// begin counts a request that is sent to the target.
func (s *statements) begin(now time.Duration) {
	s.share.Take()
	switch {
	case s.waiting(now):
		s.probes++
	case s.waitUntil != 0:
		s.credit--
	}
}

// end is called when a request at the target ends. If it was not accepted, another one may be
// sent in its place.
func (s *statements) end() { s.credit = max(1, s.credit) }

// Accepted records that a target has begun to answer a request. After a time for which it asked
// to get none, more requests may be sent with each one that is accepted, and any number once
// these are as many as its slots.
func (b *Balancer) Accepted(t *Target, now time.Duration) {
	s := &t.stated
	if s.waitUntil == 0 || s.waiting(now) {
		return
	}
	if s.credit += returnCredit; s.credit >= max(t.slots, defaultSlots) {
		s.waitUntil = 0
	}
}

// asksToWait reports whether the target wants no requests at present.
func (t *Target) asksToWait(now time.Duration) bool { return t.stated.waiting(now) }

// accepts reports whether another request may be sent to the target, as far as it has said.
func (t *Target) accepts(now time.Duration) bool {
	return t.stated.waitUntil == 0 || !t.asksToWait(now) && t.stated.credit > 0
}

// mayBeProbed reports whether a target that asked to wait may be sent a request nevertheless.
func (t *Target) mayBeProbed(now time.Duration) bool {
	return t.asksToWait(now) && t.stated.probes < maxProbes
}

// endStatements ends the statements of an earlier generation: if the last one was made after a
// time at which that generation may have been over, all are kept.
func (t *Target) endStatements(over time.Duration) {
	if t.stated.at <= over {
		t.stated = statements{}
	}
}

// noteStart records when the target started, as a report states it. A later start than before
// ends the statements made until the time that the last report described; later ones may be of
// the new generation. The speed of the earlier one is forgotten. A report without a start changes nothing.
func (t *Target) noteStart(startedMs uint64, lastReport, now time.Duration) {
	if t.startedMs != 0 && startedMs > t.startedMs {
		t.endStatements(lastReport)
		t.restart(now)
		t.speed = speed{}
	}
	t.startedMs = max(t.startedMs, startedMs)
}
