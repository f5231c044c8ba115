// Package subset chooses, by rendezvous hashing, the targets of a large service of which an instance keeps
// the loads and uses. The choice depends on the names only, so that an instance and a replica make the
// same one.
package subset

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"slices"
)

const (
	// wholeUpTo is the number of targets up to which a service is kept whole.
	wholeUpTo = 96
	// minSize is the size of the smallest subset of a larger service.
	minSize = 64
	// coverage is the mean number of subsets that a target is in. The number is distributed like
	// Poisson's; with 24, and 12 from the part that does not depend on domains, it is below 3 for
	// less than one of 1,000 targets of a domain without instances, and else for none of 10,000.
	coverage = 24
	// domainPart is the divisor of a subset's size that gives the size of its part in the instance's
	// own failure domain.
	domainPart = 2
)

// Target is a target as the choice of subsets needs it.
type Target struct {
	id     string
	domain string
	hash   uint64
}

// NewTarget returns the target with an identity in a failure domain.
func NewTarget(id, domain string) Target { return Target{id: id, domain: domain, hash: Hash(id)} }

// ID returns the target's identity.
func (t Target) ID() string { return t.id }

// Hash returns the hash of the name of an instance or a target.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return mix(h.Sum64())
}

// mix distributes the differences between similar numbers over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Round returns the number of instances to use for the size of subsets: it is at most a quarter less, so that
// sizes do not change whenever an instance joins or leaves.
func Round(instances int) int {
	if instances <= 0 {
		return 0
	}
	step := 1 << max(0, bits.Len(uint(instances))-3)
	return instances / step * step
}

// Size returns the size of each instance's subset of a service with a number of targets. If the number of
// instances is 0, that is all of them.
func Size(targets, instances int) int {
	if targets <= wholeUpTo || instances <= 0 {
		return targets
	}
	return min(targets, max(minSize, (coverage*targets+instances-1)/instances))
}

// Choose returns the indices of the subset, with a size, of an instance in a failure domain. It holds
// targets of the instance's domain first, up to a part of its size, so that the nearest are among
// them, and then those of all domains.
func Choose(instance, domain string, size int, targets []Target) []int {
	hash := Hash(instance)
	var own, others []ranked
	for i := range targets {
		r := ranked{weight: mix(hash ^ targets[i].hash), index: i}
		if targets[i].domain == domain {
			own = append(own, r)
		} else {
			others = append(others, r)
		}
	}
	highestFirst(own, min(len(own), size))
	near := min(len(own), size/domainPart)
	out := make([]int, 0, size)
	for _, r := range own[:near] {
		out = append(out, r.index)
	}
	rest := slices.Concat(others, own[near:])
	count := min(len(rest), size-near)
	highestFirst(rest, count)
	for _, r := range rest[:count] {
		out = append(out, r.index)
	}
	return out
}

// ranked is a target with its weight for an instance.
type ranked struct {
	weight uint64
	index  int
}

// highestFirst moves the count entries with the highest weights to the front, in order.
func highestFirst(list []ranked, count int) {
	byWeight := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
	}
	if n := len(list); count > 0 && 4*count < n {
		// Weights are distributed evenly, so that few more than those wanted are above this one.
		least := ^uint64(0) - ^uint64(0)/uint64(n)*uint64(2*count)
		above := 0
		for i := range list {
			if list[i].weight > least {
				list[i], list[above] = list[above], list[i]
				above++
			}
		}
		if above >= count {
			list = list[:above]
		}
	}
	slices.SortFunc(list, byWeight)
}
