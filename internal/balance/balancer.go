// Package balance chooses the target of a request among those that the platform
// lists. It is a core without clocks or sockets.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Weights and bounds of the choice. A score is a number of busy places divided by
// the places of a target; the lowest is chosen.
const (
	// abroadCost is added for a target in another failure domain: it costs
	// traffic, and a partition would cut the request.
	abroadCost = 0.5
	// failureCost is added for a target of which every recent request failed.
	failureCost = 2.0
	// coldCost is added for a target that has just started.
	coldCost = 0.25
	// failureWeight is the weight of the newest request in the failure rate.
	failureWeight = 0.2
	// prefillUnit is the number of tokens of prompts at an engine, sent and not
	// answered, that counts as much as all of its places.
	prefillUnit = 8000
	// batchWeight is the weight of an engine's batch: more requests slow its steps a
	// little.
	batchWeight = 0.3
	// roomy is the part of an engine's memory up to which memory does not matter, and
	// memoryCost what counts beyond it.
	roomy      = 0.6
	memoryCost = 3.0
	// copyAbroad is added for a holder of a copy in another failure domain than the
	// run: the copy takes twice as long.
	copyAbroad = 0.15
	// pairCost is added for each other copy that the same engine's runs have there: when
	// that engine ends, all of them go on at once.
	pairCost = 0.1
	// cutOffCost is added for the targets of a failure domain that is taken for cut off
	// since one of them could not be reached, and cutOffTime is for how long.
	cutOffCost = 1.0
	cutOffTime = time.Second
	// calmCopyRoom and highCopyRoom are the parts of an engine's memory that copies may
	// fill up to, while runs need at most calmPressure, or at least highPressure, of the
	// memory of all engines; refugeRoom is the part for copies of runs whose engine is
	// about to end.
	calmCopyRoom = 0.8
	highCopyRoom = 0.2
	refugeRoom   = 0.97
	// fullMemory is the part of an engine's memory, taken and promised, up to which it
	// takes another generation.
	fullMemory   = 1.0
	calmPressure = 0.7
	highPressure = 0.9
	// spreadPerInstance is the width of the random part of an engine's score for each
	// instance that chooses among the same engines, up to mostSpread: what the others
	// have sent in the last moments is not known yet, and all would choose the same one.
	spreadPerInstance = 0.004
	mostSpread        = 0.3
	// suspicion is how long an engine that ends a connection is taken for leaving; by
	// then its report has told.
	suspicion = 1500 * time.Millisecond
	// leavingGrace is how long an engine that leaves may still be sent requests
	// that only it can go on with.
	leavingGrace = 1500 * time.Millisecond
	// plainSlots stands for the places of a target that does not tell.
	plainSlots = 4
	// ejectAfter is the number of failures in a row that eject a target.
	ejectAfter = 2
	// ejection is how long a target is not chosen; it doubles with each failure.
	ejection = 500 * time.Millisecond
	// longestEjection bounds the doubling.
	longestEjection = 4 * time.Second
	// wrongIdentity is how long an address is not used after another target
	// answered there.
	wrongIdentity = 2 * time.Second
)

// Result is how an attempt at a target ended.
type Result int

// Results of attempts.
const (
	// Served means that the target answered.
	Served Result = iota
	// Failed means that it broke off, did not answer, or failed the request.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Full means that it refused for want of room.
	Full
	// Misdirected means that another target has its address now.
	Misdirected
	// Abandoned tells nothing about the target: the caller left.
	Abandoned
)

// Target is a target as the balancer sees it.
type Target struct {
	id        string
	service   string
	address   string
	domain    string
	slots     int
	leaving   bool          // by the list, which lags
	says      bool          // by its own report
	suspected time.Duration // until when it is taken for leaving
	left      time.Duration // since when it is known to leave
	cold      time.Duration // until when it is slow

	open       int // own requests
	copies     int // copies of own requests' memory
	failures   int // in a row
	rate       float64
	prefilling int // tokens of own prompts that were sent and not answered yet
	load       load
	others     others
	tokens     int           // memory that own requests and copies will need
	copyTokens int           // the part of copies
	ejected    time.Duration // until when
}

// ID returns the target's identity.
func (t *Target) ID() string { return t.id }

