package balance

import (
	"math"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// reportLag is how much older the state in a report is than the time at which the report
	// was read.
	reportLag = 500 * time.Millisecond
	// reportValid is the age up to which a report is used.
	reportValid = 4 * time.Second
	// unreportedMemory is the fraction of memory assumed to be in use at an engine without
	// a valid report.
	unreportedMemory = 0.3
	// forgetTime is the time over which other instances, and what they want to send to a target
	// with a limit, are forgotten when nothing is heard of them: a new leader has not heard of all
	// yet.
	forgetTime = 2 * time.Second
	// fullMemory is the fraction of an engine's memory, used and reserved, up to which it
	// accepts another generation.
	fullMemory = 1.0
	// waitingCost is added for each request that waits at an engine: a waiting request
	// means that the engine is already at capacity.
	waitingCost = 0.2
)

// load is what an engine reported, and what this instance has sent to it since.
type load struct {
	known    bool
	at       time.Duration // the time that the report describes
	running  int
	waiting  int
	used     int     // tokens
	capacity int     // tokens
	presence float64 // mean number of requests over presenceTime
	recent   []placement
	ended    []placement // requests of this instance that have ended
}

// placement is a request that this instance sent to an engine, or a copy of one of its runs
// there.
type placement struct {
	at       time.Duration
	tokens   int
	requests int // 1 for a request, 0 for a copy
}

// UpdateLoads applies reports of engines. A report includes the placements from before the
// time that it describes, so these are discarded. A report older than the last one is ignored.
func (b *Balancer) UpdateLoads(loads []*wire.Load, now time.Duration) {
	measured := map[string]bool{} // services of which a load states a speed
	for _, l := range loads {
		t := b.ByIdentity(l.GetTarget())
		if t == nil { // not listed, or the report may be that of another one with this identity
			continue
		}
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond - reportLag
		if t.load.known && at < t.load.at {
			continue
		}
		t.noteStart(l.GetStartedMs(), t.load.at, now)
		t.load.notePresence(int(l.GetRunning()+l.GetWaiting()), at)
		t.load.known, t.load.at = true, at
		t.load.running, t.load.waiting = int(l.GetRunning()), int(l.GetWaiting())
		t.load.used, t.load.capacity = int(l.GetUsedTokens()), int(l.GetCapacityTokens())
		t.load.discardBefore(at)
		t.noteSpeed(l, at)
		measured[t.service] = measured[t.service] || l.GetSpeedPermille() > 0
		if l.GetLeaving() {
			t.noteLeaving(now)
			if left := time.Duration(l.GetLeavesMs())*time.Millisecond - (now - at); l.GetLeavesMs() > 0 && !t.reportsLeaving {
				b.noteNotice(t, max(0, left))
			}
		}
		t.reportsLeaving = l.GetLeaving()
	}
	for service := range measured {
		b.compareSpeeds(service, now)
	}
	b.updateCold(now)
}

// record adds a placement.
func (l *load) record(now time.Duration, tokens, requests int) {
	l.recent = append(l.recent, placement{at: now, tokens: tokens, requests: requests})
}

// discardBefore discards the placements from before a time.
func (l *load) discardBefore(before time.Duration) {
	old := func(p placement) bool { return p.at < before }
	l.recent, l.ended = slices.DeleteFunc(l.recent, old), slices.DeleteFunc(l.ended, old)
}

// memory returns the fraction of the engine's memory that would be used with further
// tokens, and whether a valid report exists to compute it from.
func (t *Target) memory(tokens int, now time.Duration) (float64, bool) {
	l := &t.load
	if !l.known || l.capacity == 0 || now-l.at > reportValid {
		return 0, false
	}
	used := l.used
	for _, p := range l.recent {
		used += p.tokens
	}
	used = max(used, t.tokens+t.peerUse.tokens)
	return float64(used+tokens) / float64(l.capacity), true
}

// AtCapacity reports whether, according to valid reports, no engine of a service has the
// memory for a generation that needs the given number of tokens. An engine that accepts such
// a generation processes its prompt, runs out of memory and has to process the prompts of
// other requests again.
func (b *Balancer) AtCapacity(service string, tokens int, now time.Duration) bool {
	known := false
	for _, t := range b.candidates(service) {
		if !b.usable(t, now) || t.asksToWait(now) {
			continue
		}
		memory, ok := t.memory(tokens, now)
		if !ok || memory <= fullMemory {
			return false
		}
		known = true
	}
	return known
}

