package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/migration"
	"github.com/vanillaward/vanillaward/internal/timer"
)

const (
	// haltRetry is the time after which an engine that may still work on a run is asked again.
	haltRetry = 200 * time.Millisecond
	// silenceTimeout is the time since the first of several questions in a row that an engine has not answered
	// after which it is taken for one that does not work on the run. A sound engine may be silent for
	// about a second.
	silenceTimeout = 2500 * time.Millisecond
	// minUnanswered is the least number of these questions: this process may have been paused during one.
	minUnanswered = 2
	// haltTimeout bounds how long a run that has lost its connection waits for its engine's word. Then the
	// caller learns that the answer is incomplete.
	haltTimeout = 6 * time.Second
	// stopTimeout bounds how long a request waits until the engine that it leaves has stopped its run. A sound engine may be
	// silent for about a second.
	stopTimeout = 2 * time.Second
	// reportLag bounds how much older than its arrival an engine's report can be.
	reportLag = time.Second
)

// halt is the result of haltAtEngine.
type halt int

const (
	// haltRefused means that the engine works on the run, or may work on it again.
	haltRefused halt = iota
	// haltSilent means that the engine accepts connections and does not answer: it may be lost, or go on at
	// any moment.
	haltSilent
	// haltUnreachable means that the engine refuses connections, or that it has been silent for silenceTimeout.
	haltUnreachable
	// haltUncertain means that the engine was told to stop the run, and has not answered.
	haltUncertain
	// haltGone means that the engine does not have the run any more.
	haltGone
	// haltStopped means that the engine has stopped the run.
	haltStopped
)

// String returns the result's name in logs.
func (h halt) String() string {
	return [...]string{"refused", "silent", "unreachable", "uncertain", "gone", "stopped"}[h]
}

// mayGoOn reports whether the run may go on at another engine.
func (h halt) mayGoOn() bool { return h == haltUnreachable || h == haltGone || h == haltStopped }

// parting is a run that is to leave its engine.
type parting struct {
	run       *run
	cause     string        // why it is to leave
	lastEvent time.Duration // when its last event was passed on
}

// awaitHalt asks a run's engine to end the run, again and again until the engine does not work on it any
// more or the context ends: the report of an engine that has dropped the run may lag, and one that has
// not noticed the end of its connection works on.
func (g *Server) awaitHalt(ctx context.Context, p parting) halt {
	out := g.haltAtEngine(ctx, p)
	for !out.mayGoOn() {
		timer.Sleep(ctx, haltRetry)
		if ctx.Err() != nil {
			break
		}
		out = g.haltAtEngine(ctx, p)
	}
	return out
}

// haltAtEngine makes sure that a run's engine does not work on it any more, so that it can go on at
// the engine that holds its copy. That the connection has ended is not enough, whoever ended it, since not
// all engines notice that, and an engine that has preempted the run starts it again later. The context
// bounds the question what the engine runs; a stop is awaited also after its end, since only the answer
// names the copy.
func (g *Server) haltAtEngine(ctx context.Context, p parting) halt {
	asked := g.base.Timers.Now()
	runs, err := g.engines.Runs(ctx, p.run.engine.Address())
	silent := g.noteQuestion(ctx, p.run, asked, err)
	if err != nil {
		out := classifyNoReport(ctx, err, silent)
		g.logHalt(p, out, err.Error())
		return out
	}
	presence := migration.Locate(runs, p.run.request)
	out := haltRefused
	switch presence {
	case migration.Gone:
		out, err = g.confirmGone(p.run)
	case migration.Running:
		out, err = g.stopAtEngine(p.run)
	case migration.MayReturn:
	}
	reason := presence.String()
	if err != nil {
		reason = err.Error()
	}
	g.logHalt(p, out, reason)
	return out
}

