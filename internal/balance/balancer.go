// Package balance chooses the target of a request among those that the platform
// lists. It uses neither clocks nor sockets: the caller passes the current time.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/ratelimit"
	"github.com/vanillaward/vanillaward/internal/target"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of what is concluded from attempts.
const (
	// failureWeight is the weight of the newest request in the failure rate.
	failureWeight = 0.2
	// partitionDuration is how long a failure domain is considered partitioned after one of its
	// targets was unreachable.
	partitionDuration = time.Second
	// suspectDuration is how long an engine that closes a connection is considered to be
	// leaving; after that time its report shows whether it is.
	suspectDuration = 1500 * time.Millisecond
	// leavingGrace is how long a leaving engine may still be sent requests to resume runs
	// whose copies it holds.
	leavingGrace = 1500 * time.Millisecond
	// defaultSlots is used for a target that does not report its number of slots.
	defaultSlots = 4
	// ejectAfter is the number of consecutive failures that eject a target; an unreachable
	// target is ejected at the first one.
	ejectAfter = 2
	// baseEjection is how long a target is ejected after one failure; it doubles with
	// each further consecutive failure.
	baseEjection = 500 * time.Millisecond
	// maxEjection bounds the doubling.
	maxEjection = 4 * time.Second
	// misdirectedEjection is how long an address is not used after another target
	// answered there; it doubles with each further such answer, up to maxMisdirectedEjection.
	misdirectedEjection    = 2 * time.Second
	maxMisdirectedEjection = 5 * time.Minute
)

// Result is how an attempt at a target ended.
type Result int

// Results of attempts.
const (
	// Served means that the target answered.
	Served Result = iota
	// Failed means that the target truncated its answer, did not answer, or answered with an
	// error.
	Failed
	// Unreachable means that no connection could be established.
	Unreachable
	// Full means that the target refused the request because it is at capacity.
	Full
	// Misdirected means that another target now answers at the target's address.
	Misdirected
	// Abandoned means that the attempt ended for a reason that counts neither for nor against
	// the target, for example because the caller left.
	Abandoned
)

// Target is the state of a listed target, including what this instance has in flight there.
type Target struct {
	id             string
	service        string
	address        string
	domain         string
	slots          int
	outside        bool          // not in the subset of its service that this instance keeps
	leaving        bool          // according to the platform's list, which lags
	reportsLeaving bool          // according to the target's own report
	suspectedUntil time.Duration // until when it is considered to be leaving
	leavingSince   time.Duration // since when it is known to be leaving
	startedMs      uint64        // when it started, by its own clock; 0 if unknown
	stated         statements
	room           room
	readySince     time.Duration // since when the list shows it as ready again, after it was leaving or not listed; 0 for all along
	warmupUntil    time.Duration // until when it is warming up, by the list
	fresh          bool          // it has started, or come back, at freshAt
	freshAt        time.Duration
	cold           *ratelimit.Share // in the limit of its service for cold targets; nil for one that is not cold

	open         int     // requests of this instance
	copies       int     // copies of the KV caches of this instance's runs
	failures     int     // consecutive failures
	misdirected  int     // consecutive answers of another target at the address
	failureRate  float64 // moving average, 0 to 1
	prefilling   int     // prompt tokens of this instance that were sent and not answered yet
	load         load
	speed        speed
	peerUse      peerUse
	peerHistory  []placement   // memory that other instances were heard to need; kept where requests wait
	tokens       int           // memory that this instance's requests and copies will need
	copyTokens   int           // the part of tokens that copies need
	uncopied     int           // tokens of this instance's runs here that have no copy
	ejectedUntil time.Duration // until when it is ejected
}

// ID returns the target's identity.
func (t *Target) ID() string { return t.id }

// Service returns the service that the target belongs to.
func (t *Target) Service() string { return t.service }

// Address returns the target's address as ip:port.
func (t *Target) Address() string { return t.address }

