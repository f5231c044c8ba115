package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/rescue"
)

const (
	// moveTime bounds the copying of a run on demand.
	moveTime = 2 * time.Second
	// copyMargin is how long before its end a copy made on demand is renewed.
	copyMargin = 1500 * time.Millisecond
)

// run is a generation at an engine. Its fields are guarded by the server's lock.
type run struct {
	ctx     context.Context //nolint:containedctx // ends with the request, for moves of the run
	request string
	tokens  int
	backup  bool          // a copy of it is to grow at another engine
	movable bool          // its engines copy it when asked to
	keep    time.Duration // how long they keep such a copy

	engine   *balance.Target
	started  bool // the run has made an event at its engine
	copy     *heldCopy
	moving   chan struct{} // closed when a copy on demand is done; nil without one
	failures int           // copies on demand that failed
	avoid    []string      // engines that could not take the run's memory, or were silent
}

// heldCopy is a copy of a run's memory at another engine.
type heldCopy struct {
	run    *balance.Target // the engine of the run
	holder *balance.Target
	at     string        // address of the engine that names the copy
	name   string        // its name there
	until  time.Duration // when it is dropped; 0 while the run goes on
}

// addRun registers a run at an engine.
func (g *Server) addRun(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r] = struct{}{}
	g.chooseCopy(r)
}

// at returns the run as it goes on at another engine.
func (r *run) at(engine *balance.Target) *run {
	return &run{
		ctx: r.ctx, request: r.request, tokens: r.tokens, backup: r.backup, movable: r.movable, keep: r.keep, engine: engine,
		avoid: []string{r.engine.ID()},
	}
}

// startedRun notes the first event of a run at its engine, and has it copied if that
// engine is about to end.
func (g *Server) startedRun(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.started {
		return
	}
	r.started = true
	if g.balancer.Leaving(r.engine, g.base.Timers.Now()) {
		g.watchRuns()
	}
}

// chooseCopy chooses the engine at which a copy of a run is to grow, where one is wanted.
// It is called with the lock held.
func (g *Server) chooseCopy(r *run) {
	if !r.backup {
		return
	}
	now := g.base.Timers.Now()
	holder := g.balancer.ChooseBackup(r.engine, r.tokens, r.avoid, now)
	if holder == nil {
		g.base.Log.Info("no engine has room for a copy", "request", r.request, "target", r.engine.ID())
		return
	}
	g.base.Log.Info("copy grows with its run", "request", r.request, "target", r.engine.ID(), "to", holder.ID())
	g.holdCopy(r, &heldCopy{holder: holder, at: holder.Address(), name: r.request})
}

// holdCopy notes a run's copy. It is called with the lock held.
func (g *Server) holdCopy(r *run, c *heldCopy) {
	c.run = r.engine
	g.balancer.HoldCopy(c.run, c.holder, r.tokens, g.base.Timers.Now())
	r.copy = c
}

// removeRun ends a run and frees a copy made on demand that was not used.
func (g *Server) removeRun(r *run) {
	g.mu.Lock()
	delete(g.runs, r) // from here on a copy that is done is freed by whoever made it
	g.mu.Unlock()
	unused := g.takeCopy(r)
	if unused != nil && unused.until > 0 { // engines drop a copy that grew with its run by themselves
		g.free(unusedCopy{request: r.request, at: unused.at, name: unused.name})
	}
}

// backupAddress returns where an engine should copy the run's memory as it grows,
// or the empty string.
func (g *Server) backupAddress(r *run) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r == nil || r.copy == nil || r.copy.until > 0 {
		return ""
	}
	return r.copy.at
}

// hasCopy reports whether a run can go on elsewhere.
func (g *Server) hasCopy(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.copy != nil
}

// takeCopy returns the run's copy, if one exists, and forgets it.
func (g *Server) takeCopy(r *run) *heldCopy {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := r.copy
	g.dropCopy(r)
	if c == nil || !rescue.CopyExists(c.until > 0, r.started) {
		return nil
	}
	return c
}

// dropCopy is called with the lock held.
func (g *Server) dropCopy(r *run) {
	if r.copy != nil {
		g.balancer.DropCopy(r.copy.run, r.copy.holder, r.tokens)
		r.copy = nil
	}
}

// awaitMove waits for a copy on demand that is being made.
func (g *Server) awaitMove(ctx context.Context, r *run) {
	g.mu.Lock()
	moving := r.moving
	g.mu.Unlock()
	if moving == nil {
		return
	}
	select {
	case <-moving:
	case <-ctx.Done():
	}
}

// watchRuns starts the copies that what is known of the engines asks for. It is
// called with the lock held.
func (g *Server) watchRuns() {
	now := g.base.Timers.Now()
	for r := range g.runs {
		view := rescue.View{
			EngineLeaving: g.balancer.Leaving(r.engine, now), Started: r.started, CopyUsable: g.usable(r.copy, now),
			Moving: r.moving != nil, Movable: r.movable, Failures: r.failures,
		}
		if rescue.Next(view) != rescue.Copy {
			continue
		}
		destination := g.destination(r, now)
		if destination == nil {
			continue
		}
		r.moving = make(chan struct{})
		go g.move(r, r.engine, destination, r.moving)
	}
}

// usable reports whether a run can rely on a copy. It is called with the lock held.
func (g *Server) usable(c *heldCopy, now time.Duration) bool {
	return c != nil && !g.balancer.Leaving(c.holder, now) && (c.until == 0 || now < c.until)
}

// destination returns the engine that a run's memory should be copied to, or nil: the
// one that holds an older copy, which needs only what is new, or any with room. It is
// called with the lock held.
func (g *Server) destination(r *run, now time.Duration) *balance.Target {
	if r.copy != nil && r.copy.until > 0 && !g.balancer.Leaving(r.copy.holder, now) {
		return r.copy.holder
	}
	return g.balancer.ChooseRefuge(r.engine, r.tokens, r.avoid, now)
}

// move copies a run's memory to another engine while the run goes on. It reports its
// end on the channel.
func (g *Server) move(r *run, source, destination *balance.Target, ended chan struct{}) {
	defer close(ended)
	started := g.base.Timers.Now()
	// The copying goes on at the engines when the request ends: only its answer names the
	// copy that is to be freed then.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), moveTime)
	defer cancel()
	got, err := g.engines.Move(ctx, vanillaward.Move{Source: source.Address(), Destination: destination.Address(), Request: r.request})
	if err == nil {
		g.setMoved(r, destination, source, got.Handle)
		g.base.Log.Info("run copied", "request", r.request, "target", source.ID(), "to", destination.ID(), "made", got.Made,
			"took-ms", (g.base.Timers.Now() - started).Milliseconds())
	}
	g.endMove(r, destination, err)
}

// setMoved notes where the copy of a move is.
func (g *Server) setMoved(r *run, holder, source *balance.Target, handle string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.runs[r]; !open {
		g.free(unusedCopy{request: r.request, at: source.Address(), name: handle})
		return
	}
	g.dropCopy(r)
	until := g.base.Timers.Now() + max(copyMargin, r.keep-copyMargin)
	g.holdCopy(r, &heldCopy{holder: holder, at: source.Address(), name: handle, until: until})
}

func (g *Server) endMove(r *run, destination *balance.Target, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.moving = nil
	if err == nil {
		return
	}
	r.failures++
	r.avoid = append(r.avoid, destination.ID())
	g.base.Log.Info("run not copied", "request", r.request, "target", r.engine.ID(), "to", destination.ID(), "reason", err.Error())
	if r.ctx.Err() == nil {
		g.watchRuns()
	}
}
