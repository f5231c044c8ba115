package subset_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/subset"
)

const (
	// leastSubsets is in how many subsets each target must be.
	leastSubsets = 3
	domains      = 3
)

func domain(i int) string { return fmt.Sprint("domain-", i%domains) }

func newTargets(from, count int) []subset.Target {
	var out []subset.Target
	for i := from; i < from+count; i++ {
		out = append(out, subset.NewTarget(fmt.Sprint("engine-", i), domain(i)))
	}
	return out
}

func choose(instance, size int, targets []subset.Target) map[string]bool {
	out := map[string]bool{}
	for _, i := range subset.Choose(fmt.Sprint("gateway-", instance), domain(instance), size, targets) {
		out[targets[i].ID()] = true
	}
	return out
}

// TestCoverage guards against targets that get no requests because they are in too few subsets.
func TestCoverage(t *testing.T) {
	for _, c := range []struct{ instances, targets int }{{3, 97}, {30, 300}, {100, 999}, {300, 3000}, {1100, 7400}, {1100, 100}} {
		size := subset.Size(c.targets, subset.Round(c.instances))
		targets := newTargets(0, c.targets)
		subsets := map[string]int{}
		for i := range c.instances {
			chosen := choose(i, size, targets)
			require.Len(t, chosen, size)
			for id := range chosen {
				subsets[id]++
			}
		}
		require.Len(t, subsets, c.targets, "%v", c)
		for id, n := range subsets {
			require.GreaterOrEqual(t, n, leastSubsets, "%v: %s", c, id)
		}
	}
}

// TestDomainPart checks that a part of each subset is in the instance's own failure domain, and a part is not
// where the domain has few targets.
func TestDomainPart(t *testing.T) {
	targets := newTargets(0, 3000)
	near := 0
	for id := range choose(1, 240, targets) {
		for _, target := range targets {
			if target.ID() == id && target == subset.NewTarget(id, domain(1)) {
				near++
			}
		}
	}
	require.GreaterOrEqual(t, near, 120)
	require.Less(t, near, 240)
	require.Len(t, subset.Choose("gateway", "nowhere", 240, targets), 240)
}

// TestStability guards against subsets that change as a whole when targets join or leave, or when the size
// changes: then nothing would be known of most of their targets.
func TestStability(t *testing.T) {
	const count, changed, size = 3000, 30, 240
	for instance := range 50 {
		before := choose(instance, size, newTargets(0, count))
		after := choose(instance, size, newTargets(changed, count)) // 30 have left, 30 others joined
		larger := choose(instance, size+size/4, newTargets(0, count))
		lost := 0
		for id := range before {
			if !after[id] {
				lost++
			}
			require.True(t, larger[id], "a larger subset holds the smaller one")
		}
		require.LessOrEqual(t, lost, changed, "instance %d", instance)
	}
}

// TestSize checks that small services are kept whole, and that the size does not follow each change of the number
// of instances.
func TestSize(t *testing.T) {
	require.Equal(t, 96, subset.Size(96, 1100))
	require.Equal(t, 3000, subset.Size(3000, 0), "unknown number of instances")
	require.Equal(t, 3000, subset.Size(3000, 3), "few instances")
	require.Equal(t, subset.Round(300), subset.Round(305))
	for instances := 1; instances < 5000; instances++ {
		rounded := subset.Round(instances)
		require.LessOrEqual(t, rounded, instances)
		require.GreaterOrEqual(t, 8*rounded, 7*instances)
	}
}
