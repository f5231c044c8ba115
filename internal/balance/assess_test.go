package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// newAssessed returns a balancer before engines of several states, one of which states a limit.
func newAssessed(seed uint64) *balance.Balancer {
	b := balance.New("home", rand.New(rand.NewPCG(seed, 47)))
	var list []*wire.Target
	var loads []*wire.Load
	for i := range 8 {
		id := fmt.Sprint("e", i)
		list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
		loads = append(loads, &wire.Load{Target: id, Running: uint32(i), UsedTokens: uint32(2000 * i), CapacityTokens: 27000})
	}
	list[7].State = wire.TargetState_TARGET_STATE_LEAVING
	b.Update(list, 0)
	b.UpdateLoads(loads, time.Second)
	b.UpdatePeerUses(nil, 40, time.Second/2)
	b.StateLimit(b.Target("e0"), true, 3, time.Second)
	b.StateWait(b.Target("e1"), time.Minute, time.Second)
	b.SuspectLeaving(b.Target("e2"), time.Second)
	b.End(b.Target("e3"), 0, balance.Unreachable, time.Second)
	return b
}

// TestAssessmentChangesNothing: an operator asks where a request would go, again and again. The choices, their
// random numbers and the tokens of limits are the same as without.
func TestAssessmentChangesNothing(t *testing.T) {
	asked, other := newAssessed(1), newAssessed(1)
	for n := range 200 {
		now := time.Second + time.Duration(n)*10*time.Millisecond
		asked.Assess("s", 3000, now)
		asked.Assess("s", 0, now)
		a, b := asked.Choose("s", 3000, nil, now), other.Choose("s", 3000, nil, now)
		require.Equal(t, b.ID(), a.ID(), n)
		asked.Begin(a, 3000, now)
		other.Begin(b, 3000, now)
	}
}

// TestAssessmentIsWhatIsChosen: the probabilities are those with which a choice picks the targets, and each target that
// cannot be chosen says why.
func TestAssessmentIsWhatIsChosen(t *testing.T) {
	const choices = 4000
	now := time.Second + 20*time.Millisecond
	assessed, others := newAssessed(1).Assess("s", 3000, now)
	require.Equal(t, 40, others.Instances)
	want, excluded := map[string]float64{}, map[string]balance.Exclusion{}
	for _, a := range assessed {
		want[a.Target], excluded[a.Target] = a.Probability, a.Excluded
	}
	require.Equal(t, balance.ExcludedWait, excluded["e1"])
	require.Equal(t, balance.ExcludedSuspected, excluded["e2"])
	require.Equal(t, balance.ExcludedEjected, excluded["e3"])
	require.Equal(t, balance.ExcludedLeaving, excluded["e7"])
	require.Equal(t, balance.ExcludedLimit, excluded["e0"])
	got := map[string]float64{}
	for seed := range uint64(choices) {
		got[newAssessed(seed).Choose("s", 3000, nil, now).ID()] += 1.0 / choices
	}
	for id, p := range want {
		require.InDelta(t, p, got[id], 0.03, id)
	}
}

// TestAssessmentOfSubset guards against an operator being told of targets that this instance does not send to: those of a
// large service outside its subset, as long as the subset has one that can take the request.
func TestAssessmentOfSubset(t *testing.T) {
	const targets, choices = 200, 3000
	newSubset := func(seed uint64) *balance.Balancer {
		b := balance.New("home", rand.New(rand.NewPCG(seed, 48)))
		var list []*wire.Target
		for i := range targets {
			list = append(list, &wire.Target{Id: fmt.Sprint("e", i), Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
		}
		b.KeepSubsets("instance", 300)
		b.Update(list, 0)
		b.UpdatePeerUses(nil, 300, 0)
		return b
	}
	assessed, _ := newSubset(1).Assess("s", 3000, time.Second)
	require.Len(t, assessed, targets)
	candidates := map[string]bool{}
	for _, a := range assessed {
		if a.Excluded == "" {
			candidates[a.Target] = true
		} else {
			require.Equal(t, balance.ExcludedSubset, a.Excluded)
			require.Zero(t, a.Probability)
		}
	}
	chosen := map[string]bool{}
	for seed := range uint64(choices) {
		chosen[newSubset(seed).Choose("s", 3000, nil, time.Second).ID()] = true
	}
	require.Equal(t, candidates, chosen)
}
