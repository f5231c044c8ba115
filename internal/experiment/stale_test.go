package experiment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/experiment"
)

// chosenWay is the way to choose that the balancer uses.
const chosenWay = "by room"

func staleWay(t *testing.T, name string) experiment.StaleWay {
	for _, w := range experiment.StaleWays() {
		if w.Name == name {
			return w
		}
	}
	require.Fail(t, "no such way", name)
	return experiment.StaleWay{}
}

// TestEvenWithStaleInformation: many instances choose by information of the same age. With 300 instances and 0.5 s the
// most loaded engine gets at most 1.15 of the mean, with 1,100 and 2 s at most 1.3; by speed where speeds differ. The
// runs are long, since the number of arrivals at an engine varies by itself.
func TestEvenWithStaleInformation(t *testing.T) {
	for _, c := range []struct {
		setup experiment.StaleSetup
		most  float64
	}{
		{experiment.StaleSetup{Instances: 300, Age: 500 * time.Millisecond}, 1.15},
		{experiment.StaleSetup{Instances: 300, Age: 500 * time.Millisecond, Speeds: true}, 1.15},
		{experiment.StaleSetup{Instances: 300, Age: 500 * time.Millisecond, NoLeader: true}, 1.15},
		{experiment.StaleSetup{Instances: 1100, Age: 2 * time.Second}, 1.3},
		{experiment.StaleSetup{Instances: 1100, Age: 2 * time.Second, Speeds: true}, 1.3},
	} {
		c.setup.Engines, c.setup.Load, c.setup.Duration, c.setup.Seed, c.setup.Way = 18, 0.7, 400*time.Second, 1, staleWay(t, chosenWay)
		got := experiment.RunStale(c.setup)
		t.Logf("%d instances, %v, speeds %v, no leader %v, seed %d: %+v", c.setup.Instances, c.setup.Age, c.setup.Speeds, c.setup.NoLeader, c.setup.Seed, got)
		require.LessOrEqual(t, got.Evenness, c.most)
	}
}
