package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/migration"
	"github.com/vanillaward/vanillaward/internal/worker"
)

const (
	// formerRetry is the time after which an engine is asked again for its former runs, and refusedRetry that
	// after it has refused a connection.
	formerRetry  = 200 * time.Millisecond
	refusedRetry = time.Second
	// maxFormerRuns bounds the former runs that are followed at the same time, and their engines.
	maxFormerRuns = 256
	// formerWorkers is how many engines are asked concurrently: one that cannot be reached occupies a worker
	// until the question's time limit.
	formerWorkers = 8
)

// formerRun is a run that its request has left, though the engine may still work on it or begin to: the
// engine could not be asked, or has not said whether it resumes the run.
type formerRun struct {
	request     string
	destination string        // address of an engine that the run could be moved to
	since       time.Duration // when the request left the run
	deadline    time.Duration // of the request; the engine ends the run then by itself
	stopFirst   bool          // it is to be stopped without asking first what the engine runs
}

// formerEngine is an engine with former runs.
type formerEngine struct {
	target *balance.Target
	runs   []formerRun // guarded by the server's lock
}

// follow has a run that its request has left ended at its engine, once that can be reached. Destination is
// another engine of the service.
func (req *request) follow(engine, destination *balance.Target) {
	req.followRun(engine, destination, false)
}

// followRun is follow for a run that may have to be stopped at once: the engine's report does not name it if it is
// younger than the report.
func (req *request) followRun(engine, destination *balance.Target, stopFirst bool) {
	g := req.server
	if destination.Address() == engine.Address() { // it has kept the run
		destination = g.otherEngine(req.stream.run, destination)
	}
	f := formerRun{request: req.caller.ID, destination: destination.Address(), since: g.base.Timers.Now(), deadline: req.deadline, stopFirst: stopFirst}
	added := g.addFormer(engine, f)
	g.base.Log.Info("engine may still work on a run that has left it", "request", f.request, "target", engine.ID(), "to", destination.ID(), "followed", added)
}

// otherEngine returns an engine that a run could be moved to from the given one, or that one if there is none.
func (g *Server) otherEngine(r *run, engine *balance.Target) *balance.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other := g.balancer.ChooseMigrationDestination(engine, r.tokens, r.avoid, g.base.Timers.Now()); other != nil {
		return other
	}
	return engine
}

// addFormer records a former run. It reports false if there are too many.
func (g *Server) addFormer(engine *balance.Target, f formerRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.formerCount >= maxFormerRuns || len(g.former) >= maxFormerRuns {
		return false
	}
	g.formerCount++
	e := g.former[engine.Address()]
	if e == nil {
		e = &formerEngine{target: engine}
		g.former[engine.Address()] = e
		g.formerDue <- e // has room for each engine, which is in it once at most
	}
	e.runs = append(e.runs, f)
	return true
}

// endFormerRuns ends former runs until the context ends and then sends nil on the returned channel.
func (g *Server) endFormerRuns(ctx context.Context) <-chan error {
	return worker.Run(ctx, formerWorkers, g.formerDue, g.askFormer)
}

// askFormer ends the former runs of an engine. It has the engine asked again while there are any.
func (g *Server) askFormer(ctx context.Context, e *formerEngine) {
	open := g.openFormer(e)
	if len(open) == 0 {
		return
	}
	if slices.ContainsFunc(open, formerRun.isUrgent) {
		g.stopUrgent(ctx, e, open)
		open = g.openFormer(e)
	}
	if len(open) == 0 {
		return
	}
	runs, err := g.engines.Runs(ctx, e.target.Address())
	if err == nil {
		g.endAt(ctx, e, open, runs)
	}
	retry := formerRetry
	if errors.Is(err, vanillaward.ErrUnreachable) {
		retry = refusedRetry
	}
	time.AfterFunc(retry, func() {
		select {
		case g.formerDue <- e:
		case <-ctx.Done():
		}
	})
}

