package balance

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/subset"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// subsets is the part of each large service of which this instance learns loads and others' uses. Requests and
// copies go there as long as one of its targets can take them.
type subsets struct {
	instance  string // name of this instance, empty if it keeps whole services
	instances int    // number of instances from which the size of subsets follows, 0 for whole services
	// byService holds the services that are not kept whole.
	byService map[string][]*Target
}

// KeepSubsets sets the name by which this instance's subsets of large services are chosen, and the number of
// instances from which their size follows; 0 stands for whole services.
func (b *Balancer) KeepSubsets(instance string, instances int) {
	b.subsets.instance, b.subsets.instances = instance, instances
	b.chooseSubsets()
}

// chooseSubsets chooses the subsets of the listed targets.
func (b *Balancer) chooseSubsets() {
	before := b.subsets.byService
	b.subsets.byService = map[string][]*Target{}
	for _, t := range b.targets {
		t.outside = false
	}
	if b.subsets.instances == 0 {
		return
	}
	for service, listed := range b.byService {
		size := subset.Size(len(listed), b.subsets.instances)
		if size == len(listed) {
			continue
		}
		candidates := make([]subset.Target, 0, len(listed))
		for _, t := range listed {
			t.outside = true
			candidates = append(candidates, subset.NewTarget(t.id, t.domain))
		}
		chosen := make([]*Target, 0, size)
		for _, i := range subset.Choose(b.subsets.instance, b.domain, size, candidates) {
			listed[i].outside = false
			chosen = append(chosen, listed[i])
		}
		b.subsets.byService[service] = chosen
	}
	for service := range before {
		for _, t := range b.byService[service] {
			if t.outside {
				t.peerUse = peerUse{suspectedUntil: t.peerUse.suspectedUntil} // not told any more
			}
		}
	}
}

// candidates returns the targets among which a request to a service is sent, or a copy placed: the subset, or
// all of them where the service is kept whole.
func (b *Balancer) candidates(service string) []*Target {
	if s, ok := b.subsets.byService[service]; ok {
		return s
	}
	return b.byService[service]
}

// others returns the targets of a service that are not in the subset, if it is not kept whole.
func (b *Balancer) others(service string) []*Target {
	if _, ok := b.subsets.byService[service]; ok {
		return b.byService[service]
	}
	return nil
}

// ChangePeerUses applies those sums of what other instances have in flight at targets that changed, and the
// number of instances.
func (b *Balancer) ChangePeerUses(changed []*wire.Use, instances int, now time.Duration) {
	left := b.noteInstances(instances, now)
	for _, t := range b.targets {
		t.peerUse.demand = max(t.peerUse.toldDemand, left*t.peerUse.demand)
	}
	b.applyPeerUses(changed, now)
}
