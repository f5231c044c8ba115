package migration

import (
	"slices"

	"github.com/vanillaward/vanillaward"
)

// Presence is what an engine's own word tells of a run there.
type Presence int

// Presences.
const (
	// MayReturn means that the engine has requests that it does not name. The run may be one of them,
	// preempted, and is started again once there is room, also after its connection was closed: not
	// all engines notice that.
	MayReturn Presence = iota
	// Running means that the engine works on the run.
	Running
	// Gone means that the engine does not have the run any more.
	Gone
)

// String returns the presence's name in logs.
func (p Presence) String() string { return [...]string{"may-return", "running", "gone"}[p] }

// Locate returns what an engine's report tells of the run of a request.
func Locate(runs vanillaward.EngineRuns, request string) Presence {
	switch {
	case slices.Contains(runs.Requests, request):
		return Running
	case runs.Waiting > 0 || runs.Running > len(runs.Requests):
		return MayReturn
	}
	return Gone
}