// Balancer holds the state of the targets of all services. It is not safe for concurrent
// use.
type Balancer struct {
	domain    string
	random    *rand.Rand
	targets   map[target.Key]*Target
	byID      map[string][]*Target // more than one only if the list has an identity twice
	byService map[string][]*Target
	hasList   bool
	evacuated map[string]bool // failure domains
	subsets   subsets
	// pairs counts this instance's copies by the run's engine and the holder.
	pairs map[pair]int
	// partitionedUntil is the time until which a failure domain is considered partitioned.
	partitionedUntil map[string]time.Duration
	// demand is what this instance wants to send to each service of which a target states a limit.
	demand map[string]*ratelimit.Demand
	// arrivals is what this instance wants to send to each service of engines.
	arrivals map[string]*arrivals
	// parts is the part of a service's engines that this instance chooses among, where that is not all.
	parts map[string]float64
	// pick picks one of several engines; scored is reused by its calls.
	pick   Picker
	scored []Candidate
	// queueArrivals is what this instance sends to each service whose requests wait for capacity.
	queueArrivals map[string]*ratelimit.Demand
	// queued is what waits at other instances.
	queued peersQueued
	// instances is the number of instances that share targets, 0 if unknown, and peersAt when
	// their uses were last heard of.
	instances int
	peersAt   time.Duration
	// peersInterval is the time between the last two times that they were heard of.
	peersInterval time.Duration
	// notices is the mean time, in seconds, from when an engine of a service was known to be leaving
	// until it ended; services of which no engine gave notice are missing.
	notices map[string]float64
	// departed holds the targets that were listed shortly before.
	departed map[target.Key]departedTarget
	// cold holds the limits for cold targets, by service.
	cold map[string]ColdLimit
	// brittle holds the services whose targets state that they are brittle.
	brittle map[string]*brittleness
	// reach is whether connections to the targets of a service can be opened, and reachAll whether
	// connections to any target can; groups and groupAll are the extents of what is listed.
	reach    map[string]*reach
	reachAll reach
	groups   map[string]group
	groupAll group
}

