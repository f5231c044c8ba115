package balance

import (
	"math"
	"time"
)

const (
	// prefillRate is the number of prompt tokens that an engine of speed 1 processes in a second. Prompts that others
	// had in flight are taken to be processed at this rate since that was heard of.
	prefillRate = 14000
	// exchangeTime is how old what is heard of other instances is at least: they tell it after their choice.
	exchangeTime = 30 * time.Millisecond
	// Unseen requests are at least unseenPerInstance for each instance, as of a age of unseenAge or more: requests
	// come in clumps, for example after an engine has terminated, and an instance whose callers have sent little
	// does not know of the others' load.
	unseenPerInstance = 0.05
	unseenAge         = 200 * time.Millisecond
	minUnseen         = 0.05
	// unseenSpread is by how much more requests than expected the choice provides for: they come unevenly, and
	// with exactly those expected all would go to the few engines that were best. With 300 instances and an age of
	// 0.5 s, half as many generations had three prompts before them at 0.9 of the capacity.
	unseenSpread = 2
	// arrivalTime is the time over which an instance averages what it sends: at a thousand instances each sends one
	// generation in several seconds.
	arrivalTime = 10 * time.Second
)

// otherInstances returns what is known of the other instances that send requests to the engines of a service.
func (b *Balancer) otherInstances(service string, now time.Duration) Others {
	others := float64(max(0, b.instances-1))
	age := now - b.usesAt(service) + exchangeTime
	rate := 0.0
	if a := b.arrivals[service]; a != nil {
		rate = a.rate(now)
	}
	least := unseenPerInstance * min(1, age.Seconds()/unseenAge.Seconds())
	return Others{Instances: b.instances, Age: age, Unseen: unseenSpread * b.part(service) * others * max(rate*age.Seconds(), least)}
}

// part returns which part of a service's engines this instance chooses among. Where each instance has a subset, only as
// large a part of the others' requests comes to the engines of this one.
func (b *Balancer) part(service string) float64 {
	if p, ok := b.parts[service]; ok {
		return p
	}
	return float64(len(b.candidates(service))) / float64(max(1, len(b.byService[service])))
}

// SetPart sets which part of a service's engines this instance chooses among, where it does not know the others.
func (b *Balancer) SetPart(service string, part float64) { b.parts[service] = part }

// usesAt returns as of when the other instances' requests to the engines of a service are known: from their uses, or
// if these are older from the engines' reports.
func (b *Balancer) usesAt(service string) time.Duration {
	at := b.peersAt
	for _, t := range b.candidates(service) {
		if t.load.known {
			at = max(at, t.load.at)
		}
	}
	return at
}

// noteArrival counts a generation that this instance wants to send to a service.
func (b *Balancer) noteArrival(service string, now time.Duration) {
	a := b.arrivals[service]
	if a == nil {
		a = &arrivals{since: now}
		b.arrivals[service] = a
	}
	a.count, a.at = a.count*a.decay(now)+1, now
}

// arrivals is a moving average of the generations that an instance wants to send.
type arrivals struct {
	count     float64 // those of about the last arrivalTime, the latest counting most
	at, since time.Duration
}

// rate returns the arrivals a second.
func (a *arrivals) rate(now time.Duration) float64 {
	seen := arrivalTime.Seconds() * (1 - math.Exp(-(now-a.since).Seconds()/arrivalTime.Seconds()))
	return a.count * a.decay(now) / max(1, seen)
}

func (a *arrivals) decay(now time.Duration) float64 {
	return math.Exp(-(now - a.at).Seconds() / arrivalTime.Seconds())
}

// prompts returns an estimate of the prompt tokens that are before a further request at the engine: those of this
// instance, and what is left of the others'.
func (b *Balancer) prompts(t *Target, now time.Duration) float64 {
	done := prefillRate * t.speedAt(now) * (now - b.peersAt).Seconds()
	return float64(t.prefilling) + math.Max(0, float64(t.peerUse.prefilling)-done)
}
