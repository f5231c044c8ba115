package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTrialsEnd guards against trials without end: what goes on to come, and crashes the target of each
// trial, reaches targets at most maxAfterwards times more while it is remembered.
func TestTrialsEnd(t *testing.T) {
	const playTime = 90 * time.Minute
	kinds := map[string]struct {
		known int // crashes before every instance must know
		send  func(d *deployment)
	}{
		"request": {3, func(d *deployment) { d.sendRepeat("bad", true) }},
		"part":    {5, func(d *deployment) { d.send(true) }},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				d := newDeployment(seed, 0)
				for step := range int(playTime / stepTime) {
					d.tick(step)
					if step%10 == 0 {
						kind.send(d)
					}
				}
				late := 0
				for _, at := range d.crashes {
					if at > d.crashes[kind.known-1]+spreadTime {
						late++
					}
				}
				require.Positive(t, late, "seed %d: it is tried again", seed)
				require.LessOrEqual(t, late, maxAfterwards, "seed %d", seed)
			}
		})
	}
}

// TestPartOfAllRequestsIsFoundAtFirst guards against a part that all requests have, and that crashes each
// engine, which is not held back because other parts were in many of the first crashes too.
func TestPartOfAllRequestsIsFoundAtFirst(t *testing.T) {
	const known = 5 // crashes before every instance must know
	for seed := range uint64(spreadSeeds) {
		d := newDeployment(seed, 0)
		d.failing = 1
		var crashes []time.Duration
		for step := range spreadSteps {
			d.tick(step)
			if refused := d.refused; step%2 == 0 {
				if d.send(false); d.refused == refused {
					crashes = append(crashes, d.now)
				}
			}
		}
		late := 0
		for _, at := range crashes {
			if at > crashes[known-1]+spreadTime {
				late++
			}
		}
		require.LessOrEqual(t, late, maxAfterwards, "seed %d, %d instances", seed, len(d.instances))
	}
}