// New returns a balancer for an instance in a failure domain.
func New(domain string, random *rand.Rand, options ...Option) *Balancer {
	b := &Balancer{
		domain: domain, random: random, targets: map[target.Key]*Target{}, byID: map[string][]*Target{}, byService: map[string][]*Target{},
		pairs: map[pair]int{}, partitionedUntil: map[string]time.Duration{}, departed: map[target.Key]departedTarget{},
		demand: map[string]*ratelimit.Demand{}, notices: map[string]float64{}, reach: map[string]*reach{}, brittle: map[string]*brittleness{},
		arrivals: map[string]*arrivals{}, parts: map[string]float64{}, pick: PickByAge, queueArrivals: map[string]*ratelimit.Demand{},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// HasList reports whether a list of targets has been received.
func (b *Balancer) HasList() bool { return b.hasList }

// Update applies a list of targets. The state of a target that stays on the list, or was on
// it shortly before, is kept. A target with the same identity at another address or of another
// service is another one, also if both are listed. One that is listed twice is leaving if
// either entry says so.
func (b *Balancer) Update(list []*wire.Target, now time.Duration) {
	first := !b.hasList
	b.hasList = true
	leaving := map[target.Key]bool{}
	for _, l := range list {
		if l.GetState() != wire.TargetState_TARGET_STATE_READY {
			leaving[target.KeyOf(l)] = true
		}
	}
	next := make(map[target.Key]*Target, len(list))
	b.byID, b.byService = make(map[string][]*Target, len(list)), map[string][]*Target{}
	for _, l := range list {
		key := target.KeyOf(l)
		if next[key] != nil {
			continue
		}
		t := b.listed(l, now)
		if !first && b.targets[key] == nil || t.leaving && !leaving[key] {
			t.appear(l.GetColdMs() > 0, now)
		}
		t.domain = l.GetFailureDomain()
		t.slots = int(l.GetSlots())
		t.setListedLeaving(leaving[key], now)
		t.warmupUntil = now + time.Duration(l.GetColdMs())*time.Millisecond
		next[key] = t
		b.byID[t.id] = append(b.byID[t.id], t)
		b.byService[t.service] = append(b.byService[t.service], t)
	}
	b.rememberDeparted(next, now)
	b.targets = next
	b.chooseSubsets()
	b.countGroups()
	b.updateCold(now)
	maps.DeleteFunc(b.brittle, func(service string, _ *brittleness) bool { return len(b.byService[service]) == 0 })
	maps.DeleteFunc(b.parts, func(service string, _ float64) bool { return len(b.byService[service]) == 0 })
	maps.DeleteFunc(b.arrivals, func(service string, _ *arrivals) bool { return len(b.byService[service]) == 0 })
	maps.DeleteFunc(b.reach, func(service string, _ *reach) bool { return len(b.byService[service]) == 0 })
	maps.DeleteFunc(b.queueArrivals, func(service string, _ *ratelimit.Demand) bool { return len(b.byService[service]) == 0 })
	maps.DeleteFunc(b.demand, func(service string, _ *ratelimit.Demand) bool {
		return b.brittle[service] == nil && b.cold[service].PerSecond == 0 && !slices.ContainsFunc(b.byService[service], func(t *Target) bool { return t.stated.share.Limited() })
	})
}

// Open returns the number of this instance's requests at a target.
func (b *Balancer) Open(t *Target) int { return t.open }

// Choose returns the best target of a service that is not among the avoided ones,
// or nil. Tokens is the memory, in tokens, that a generation needs; 0 for other requests.
// A target that asked to wait is chosen only if there is no other, and once.
func (b *Balancer) Choose(service string, tokens int, avoid []string, now time.Duration) *Target {
	if d := b.demand[service]; d != nil {
		d.Add(now)
	}
	if tokens > 0 {
		defer b.noteArrival(service, now) // this one is not among those that others send
	}
	return b.choose(service, tokens, avoid, now)
}

// CouldTake reports whether Choose would find a target now. It counts no request.
func (b *Balancer) CouldTake(service string, tokens int, avoid []string, now time.Duration) bool {
	return b.choose(service, tokens, avoid, now) != nil
}

func (b *Balancer) choose(service string, tokens int, avoid []string, now time.Duration) *Target {
	if t := b.best(service, tokens, avoid, now, (*Target).accepts); t != nil {
		return t
	}
	return b.best(service, tokens, avoid, now, (*Target).mayBeProbed)
}

// best returns the best of the targets for which allowed returns true and whose limits permit a
// request: one of the subset of the service if there is one.
func (b *Balancer) best(service string, tokens int, avoid []string, now time.Duration, allowed func(*Target, time.Duration) bool) *Target {
	if t := b.bestOf(service, b.candidates(service), tokens, avoid, now, allowed); t != nil {
		return t
	}
	return b.bestOf(service, b.others(service), tokens, avoid, now, allowed)
}

func (b *Balancer) bestOf(service string, candidates []*Target, tokens int, avoid []string, now time.Duration, allowed func(*Target, time.Duration) bool) *Target {
	var best *Target
	bestScore, ties := 0.0, 0
	b.scored = b.scored[:0]
	for _, t := range candidates {
		if !b.usable(t, now) || !allowed(t, now) || !b.withinLimit(t, now) || tokens > 0 && !b.hasRoom(t, tokens, now) || slices.Contains(avoid, t.id) {
			continue
		}
		parts := b.score(t, tokens, now)
		score := parts.Total()
		if tokens > 0 {
			b.scored = append(b.scored, Candidate{target: t, Score: score, Step: t.step(tokens, now)})
			continue
		}
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = t, score, 1
		case score == bestScore:
			if ties++; b.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	if len(b.scored) == 0 {
		return best
	}
	return b.scored[b.pick(b.scored, b.otherInstances(service, now), b.random)].target
}

// ByIdentity returns the listed target with an identity, or nil if there is none or more than one.
func (b *Balancer) ByIdentity(id string) *Target {
	if listed := b.byID[id]; len(listed) == 1 {
		return listed[0]
	}
	return nil
}

func (b *Balancer) isListed(t *Target) bool { return b.targets[t.key()] == t }

// Leaving reports whether a target is leaving or no longer listed.
func (b *Balancer) Leaving(t *Target, now time.Duration) bool {
	return t.isLeaving(now) || !b.isListed(t)
}

// SaysLeaving reports whether a target is known or suspected to be leaving, listed or not.
func (b *Balancer) SaysLeaving(t *Target, now time.Duration) bool { return t.isLeaving(now) }

// isLeaving reports whether a target is known or suspected to be leaving.
func (t *Target) isLeaving(now time.Duration) bool {
	return t.knownLeaving() || now < t.suspectedUntil || now < t.peerUse.suspectedUntil
}

// knownLeaving reports whether the list, the target's report or one of its answers shows that it
// is leaving.
func (t *Target) knownLeaving() bool { return t.leaving || t.reportsLeaving || t.stated.leaving }

// noteLeaving records since when a target is known to be leaving. It is called before the
// knowledge is recorded.
func (t *Target) noteLeaving(now time.Duration) {
	if !t.knownLeaving() {
		t.leavingSince = now
	}
}

// SuspectLeaving marks an engine as possibly leaving because it closes connections. A leaving
// engine does so before its report and the list show that it is leaving. If neither shows
// this, the engine is used again after suspectDuration.
func (b *Balancer) SuspectLeaving(t *Target, now time.Duration) {
	t.suspectedUntil = now + suspectDuration
}

// Resumable reports whether a request may still be sent to the holder of its run's copy. An
// engine is sent no more requests once it has been known to be leaving for leavingGrace.
func (b *Balancer) Resumable(t *Target, now time.Duration) bool {
	if !b.isListed(t) || b.Evacuated(t) || !t.accepts(now) && !t.mayBeProbed(now) || !b.resumableWithinLimit(t, now) {
		return false
	}
	return !t.knownLeaving() || now < t.leavingSince+leavingGrace
}

// AddPrefill adds to the prompt tokens that a target is about to process, or subtracts
// from them with a negative number. Prompts are processed one after another and delay
// the tokens of all other requests there.
func (b *Balancer) AddPrefill(t *Target, tokens int) { t.prefilling += tokens }

// Begin counts a request to a target. Tokens is the memory, in tokens, that a generation
// needs; 0 for other requests.
func (b *Balancer) Begin(t *Target, tokens int, now time.Duration) {
	t.open++
	t.stated.begin(now)
	t.cold.Take()
	if tokens > 0 {
		t.tokens += tokens
		t.load.record(now, tokens, 1)
	}
}

// End records the result of a request that was counted by Begin with the same tokens.
func (b *Balancer) End(t *Target, tokens int, result Result, now time.Duration) {
	t.open--
	t.tokens -= tokens
	t.stated.end()
	if result == Misdirected || result == Unreachable { // the target has not got it
		t.cold.Return()
	}
	if b.queueArrivals[t.service] != nil && (result == Served || result == Full) {
		t.load.ended = append(t.load.ended, placement{at: now, tokens: tokens, requests: 1})
	}
	switch result {
	case Served:
		t.failures, t.misdirected = 0, 0
		t.failureRate -= failureWeight * t.failureRate
	case Failed, Unreachable:
		t.failures++
		t.failureRate += failureWeight * (1 - t.failureRate)
		if result == Unreachable {
			b.NoteUnreachable(t, now)
		}
		if result == Unreachable && t.domain != b.domain {
			b.partitionedUntil[t.domain] = now + partitionDuration
		}
		if result == Unreachable || t.failures >= ejectAfter {
			t.ejectedUntil = now + min(baseEjection<<min(t.failures-1, 3), maxEjection)
		}
	case Full:
		b.noteTurnedAway(t, now)
		t.ejectedUntil = max(t.ejectedUntil, now+baseEjection/2)
	case Misdirected:
		t.ejectedUntil = now + min(misdirectedEjection<<min(t.misdirected, 8), maxMisdirectedEjection)
		t.misdirected++
	}
}
