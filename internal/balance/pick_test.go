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

const (
	crowdInstances = 300
	crowdEngines   = 60
	crowdPrompt    = 3000
	crowdStart     = 20 * time.Second
)

// newCrowd returns instances that all have the same reports, as of 0.5 s ago: the engine e has so many requests and
// tokens as load returns.
func newCrowd(load func(e int) (requests, tokens uint32)) []*balance.Balancer {
	var list []*wire.Target
	var loads []*wire.Load
	for e := range crowdEngines {
		id := fmt.Sprint("e", e)
		requests, tokens := load(e)
		list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
		loads = append(loads, &wire.Load{Target: id, CapacityTokens: 27000, UsedTokens: tokens, Running: requests})
	}
	out := make([]*balance.Balancer, crowdInstances)
	for i := range out {
		out[i] = balance.New("home", rand.New(rand.NewPCG(uint64(i), 43)))
		out[i].Update(list, 0)
		// The instance has sent a generation every 5 s.
		for n := range crowdStart / (5 * time.Second) {
			out[i].Choose("s", crowdPrompt, nil, n*5*time.Second+time.Duration(i)*5*time.Second/crowdInstances)
		}
		out[i].UpdateLoads(loads, crowdStart)
		out[i].UpdatePeerUses(nil, crowdInstances, crowdStart-500*time.Millisecond)
	}
	return out
}

// chosen has the instances choose at a time and returns how often each engine was chosen.
func chosen(instances []*balance.Balancer, now time.Duration) map[string]int {
	at := map[string]int{}
	for _, b := range instances {
		t := b.Choose("s", crowdPrompt, nil, now)
		b.Begin(t, crowdPrompt, now)
		at[t.ID()]++
	}
	return at
}

// TestAllChooseAtOnce: three hundred instances choose within a few milliseconds, by the same reports, among engines
// with different loads. The one with the lowest load must not get what is a burst for all.
func TestAllChooseAtOnce(t *testing.T) {
	at := chosen(newCrowd(func(e int) (uint32, uint32) { return uint32(2 + e%6), uint32(6000 + 1500*(e%6)) }), crowdStart)
	for id, n := range at {
		require.LessOrEqual(t, n, 3*crowdInstances/crowdEngines, id)
	}
}

// TestEmptyEngineAppears: sixty generations a second arrive at instances before busy engines, and an engine comes
// back empty. Until its reports show what it was sent, it gets more than the others but not all.
func TestEmptyEngineAppears(t *testing.T) {
	instances := newCrowd(func(e int) (uint32, uint32) {
		if e == 0 {
			return 0, 0
		}
		return 6, 15000
	})
	random := rand.New(rand.NewPCG(44, 1))
	sum, rounds := 0, 50
	for range rounds {
		random.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
		for _, b := range instances[:30] { // half a second
			if b.Choose("s", crowdPrompt, nil, crowdStart).ID() == "e0" {
				sum++
			}
		}
	}
	require.Greater(t, float64(sum)/float64(rounds), 0.5, "as much as any other")
	require.Less(t, float64(sum)/float64(rounds), 3.0, "three prompts one after another")
}

// TestNewsStops: instances hear no more of each other, and then of no engine either. Each goes on by what it knows,
// which is worth less and less: their choices spread over all engines.
func TestNewsStops(t *testing.T) {
	instances := newCrowd(func(e int) (uint32, uint32) { return uint32(e % 6), uint32(2000 * (e % 6)) })
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
		for id, n := range chosen(instances, crowdStart+after) {
			require.LessOrEqual(t, n, 3*crowdInstances/crowdEngines, "%s after %v", id, after)
		}
	}
}

// TestFreshNewsIsUsed: an instance alone, or one that knows what all others have sent, chooses the best engine.
func TestFreshNewsIsUsed(t *testing.T) {
	b := newCrowd(func(e int) (uint32, uint32) { return uint32(2 + e), uint32(300 * e) })[0]
	b.UpdatePeerUses(nil, 1, time.Minute)
	b.UpdateLoads([]*wire.Load{{Target: "e7", CapacityTokens: 27000}}, time.Minute)
	for range 20 {
		require.Equal(t, "e7", b.Choose("s", crowdPrompt, nil, time.Minute).ID())
	}
}

// TestEvenness: one engine holds three times what each of three others does.
func TestEvenness(t *testing.T) {
	b, loads := fleetOfSpeeds(0, 0, 0, 0)
	for i, l := range loads {
		l.Running = 2
		if i == 0 {
			l.Running = 6
		}
	}
	for n := range 120 {
		b.UpdateLoads(loads, time.Duration(n)*time.Second/2)
	}
	got, engines := b.Evenness(time.Minute)
	require.InDelta(t, 2, got, 0.05)
	require.Equal(t, 4, engines)
}

// TestPartOfTheEngines: instances that choose among a tenth of the engines get a tenth of each other's requests there.
// Provided for all of them, the choice would be no better than by chance.
func TestPartOfTheEngines(t *testing.T) {
	b := newCrowd(func(int) (uint32, uint32) { return 2, 6000 })[0]
	_, whole := b.Assess("s", crowdPrompt, crowdStart)
	b.SetPart("s", 0.1)
	_, part := b.Assess("s", crowdPrompt, crowdStart)
	require.InDelta(t, whole.Unseen/10, part.Unseen, 0.001)
}