// LoadState is the state of an engine on which its choice was based.
type LoadState struct {
	// Domain is the engine's failure domain.
	Domain string
	// Known is false without a valid report.
	Known bool
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// UsesAge is the age of what is known of other instances' uses of the engines.
	UsesAge time.Duration
	// InformationAge is the age of what is known of what other instances have sent: from their uses or, if
	// these are older, from reports.
	InformationAge time.Duration
	// Memory is the fraction of the memory that is used or reserved; 0 without a valid report.
	Memory float64
	// Waiting is the number of requests that the report shows as waiting.
	Waiting int
	// Prefilling is the number of prompt tokens in flight to the engine.
	Prefilling int
	// Speed is the engine's speed relative to the median of its service; 1 if it is not known.
	Speed float64
}

// LoadState returns the last known state of a target.
func (b *Balancer) LoadState(t *Target, now time.Duration) LoadState {
	memory, known := t.memory(0, now)
	return LoadState{
		Domain: t.domain, Known: known, ReportAge: now - t.load.at, UsesAge: now - b.peersAt, Memory: memory, Waiting: t.load.waiting,
		Prefilling: t.prefilling + t.peerUse.prefilling, Speed: t.speedAt(now), InformationAge: now - b.usesAt(t.service),
	}
}

// ReportedAt returns when the target made its last load report, 0 without one.
func (t *Target) ReportedAt() time.Duration { return t.load.at }

// batch returns an estimate of the number of requests at the engine.
func (t *Target) batch() int {
	n := t.load.running + t.load.waiting
	for _, p := range t.load.recent {
		n += p.requests
	}
	if t.load.known && t.peerUse.at < t.load.at {
		return max(n, t.open) // the report is newer than what is known of the other instances
	}
	return max(n, t.open+t.peerUse.requests)
}

// noteInstances records that the other instances' uses are heard of, and how many instances there are. It returns the
// part that is left of what was known before and is forgotten over forgetTime.
func (b *Balancer) noteInstances(instances int, now time.Duration) float64 {
	left := math.Exp(-(now - b.peersAt).Seconds() / forgetTime.Seconds())
	b.instances = max(instances, int(left*float64(b.instances)))
	b.peersInterval, b.peersAt = now-b.peersAt, now
	return left
}

// UpdatePeerUses applies the sums of what other instances have in flight at targets, and
// the number of instances.
func (b *Balancer) UpdatePeerUses(uses []*wire.Use, instances int, now time.Duration) {
	left := b.noteInstances(instances, now)
	for _, t := range b.targets {
		t.peerUse = peerUse{at: now, demand: left * t.peerUse.demand}
	}
	b.applyPeerUses(uses, now)
}

// applyPeerUses applies sums of what other instances have in flight at targets.
func (b *Balancer) applyPeerUses(uses []*wire.Use, now time.Duration) {
	for _, u := range uses {
		demand := float64(u.GetLimitedDemand()) / demandUnit
		for _, t := range b.byID[u.GetTarget()] {
			t.peerUse = peerUse{
				at: now, requests: int(u.GetRequests()), tokens: int(u.GetTokens()), prefilling: int(u.GetPrefilling()), copyTokens: int(u.GetCopyTokens()),
				uncopied:       int(u.GetUncopiedTokens()),
				demand:         max(t.peerUse.demand, demand),
				toldDemand:     demand,
				suspectedUntil: now + time.Duration(u.GetSuspectedMs())*time.Millisecond,
			}
		}
	}
	b.recordPeerUses(now)
}

// LocalUses returns what this instance has in flight at targets.
func (b *Balancer) LocalUses(now time.Duration) []*wire.Use {
	var out []*wire.Use
	for _, t := range b.targets {
		suspected := max(0, t.suspectedUntil-now)
		demand := uint32(0)
		if t.stated.share.Limited() || b.isColdLimited(t, now) {
			demand = uint32(b.demandFor(t.service).Rate(now) * demandUnit)
		}
		if t.open > 0 || t.tokens > 0 || t.prefilling > 0 || suspected > 0 || demand > 0 {
			out = append(out, &wire.Use{
				Target: t.id, Requests: uint32(max(0, t.open)), Tokens: uint32(max(0, t.tokens)), Prefilling: uint32(max(0, t.prefilling)),
				SuspectedMs: uint32(suspected.Milliseconds()), CopyTokens: uint32(max(0, t.copyTokens)),
				UncopiedTokens: uint32(max(0, t.uncopied)), LimitedDemand: demand,
			})
		}
	}
	return out
}

// peerUse is what the other instances have in flight at a target.
type peerUse struct {
	at             time.Duration // when that was heard of
	requests       int
	tokens         int
	prefilling     int
	copyTokens     int
	uncopied       int
	demand         float64       // requests a second for a target that states a limit
	toldDemand     float64       // demand as it was told last
	suspectedUntil time.Duration // until when one of these instances considers the target to be leaving
}
