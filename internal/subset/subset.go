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

// Round returns the number of instances to use for the size of subsets: it is at most an eighth less, so that
// sizes do not change whenever an instance joins or leaves.
func Round(instances int) int {
	if instances <= 0 {
		return 0
	}
	step := 1 << max(0, bits.Len(uint(instances))-4)
	return instances / step * step
}

// Whole reports whether a service with a number of targets is kept whole.
func Whole(targets int) bool { return targets <= wholeUpTo }

// Size returns the size of each instance's subset of a service with a number of targets. If the number of
// instances is 0, that is all of them.
func Size(targets, instances int) int {
	if Whole(targets) || instances <= 0 {
		return targets
	}
	return min(targets, max(minSize, (coverage*targets+instances-1)/instances))
}

// Choose returns the indices of the subset, with a size, of an instance in a failure domain. It holds
// targets of the instance's domain first, up to a part of its size, so that the nearest are among
// them, and then those of all domains.
func Choose(instance, domain string, size int, targets []Target) []int {
	listed := 0
	for i := range targets {
		if targets[i].domain == domain {
			listed++
		}
	}
	near := min(listed, size/domainPart)
	out, ok := choose(instance, domain, size, near, targets, atLeast(near, listed), atLeast(size-near, len(targets)))
	if !ok {
		out, _ = choose(instance, domain, size, near, targets, 0, 0)
	}
	return out
}

// atLeast returns a weight that twice as many of a number of targets as are wanted are expected to reach: weights are
// distributed evenly. The others need not be sorted.
func atLeast(wanted, targets int) uint64 {
	if 4*wanted >= targets || wanted < minSize/4 {
		return 0
	}
	return ^uint64(0) - ^uint64(0)/uint64(targets)*uint64(2*wanted)
}

// choose chooses among the targets that reach a weight, in the instance's domain and in others, and reports whether
// these are enough.
func choose(instance, domain string, size, near int, targets []Target, leastNear, least uint64) ([]int, bool) {
	hash := Hash(instance)
	own, others := make([]ranked, 0, size), make([]ranked, 0, 2*size)
	for i := range targets {
		r := ranked{weight: mix(hash ^ targets[i].hash), index: i}
		switch {
		case r.weight < min(least, leastNear):
		case targets[i].domain == domain:
			own = append(own, r)
		case r.weight >= least:
			others = append(others, r)
		}
	}
	slices.SortFunc(own, highestFirst)
	if len(own) < near || near > 0 && own[near-1].weight < leastNear {
		return nil, false
	}
	out := make([]int, 0, size)
	for _, r := range own[:near] {
		out = append(out, r.index)
	}
	rest := append(others, own[near:]...) //nolint:gocritic // others is not used any more
	slices.SortFunc(rest, highestFirst)
	count := size - near
	if len(rest) < count || count > 0 && rest[count-1].weight < least {
		return nil, false
	}
	for _, r := range rest[:count] {
		out = append(out, r.index)
	}
	return out, true
}

// ranked is a target with its weight for an instance.
type ranked struct {
	weight uint64
	index  int
}

func highestFirst(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
}
