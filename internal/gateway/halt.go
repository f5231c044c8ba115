package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/migration"
)

// halt is the result of haltAtEngine.
type halt int

const (
	// haltRefused means that the engine works on the run, or may work on it again.
	haltRefused halt = iota
	// haltUnanswered means that the engine does not answer: it is lost, or cannot be reached.
	haltUnanswered
	// haltUncertain means that the engine was told to stop the run, and has not answered.
	haltUncertain
	// haltGone means that the engine does not have the run any more.
	haltGone
	// haltStopped means that the engine has stopped the run.
	haltStopped
)

// String returns the result's name in logs.
func (h halt) String() string {
	return [...]string{"refused", "unanswered", "uncertain", "gone", "stopped"}[h]
}

// mayGoOn reports whether the run may go on at another engine.
func (h halt) mayGoOn() bool { return h == haltUnanswered || h == haltGone || h == haltStopped }

// haltAtEngine makes sure that a run's engine does not work on it any more, so that it can go on at
// the engine that holds its copy: to close the connection is not enough, since not all engines
// notice that, and an engine that has preempted the run starts it again later. The context bounds
// the question what the engine runs; a stop is awaited also after its end, since only the answer
// names the copy.
func (g *Server) haltAtEngine(ctx context.Context, r *run) halt {
	runs, err := g.engines.Runs(ctx, r.engine.Address())
	if err != nil {
		out := haltUnanswered
		if errors.Is(err, vanillaward.ErrUnreadable) {
			out = haltRefused // it is alive
		}
		g.logHalt(r, out, err.Error())
		return out
	}
	presence := migration.Locate(runs, r.request)
	out := haltRefused
	switch presence {
	case migration.Gone:
		out = haltGone
	case migration.Running:
		out, err = g.stopAtEngine(r)
	case migration.MayReturn:
	}
	reason := presence.String()
	if err != nil {
		reason = err.Error()
	}
	g.logHalt(r, out, reason)
	return out
}

func (g *Server) logHalt(r *run, h halt, reason string) {
	g.base.Log.Info("asked the engine to end a run before it goes on elsewhere", "request", r.request, "target", r.engine.ID(),
		"result", h.String(), "reason", reason)
}

// errMoving is the reason why a run is not stopped while it is copied.
var errMoving = errors.New("the run is being copied")

// stopAtEngine has a run's engine stop the run and copy it to the holder of its copy.
func (g *Server) stopAtEngine(r *run) (halt, error) {
	destination, moving := g.beginStop(r)
	if destination == nil {
		return haltRefused, errMoving
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), moveTimeout)
	defer cancel()
	moved, err := g.engines.Move(ctx, vanillaward.Move{Source: r.engine.Address(), Destination: destination.Address(), Request: r.request, Last: true})
	if err == nil {
		g.recordMove(r, destination, r.engine, moved.Handle)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.moving = nil
	close(moving)
	switch {
	case err == nil:
		return haltStopped, nil
	case errors.Is(err, vanillaward.ErrNotCopied):
		r.kept = &heldCopy{holder: r.engine, address: r.engine.Address(), handle: moved.Handle}
		return haltStopped, err
	case errors.Is(err, vanillaward.ErrNotRunning), errors.Is(err, vanillaward.ErrMoveRefused):
		return haltRefused, err
	}
	return haltUncertain, err
}

// beginStop marks a run as being copied, for the last time, and returns the engine to copy it to. It
// returns nil if the run is being copied already or has no copy.
func (g *Server) beginStop(r *run) (*balance.Target, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.moving != nil || r.copy == nil {
		return nil, nil
	}
	r.moving = make(chan struct{})
	return r.copy.holder, r.moving
}

// takeKept makes the KV cache that a run's engine keeps since it stopped the run the run's copy. It
// reports false if there is none.
func (g *Server) takeKept(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.kept == nil {
		return false
	}
	g.addCopy(r, r.kept)
	r.kept = nil
	return true
}
