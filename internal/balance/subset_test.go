package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/subset"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const subsetService = 1000

func newSubsetBalancer(instances int) (*balance.Balancer, []*wire.Target) {
	b := balance.New("home", rand.New(rand.NewPCG(1, 1)))
	var list []*wire.Target
	for i := range subsetService {
		list = append(list, &wire.Target{
			Id: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: []string{"home", "away"}[i%2],
			Slots: 24, State: wire.TargetState_TARGET_STATE_READY, Engine: true,
		})
	}
	b.Update(list, 0)
	b.KeepSubsets("gateway", instances)
	return b, list
}

// members returns the identities that a replica takes for the subset.
func members(list []*wire.Target, instances int) map[string]bool {
	var targets []subset.Target
	for _, t := range list {
		targets = append(targets, subset.NewTarget(t.GetId(), t.GetFailureDomain()))
	}
	out := map[string]bool{}
	for _, i := range subset.Choose("gateway", "home", subset.Size(len(targets), instances), targets) {
		out[list[i].GetId()] = true
	}
	return out
}

// TestChooseWithinSubset guards against requests to engines of which the instance learns nothing, while one of its subset
// is a candidate; and against a choice without candidates when none is.
func TestChooseWithinSubset(t *testing.T) {
	const instances = 288
	b, list := newSubsetBalancer(instances)
	kept := members(list, instances)
	require.Less(t, len(kept), subsetService/2)
	for range 500 {
		chosen := b.Choose("s", 3000, nil, time.Second)
		require.True(t, kept[chosen.ID()], chosen.ID())
		b.Begin(chosen, 3000, time.Second)
	}
	var avoid []string
	for id := range kept {
		avoid = append(avoid, id)
	}
	outside := b.Choose("s", 3000, avoid, time.Second)
	require.NotNil(t, outside, "the whole list is used")
	require.False(t, kept[outside.ID()])
}

// TestWholeServices checks that an instance without subsets, or with few others, uses the whole list.
func TestWholeServices(t *testing.T) {
	for _, instances := range []int{0, 3} {
		b, _ := newSubsetBalancer(instances)
		chosen := map[string]bool{}
		for range subsetService / 2 {
			target := b.Choose("s", 3000, nil, time.Second)
			b.Begin(target, 3000, time.Second)
			chosen[target.ID()] = true
		}
		require.Len(t, chosen, subsetService/2, "each request goes to an idle engine of the own domain")
	}
}

// TestAtCapacityOfSubset guards against requests that are queued at full engines, because of the engines outside of the
// subset nothing is known.
func TestAtCapacityOfSubset(t *testing.T) {
	const instances = 288
	b, list := newSubsetBalancer(instances)
	var loads []*wire.Load
	for id := range members(list, instances) {
		loads = append(loads, &wire.Load{Target: id, UsedTokens: 26000, CapacityTokens: 26886})
	}
	require.False(t, b.AtCapacity("s", 3000, time.Second))
	b.UpdateLoads(loads, time.Second)
	require.True(t, b.AtCapacity("s", 3000, time.Second))
}

// TestChangedPeerUses checks that uses which are not told again stay as they were, and that one without values ends.
func TestChangedPeerUses(t *testing.T) {
	b := balance.New("home", rand.New(rand.NewPCG(1, 1)))
	b.Update([]*wire.Target{
		{Id: "a", Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY},
		{Id: "b", Service: "s", Address: "10.0.0.2:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY},
	}, 0)
	b.UpdatePeerUses([]*wire.Use{{Target: "a", Prefilling: 5000}, {Target: "b", Prefilling: 7000}}, 3, time.Second)
	prefilling := func(id string) int { return b.LoadState(b.ByIdentity(id), time.Second).Prefilling }
	b.ChangePeerUses([]*wire.Use{{Target: "b"}}, 3, 2*time.Second)
	require.Equal(t, 5000, prefilling("a"))
	require.Zero(t, prefilling("b"))
	b.UpdatePeerUses(nil, 3, 3*time.Second)
	require.Zero(t, prefilling("a"))
}
