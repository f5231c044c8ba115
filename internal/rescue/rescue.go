// Package rescue decides what is done for a generation whose engine, or the copy of
// whose memory, is about to end. It is a core without clocks or sockets.
package rescue

// View is what is known of one run.
type View struct {
	// EngineLeaving is true when the run's engine is about to end.
	EngineLeaving bool
	// CopyUsable is true when another engine that stays holds a copy.
	CopyUsable bool
	// Moving is true while the run's memory is being moved.
	Moving bool
	// Movable is true when the engines move memory when asked to.
	Movable bool
	// Failures is the number of moves of this run that failed.
	Failures int
}

// maxFailures is the number of failed moves after which a run is left where it is.
const maxFailures = 3

// Step is what is done for a run.
type Step int

// Steps.
const (
	// Stay means that nothing is done: the run goes on where it is, and from its
	// copy if its engine ends.
	Stay Step = iota
	// Move means that its memory is copied to another engine while the run goes on,
	// and that the run then follows.
	Move
)

// Next returns the step for a run. A usable copy makes a move unnecessary: going
// on from it takes about as long as the last step of a move.
func Next(v View) Step {
	if !v.EngineLeaving || v.CopyUsable || v.Moving || !v.Movable || v.Failures >= maxFailures {
		return Stay
	}
	return Move
}