// Address returns the target's address as ip:port.
func (t *Target) Address() string { return t.address }

// Domain returns the target's failure domain.
func (t *Target) Domain() string { return t.domain }

// Open returns the number of own requests at the target.
func (t *Target) Open() int { return t.open }

// Balancer knows the targets of all services. It is not safe for concurrent use.
type Balancer struct {
	domain  string
	random  *rand.Rand
	targets map[string]*Target
	byName  map[string][]*Target
	listed  bool
	// pairs counts own copies by the engine of their run and the one that holds them
	pairs map[pair]int
	// spread is the width of the random part of a score
	spread float64
	// cutOff tells until when a failure domain is taken for cut off
	cutOff map[string]time.Duration
}

// pair is the engine of a run and the engine that holds a copy of it.
type pair struct {
	run    string
	holder string
}

// New returns a balancer for an instance in a failure domain.
func New(domain string, random *rand.Rand) *Balancer {
	return &Balancer{
		domain: domain, random: random, targets: map[string]*Target{}, byName: map[string][]*Target{},
		pairs: map[pair]int{}, cutOff: map[string]time.Duration{},
	}
}

// Listed reports whether a list was taken yet.
func (b *Balancer) Listed() bool { return b.listed }

// Update takes a list of targets. What is known of a target that stays is kept;
// a target with the same identity at another address is a new one.
func (b *Balancer) Update(list []*wire.Target, now time.Duration) {
	b.listed = true
	next := make(map[string]*Target, len(list))
	b.byName = map[string][]*Target{}
	for _, l := range list {
		t := b.targets[l.GetId()]
		if t == nil || t.address != l.GetAddress() || t.service != l.GetService() {
			t = &Target{id: l.GetId(), service: l.GetService(), address: l.GetAddress()}
		}
		t.domain = l.GetFailureDomain()
		t.slots = int(l.GetSlots())
		leaving := l.GetState() != wire.TargetState_TARGET_STATE_READY
		if leaving && !t.leaving && !t.says {
			t.left = now
		}
		t.leaving = leaving
		t.cold = now + time.Duration(l.GetColdMs())*time.Millisecond
		next[t.id] = t
		b.byName[t.service] = append(b.byName[t.service], t)
	}
	b.targets = next
}

// Target returns a target by its identity, or nil.
func (b *Balancer) Target(id string) *Target { return b.targets[id] }

