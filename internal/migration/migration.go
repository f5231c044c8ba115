// Package migration decides when a generation is migrated because its engine, or the
// engine that holds the copy of its KV cache, is leaving. It uses neither clocks nor sockets.
package migration

import "time"

// RunState is the last known state of one run.
type RunState struct {
	// EngineLeaving is true when the run's engine is leaving.
	EngineLeaving bool
	// Ended is true once the run's stream has ended at its engine: an engine copies only what it runs.
	Ended bool
	// Started is true once the run has produced its first event; before that, the engine
	// has nothing to copy.
	Started bool
	// CopyUsable is true when an engine that is not leaving holds a copy that has not
	// expired.
	CopyUsable bool
	// Moving is true while the run's KV cache is being copied on demand.
	Moving bool
	// Movable is true when the engines can copy a KV cache on demand.
	Movable bool
	// Failures is the number of on-demand copies of this run that failed.
	Failures int
}

// maxCopyFailures is the number of failed on-demand copies after which no further copy of a
// run is made.
const maxCopyFailures = 3

// Step is the action to take for a run.
type Step int

// Steps.
const (
	// StepNone means that nothing is done: the run continues on its engine, and resumes
	// from its copy if that engine terminates.
	StepNone Step = iota
	// StepCopy means that the run's KV cache is copied to another engine while the run
	// continues. The run is not stopped for the copying: when its engine terminates, the run
	// resumes from the copy and the tokens after the copy are processed again. This takes
	// less time than waiting for the last step of a move behind those of other runs.
	StepCopy
)

// CopyExists reports whether a run can resume from its recorded copy. A copy made on demand
// is recorded once it exists; a continuously updated one counts as there once the run has sent
// events for some time. Before that, an engine that is asked to resume the run may have no copy
// of it, and a faulty engine may start another run instead.
func CopyExists(onDemand, started bool, running, copyAfter time.Duration) bool {
	return onDemand || started && running >= copyAfter
}

// NextStep returns the step to take for a run.
func NextStep(s RunState) Step {
	if !s.EngineLeaving || s.Ended || !s.Started || s.CopyUsable || s.Moving || !s.Movable || s.Failures >= maxCopyFailures {
		return StepNone
	}
	return StepCopy
}