func (f formerRun) isUrgent() bool { return f.stopFirst }

// stopUrgent stops the former runs of an engine that are to be stopped at once. The engine is asked for the others,
// and for those that it has not stopped, as for all.
func (g *Server) stopUrgent(ctx context.Context, e *formerEngine, open []formerRun) {
	var stopping sync.WaitGroup
	for _, f := range open {
		if f.stopFirst {
			stopping.Go(func() { g.stopFormer(ctx, e, f) })
		}
	}
	stopping.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range e.runs {
		if slices.Contains(open, e.runs[i]) { // others have come meanwhile
			e.runs[i].stopFirst = false
		}
	}
}

// openFormer returns the former runs of an engine that still have to be ended. It forgets those whose time is
// over, and those whose request has come back to the engine; without any, it forgets the engine.
func (g *Server) openFormer(e *formerEngine) []formerRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	g.removeFormer(e, func(f formerRun) bool { return now >= f.deadline || g.runsAt(f.request, e.target) })
	if len(e.runs) == 0 {
		delete(g.former, e.target.Address())
	}
	return slices.Clone(e.runs)
}

// isFormer reports whether a run has still to be ended at its engine: its request may have come back there.
func (g *Server) isFormer(e *formerEngine, f formerRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(e.runs, f) && !g.runsAt(f.request, e.target)
}

// removeFormer forgets the former runs of an engine for which done returns true. It is called with the lock
// held.
func (g *Server) removeFormer(e *formerEngine, done func(formerRun) bool) {
	before := len(e.runs)
	e.runs = slices.DeleteFunc(e.runs, done)
	g.formerCount -= before - len(e.runs)
}

// runsAt reports whether this instance has a request run at an engine. It is called with the lock held.
func (g *Server) runsAt(request string, engine *balance.Target) bool {
	for r := range g.runs {
		if r.request == request && r.engine.Address() == engine.Address() { // also in a later lifetime of it
			return true
		}
	}
	return false
}

// endAt ends the former runs that an engine's report names, and forgets those that the engine does not have.
func (g *Server) endAt(ctx context.Context, e *formerEngine, open []formerRun, runs vanillaward.EngineRuns) {
	var stopping sync.WaitGroup
	for _, f := range open {
		switch migration.Locate(runs, f.request) {
		case migration.Running:
			stopping.Go(func() { g.stopFormer(ctx, e, f) })
		case migration.Gone:
			if g.base.Timers.Now()-f.since >= reportLag {
				g.forgetFormer(e, f, "gone")
			}
		case migration.MayReturn:
		}
	}
	stopping.Wait()
}

// stopFormer stops a former run by a move, and frees what is kept of it.
func (g *Server) stopFormer(ctx context.Context, e *formerEngine, f formerRun) {
	if !g.isFormer(e, f) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	address := e.target.Address()
	moved, err := g.engines.Move(ctx, vanillaward.Move{Source: address, Destination: f.destination, Request: f.request, Last: true})
	if err != nil && !errors.Is(err, vanillaward.ErrNotCopied) {
		g.base.Log.Info("former run not stopped; its engine is asked again", "request", f.request, "target", e.target.ID(), "reason", err.Error())
		return
	}
	g.free(unusedCopy{request: f.request, address: address, handle: moved.Handle})
	g.forgetFormer(e, f, "stopped")
}

// forgetFormer forgets a former run that its engine has ended.
func (g *Server) forgetFormer(e *formerEngine, f formerRun, result string) {
	g.mu.Lock()
	g.removeFormer(e, func(other formerRun) bool { return other == f })
	g.mu.Unlock()
	g.base.Metrics.FormerRun(result)
	g.base.Log.Info("former run has ended", "request", f.request, "target", e.target.ID(), "result", result,
		"took-ms", (g.base.Timers.Now() - f.since).Milliseconds())
}
