package fleet

import (
	"time"

	"github.com/vanillaward/vanillaward"
)

// Speedometer gives tests access to the estimate of an engine's speed.
type Speedometer struct{ s speedometer }

// Read adds a reading and returns the estimated speed.
func (s *Speedometer) Read(runs []vanillaward.RunProgress, startedMs uint64, now time.Duration) float64 {
	return s.s.read(runs, startedMs, now)
}
