// Package balance chooses the target of a request among those that the platform
// lists. It is a core without clocks or sockets.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Weights and bounds of the choice. A score is a number of busy places divided by
// the places of a target; the lowest is chosen.
const (
	// abroadCost is added for a target in another failure domain: it costs
	// traffic, and a partition would cut the request.
	abroadCost = 0.15
	// failureCost is added for a target of which every recent request failed.
	failureCost = 2.0
	// coldCost is added for a target that has just started.
	coldCost = 0.25
	// failureWeight is the weight of the newest request in the failure rate.
	failureWeight = 0.2
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
	id      string
	service string
	address string
	domain  string
	slots   int
	leaving bool
	cold    time.Duration // until when it is slow

	open     int // own requests
	failures int // in a row
	rate     float64
	ejected  time.Duration // until when
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
}

// New returns a balancer for an instance in a failure domain.
func New(domain string, random *rand.Rand) *Balancer {
	return &Balancer{domain: domain, random: random, targets: map[string]*Target{}, byName: map[string][]*Target{}}
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
		t.leaving = l.GetState() != wire.TargetState_TARGET_STATE_READY
		t.cold = now + time.Duration(l.GetColdMs())*time.Millisecond
		next[t.id] = t
		b.byName[t.service] = append(b.byName[t.service], t)
	}
	b.targets = next
}

// Target returns a target by its identity, or nil.
func (b *Balancer) Target(id string) *Target { return b.targets[id] }

// Choose returns the best target of a service that is not among the avoided ones,
// or nil.
func (b *Balancer) Choose(service string, avoid []string, now time.Duration) *Target {
	var best *Target
	bestScore, ties := 0.0, 0
	for _, t := range b.byName[service] {
		if t.leaving || contains(avoid, t.id) {
			continue
		}
		score := b.score(t, now)
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

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// score ranks a target; an ejected one comes after all others, so that it is used
// when there is nothing else.
func (b *Balancer) score(t *Target, now time.Duration) float64 {
	slots := t.slots
	if slots == 0 {
		slots = plainSlots
	}
	score := float64(t.open)/float64(slots) + failureCost*t.rate
	if t.domain != b.domain {
		score += abroadCost
	}
	if now < t.cold {
		score += coldCost
	}
	if now < t.ejected {
		score += 100 * failureCost
	}
	return score
}

// Begin counts a request to a target.
func (b *Balancer) Begin(t *Target) { t.open++ }

// End takes the result of a request that was begun.
func (b *Balancer) End(t *Target, result Result, now time.Duration) {
	t.open--
	switch result {
	case Served:
		t.failures = 0
		t.rate -= failureWeight * t.rate
	case Failed, Unreachable:
		t.failures++
		t.rate += failureWeight * (1 - t.rate)
		if result == Unreachable || t.failures >= ejectAfter {
			t.ejected = now + min(ejection<<min(t.failures-1, 3), longestEjection)
		}
	case Full:
		t.ejected = max(t.ejected, now+ejection/2)
	case Misdirected:
		t.ejected = now + wrongIdentity
	}
}