// Choose returns the best target of a service that is not among the avoided ones,
// or nil. Tokens is the memory that a generation needs; 0 for other requests.
func (b *Balancer) Choose(service string, tokens int, avoid []string, now time.Duration) *Target {
	var best *Target
	bestScore, ties := 0.0, 0
	for _, t := range b.byName[service] {
		if t.ends(now) || slices.Contains(avoid, t.id) {
			continue
		}
		score := b.score(t, tokens, now)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = t, score, 1
		case score == bestScore:
			if ties++; b.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// ChooseBackup returns the engine that should hold a copy of a run's memory while it
// grows, or nil when none has room.
func (b *Balancer) ChooseBackup(run *Target, tokens int, avoid []string, now time.Duration) *Target {
	return b.chooseHolder(run, tokens, avoid, b.copyRoom(run.service, now), now)
}

// ChooseRefuge returns the engine that should take a copy of a run whose own engine is
// about to end, or nil. Such a copy is needed soon and for a short time, so it gets more
// room.
func (b *Balancer) ChooseRefuge(run *Target, tokens int, avoid []string, now time.Duration) *Target {
	return b.chooseHolder(run, tokens, avoid, refugeRoom, now)
}

// chooseHolder prefers an engine in the run's own failure domain: a partition between
// domains would stop the copying, and it takes twice as long.
func (b *Balancer) chooseHolder(run *Target, tokens int, avoid []string, room float64, now time.Duration) *Target {
	var best *Target
	bestScore := 0.0
	for _, t := range b.byName[run.service] {
		if t.ends(now) || t == run || now < t.ejected || t.load.waiting > 0 || slices.Contains(avoid, t.id) {
			continue
		}
		score, known := t.memory(tokens, now)
		if !known {
			score = unreported + float64(t.open+t.copies)/float64(max(t.slots, plainSlots))
		}
		if score > room {
			continue
		}
		if t.domain != run.domain {
			score += copyAbroad
		}
		score += pairCost * float64(b.pairs[pair{run.id, t.id}])
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// Leaving reports whether a target is about to end, or gone.
func (b *Balancer) Leaving(t *Target, now time.Duration) bool {
	return t.ends(now) || b.targets[t.id] != t
}

// ends reports whether a target is known to leave, or taken for it.
func (t *Target) ends(now time.Duration) bool {
	return t.leaving || t.says || now < t.suspected || now < t.others.suspected
}

// Suspect takes an engine for leaving, since it ends connections: that comes ahead of
// its own report and of the list, which confirm it or let it pass.
func (b *Balancer) Suspect(t *Target, now time.Duration) { t.suspected = now + suspicion }

// Resumable reports whether a request may still be sent to the holder of its copy:
// an engine gets no more requests some time after it is known to leave.
func (b *Balancer) Resumable(t *Target, now time.Duration) bool {
	return b.targets[t.id] == t && (!t.leaving && !t.says || now < t.left+leavingGrace)
}

// HoldCopy counts a copy of a run at a target, DropCopy ends that.
func (b *Balancer) HoldCopy(run, t *Target, tokens int, now time.Duration) {
	b.pairs[pair{run.id, t.id}]++
	t.copies++
	t.tokens += tokens
	t.copyTokens += tokens
	t.load.place(now, tokens, 0)
}

// DropCopy ends what HoldCopy counted.
func (b *Balancer) DropCopy(run, t *Target, tokens int) {
	if key := (pair{run.id, t.id}); b.pairs[key] > 1 {
		b.pairs[key]--
	} else {
		delete(b.pairs, key)
	}
	t.copies--
	t.tokens -= tokens
	t.copyTokens -= tokens
}

// score ranks a target; an ejected one comes after all others, so that it is used
// when there is nothing else.
func (b *Balancer) score(t *Target, tokens int, now time.Duration) float64 {
	score := t.busy(tokens, now) + failureCost*t.rate
	if tokens > 0 {
		score += b.spread * b.random.Float64()
	}
	if t.domain != b.domain {
		score += abroadCost
		if now < b.cutOff[t.domain] {
			score += cutOffCost
		}
	}
	if now < t.cold {
		score += coldCost
	}
	if now < t.ejected {
		score += 100 * failureCost
	}
	return score
}

// busy returns the part of a target's places, or of its memory where that is more,
// that would be taken with another request.
func (t *Target) busy(tokens int, now time.Duration) float64 {
	slots := t.slots
	if slots == 0 {
		slots = plainSlots
	}
	if tokens == 0 {
		return float64(t.open) / float64(slots)
	}
	score := float64(t.prefilling+t.others.prefilling)/prefillUnit + batchWeight*float64(t.batch())/float64(slots) + waitingCost*float64(t.load.waiting)
	if memory, known := t.memory(tokens, now); known && memory > roomy {
		score += memoryCost * (memory - roomy)
	}
	return score
}

// Prefilled counts tokens of a prompt that a target is about to read, and with a
// negative number ends that. Prompts are read one after another, and delay the
// tokens of all other requests there.
func (b *Balancer) Prefilled(t *Target, tokens int) { t.prefilling += tokens }

// Begin counts a request to a target that needs some tokens of memory.
func (b *Balancer) Begin(t *Target, tokens int, now time.Duration) {
	t.open++
	if tokens > 0 {
		t.tokens += tokens
		t.load.place(now, tokens, 1)
	}
}

// End takes the result of a request that was begun with the same tokens.
func (b *Balancer) End(t *Target, tokens int, result Result, now time.Duration) {
	t.open--
	t.tokens -= tokens
	switch result {
	case Served:
		t.failures = 0
		t.rate -= failureWeight * t.rate
	case Failed, Unreachable:
		t.failures++
		t.rate += failureWeight * (1 - t.rate)
		if result == Unreachable && t.domain != b.domain {
			b.cutOff[t.domain] = now + cutOffTime
		}
		if result == Unreachable || t.failures >= ejectAfter {
			t.ejected = now + min(ejection<<min(t.failures-1, 3), longestEjection)
		}
	case Full:
		t.ejected = max(t.ejected, now+ejection/2)
	case Misdirected:
		t.ejected = now + wrongIdentity
	}
}