// noteQuestion records whether an engine has answered the question that was asked at a time, and reports
// whether it has been silent for silenceTimeout.
func (g *Server) noteQuestion(ctx context.Context, r *run, asked time.Duration, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, vanillaward.ErrUnreadable):
		r.unanswered = 0
		return false
	case ctx.Err() != nil:
		return false
	case r.unanswered == 0:
		r.silentSince = asked
	}
	r.unanswered++
	return r.unanswered >= minUnanswered && g.base.Timers.Now()-r.silentSince >= silenceTimeout
}

// classifyNoReport returns what it means for a run that its engine has not sent a report.
func classifyNoReport(ctx context.Context, err error, silent bool) halt {
	switch {
	case ctx.Err() != nil, errors.Is(err, vanillaward.ErrUnreadable): // not asked to the end, or alive
		return haltRefused
	case errors.Is(err, vanillaward.ErrUnreachable), silent:
		return haltUnreachable
	}
	return haltSilent
}

// errEarlyReport is the reason why a report that does not name a run is no proof that the run has ended.
var errEarlyReport = errors.New("the report may be older than the run")

// confirmGone returns haltGone for a run that a report does not name, if the report is not older than the
// run.
func (g *Server) confirmGone(r *run) (halt, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.started || g.base.Timers.Now()-r.startedAt < reportLag {
		return haltRefused, errEarlyReport
	}
	return haltGone, nil
}

func (g *Server) logHalt(p parting, h halt, reason string) {
	g.base.Metrics.Halt(h.String())
	g.base.Log.Info("asked the engine to end a run before it goes on elsewhere", "request", p.run.request, "target", p.run.engine.ID(),
		"resumption", p.run.resumption, "cause", p.cause, "result", h.String(), "reason", reason,
		"silent-ms", (g.base.Timers.Now() - p.lastEvent).Milliseconds())
}

// awaitStop has the engine of a run that another engine is to begin anew stop it. It returns once the engine has stopped the
// run, or has said that it does not run it at present, or cannot be reached. One that says nothing is asked for stopTimeout:
// it may be silent for a moment, and work on. Unless it returns haltStopped, the engine has to be followed.
func (req *request) awaitStop(ctx context.Context, r *run) halt {
	g := req.server
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	move := vanillaward.Move{Source: r.engine.Address(), Destination: g.otherEngine(r, r.engine).Address(), Request: r.request, Last: true}
	for {
		moved, err := g.engines.Move(ctx, move)
		out := g.classifyStop(ctx, move, err)
		g.logHalt(parting{run: r, cause: errLeft.Error(), lastEvent: req.stream.lastPassedAt}, out, reasonOf(err))
		if out == haltStopped {
			g.free(unusedCopy{request: r.request, address: move.Source, handle: moved.Handle})
		}
		if out.mayGoOn() {
			return out
		}
		if timer.Sleep(ctx, haltRetry); ctx.Err() != nil {
			return out
		}
	}
}

// errLeft is the cause logged for a run that another engine begins anew.
var errLeft = errors.New("the stream goes on at another engine")

// classifyStop returns what the answer to a last move means for its run.
func (g *Server) classifyStop(ctx context.Context, m vanillaward.Move, err error) halt {
	switch {
	case err == nil, errors.Is(err, vanillaward.ErrNotCopied):
		return haltStopped
	case errors.Is(err, vanillaward.ErrNotRunning):
		return haltGone
	case errors.Is(err, vanillaward.ErrMoveRefused):
		return haltRefused
	}
	if _, err := g.engines.Runs(ctx, m.Source); errors.Is(err, vanillaward.ErrUnreachable) {
		return haltUnreachable
	}
	return haltUncertain
}

func reasonOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// errMoving is the reason why a run is not stopped while it is copied, or has no copy to go on from.
var errMoving = errors.New("the run is being copied, or has no copy")

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
	g.removeCopy(r) // one that the budget did not allow to be used may be there
	g.addCopy(r, r.kept)
	r.kept = nil
	return true
}
