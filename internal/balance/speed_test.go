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

// fleetOfSpeeds returns a balancer before idle engines with the given speeds, in thousandths, of which 20 readings
// are known.
func fleetOfSpeeds(speeds ...uint32) (*balance.Balancer, []*wire.Load) {
	b := balance.New("home", rand.New(rand.NewPCG(1, 41)))
	var list []*wire.Target
	var loads []*wire.Load
	for i, s := range speeds {
		id := fmt.Sprint("e", i)
		list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
		loads = append(loads, &wire.Load{Target: id, CapacityTokens: 27000, SpeedPermille: s, SpeedReadings: 20, StartedMs: 1})
	}
	b.Update(list, 0)
	b.UpdateLoads(loads, time.Second)
	return b, loads
}

// TestFastEngineIsGivenMoreWork: of three engines one is 2.4 times as fast. Prompts are distributed by speed: given as
// many as the others, it would be idle while they have prompts before them.
func TestFastEngineIsGivenMoreWork(t *testing.T) {
	b, _ := fleetOfSpeeds(700, 700, 1700)
	at := map[string]int{}
	for range 44 {
		chosen := b.Choose("s", 300, nil, time.Second)
		b.Begin(chosen, 300, time.Second)
		b.AddPrefill(chosen, 300)
		at[chosen.ID()]++
	}
	require.InDelta(t, 44*1.7/3.1, at["e2"], 4, at)
	require.InDelta(t, at["e0"], at["e1"], 3, at)
}

// TestNearSpeedsAreEqual: estimates of equal engines differ slightly, which must not move load between them.
func TestNearSpeedsAreEqual(t *testing.T) {
	b, _ := fleetOfSpeeds(900, 1000, 1100, 1010)
	for i := range 4 {
		require.InDelta(t, 1, b.Speed(b.Target(fmt.Sprint("e", i)), time.Second), 0)
	}
}

// TestSlowOnlyAfterManyReadings: an engine that processed prompts at all its few readings looks slow.
func TestSlowOnlyAfterManyReadings(t *testing.T) {
	b, loads := fleetOfSpeeds(1000, 1000, 1000, 0, 0)
	for i, speed := range []uint32{500, 2000} {
		loads[3+i].SpeedPermille, loads[3+i].SpeedReadings = speed, 4
	}
	b.UpdateLoads(loads, 2*time.Second)
	require.InDelta(t, 1, b.Speed(b.Target("e3"), 2*time.Second), 0)
	require.InDelta(t, 2, b.Speed(b.Target("e4"), 2*time.Second), 0, "prompts make no engine look fast")
}

// TestSpeedIsForgotten: an idle engine shows no speed; the last one is kept for 10 s. An engine that has started again
// may be on another machine.
func TestSpeedIsForgotten(t *testing.T) {
	b, loads := fleetOfSpeeds(700, 700, 700, 1700, 1700)
	fast := b.Target("e3")
	require.Greater(t, b.Speed(fast, time.Second), 2.0)
	require.Greater(t, b.Speed(b.Target("e4"), time.Second), 2.0)
	for _, l := range loads {
		l.SpeedPermille, l.SpeedReadings = 0, 0
	}
	loads[4].StartedMs = 2
	b.UpdateLoads(loads, 2*time.Second)
	require.Greater(t, b.Speed(fast, 10*time.Second), 2.0)
	require.InDelta(t, 1, b.Speed(fast, 40*time.Second), 0.1)
	require.InDelta(t, 1, b.Speed(b.Target("e4"), 2*time.Second), 0)
}

// TestCopiesAtFastEngines: a run that resumes at a slow engine is late, so of holders with equal memory a faster one
// is preferred.
func TestCopiesAtFastEngines(t *testing.T) {
	b, _ := fleetOfSpeeds(1000, 1000, 1000, 500, 2000)
	for range 20 {
		holder := b.ChooseCopyHolder(b.Target("e0"), 3000, 0, nil, time.Second)
		require.NotNil(t, holder)
		require.Equal(t, "e4", holder.ID())
	}
}
