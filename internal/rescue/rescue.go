// Package rescue decides what is done for a generation whose engine, or the copy of
// whose memory, is about to end. It is a core without clocks or sockets.
package rescue

// View is what is known of one run.
type View struct {
	// EngineLeaving is true when the run's engine is about to end.
	EngineLeaving bool
	// Started is true once the run has made its first event; before, an engine has
	// nothing to move.
	Started bool
	// CopyUsable is true when another engine that stays holds a copy, and will for a while.
	CopyUsable bool
	// Moving is true while the run's memory is being copied on demand.
	Moving bool
	// Movable is true when the engines copy memory when asked to.
	Movable bool
	// Failures is the number of such copies of this run that failed.
	Failures int
}

// maxFailures is the number of failed copies after which a run is left where it is.
const maxFailures = 3

// Step is what is done for a run.
type Step int

// Steps.
const (
	// Stay means that nothing is done: the run goes on where it is, and from its
	// copy if its engine ends.
	Stay Step = iota
	// Copy means that its memory is copied to another engine while the run goes on.
	// The run is not stopped for that: when its engine ends, it goes on from the copy
	// and reads what came after it, which takes less time than the last step of a
	// move behind those of other runs.
	Copy
)

// CopyExists reports whether a run can go on from a copy: one that was made on demand is
// there, one that grows with its run only once the run has started. Before, an engine that
// is asked to go on has nothing to go on from, and what it does instead, when it is at
// fault, may be another run.
func CopyExists(onDemand, started bool) bool { return onDemand || started }

// Next returns the step for a run.
func Next(v View) Step {
	if !v.EngineLeaving || !v.Started || v.CopyUsable || v.Moving || !v.Movable || v.Failures >= maxFailures {
		return Stay
	}
	return Copy
}
