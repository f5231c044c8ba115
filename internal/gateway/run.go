package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/migration"
)

const (
	// moveTimeout bounds the copying of a run's KV cache on demand.
	moveTimeout = 2 * time.Second
	// copyMargin is how long before its expiry a copy made on demand is renewed.
	copyMargin = 1500 * time.Millisecond
)

// run is a generation at an engine. Its fields are guarded by the server's lock.
type run struct {
	ctx            context.Context //nolint:containedctx // ends with the request; used for moves of the run
	request        string
	tokens         int
	continuousCopy bool          // a continuously updated copy is kept at another engine
	movable        bool          // its engines can copy it on demand
	copyLifetime   time.Duration // how long the engines keep a copy made on demand
	copyRate       float64       // tokens that an engine copies in a second; 0 if unknown

	engine     *balance.Target
	from       *balance.Target // the engine before the last resumption; nil for a run that was not resumed
	resumption int             // how often the run was resumed before
	started    bool            // the engine has sent an event of the run
	startedAt  time.Duration   // when the engine sent the first one
	ended      bool            // the run's stream has ended at the engine
	copy       *heldCopy
	uncopied   bool          // it is counted as a run without a copy
	kept       *heldCopy     // what the engine keeps of the run since it stopped it without copying it
	moving     chan struct{} // closed when the copying on demand in progress ends; nil if there is none
	failures   int           // copies on demand that failed
	avoid      []string      // IDs of engines to which copying failed, or that ran the run before its resumption
	// unanswered is how many questions in a row the engine has not answered, and silentSince when the first
	// of them was asked.
	unanswered  int
	silentSince time.Duration
}

// heldCopy is a copy of a run's KV cache at another engine.
type heldCopy struct {
	source  *balance.Target // the run's engine
	holder  *balance.Target
	address string        // address of the engine at which handle identifies the copy
	handle  string        // identifies the copy at that engine
	expires time.Duration // when the engine drops the copy; 0 for a continuously updated copy
}

// growing reports whether the copy is updated while the run goes on. Its engines drop such a copy themselves, and
// nothing tells that it is there; one made on demand, or kept by the run's engine, has been stated by an engine.
func (c *heldCopy) growing() bool { return c.expires == 0 && c.source != c.holder }

// addRun registers a run at an engine.
func (g *Server) addRun(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r] = struct{}{}
	g.startContinuousCopy(r)
	g.countUncopied(r, r.copy == nil)
}

// countUncopied counts the run among those without a copy, or no longer. It is called with the lock
// held.
func (g *Server) countUncopied(r *run, uncopied bool) {
	switch {
	case uncopied && !r.uncopied:
		g.balancer.AddUncopied(r.engine, r.tokens)
	case !uncopied && r.uncopied:
		g.balancer.AddUncopied(r.engine, -r.tokens)
	}
	r.uncopied = uncopied
}

// resumedAt returns the run as it is resumed at another engine.
func (r *run) resumedAt(engine *balance.Target) *run {
	return &run{
		ctx: r.ctx, request: r.request, tokens: r.tokens, continuousCopy: r.continuousCopy, movable: r.movable, copyLifetime: r.copyLifetime, copyRate: r.copyRate, engine: engine,
		from: r.engine, resumption: r.resumption + 1, avoid: []string{r.engine.ID()},
	}
}

// markStarted records the first event of a run at its engine, and has the run copied if
// that engine is leaving.
func (g *Server) markStarted(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.started {
		return
	}
	r.started, r.startedAt = true, g.base.Timers.Now()
	if g.balancer.Leaving(r.engine, g.base.Timers.Now()) {
		g.startMoves()
	}
}

// markEnded records that a run's stream has ended at its engine.
func (g *Server) markEnded(r *run) {
	if r == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.ended = true
}

// startContinuousCopy chooses the engine that is to hold a continuously updated copy of a
// run's KV cache, if the run is to have one, and records the copy. It is called with the lock
// held.
func (g *Server) startContinuousCopy(r *run) {
	if !r.continuousCopy {
		return
	}
	now := g.base.Timers.Now()
	holder := g.balancer.ChooseCopyHolder(r.engine, r.tokens, r.copyRate, r.avoid, now)
	if holder == nil {
		g.base.Log.Info("no engine has capacity for a copy", "request", r.request, "target", r.engine.ID())
		return
	}
	g.base.Log.Info("copy is updated continuously during the run", "request", r.request, "target", r.engine.ID(), "to", holder.ID())
	g.addCopy(r, &heldCopy{holder: holder, address: holder.Address(), handle: r.request})
}

// addCopy records a run's copy. It is called with the lock held.
func (g *Server) addCopy(r *run, c *heldCopy) {
	c.source = r.engine
	g.balancer.AddCopy(c.source, c.holder, r.tokens, g.base.Timers.Now())
	r.copy = c
	g.countUncopied(r, false)
}

// removeRun removes a run and frees a copy made on demand that was not used.
func (g *Server) removeRun(r *run) {
	g.mu.Lock()
	delete(g.runs, r) // recordMove frees a copy that completes later
	g.countUncopied(r, false)
	kept := r.kept
	r.kept = nil
	g.mu.Unlock()
	g.freeUnused(r.request, kept)
	g.freeUnused(r.request, g.takeCopy(r))
}

// copyHolderAddress returns the address to which an engine should copy the run's KV cache
// as it grows, or the empty string.
func (g *Server) copyHolderAddress(r *run) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r == nil || r.copy == nil || !r.copy.growing() {
		return ""
	}
	return r.copy.address
}

// hasCopy reports whether a copy of the run is recorded.
func (g *Server) hasCopy(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.copy != nil
}

// mayHaveCopy reports whether a run can go on from a copy, or may be able to once a move that is in progress
// has ended.
func (g *Server) mayHaveCopy(r *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.moving != nil || r.kept != nil || g.copyExists(r)
}

// takeCopy removes the run's copy from the records and returns it if it exists at its
// engine.
func (g *Server) takeCopy(r *run) *heldCopy {
	g.mu.Lock()
	defer g.mu.Unlock()
	exists := g.copyExists(r)
	c := r.copy
	g.removeCopy(r)
	if !exists {
		return nil
	}
	return c
}

// returnCopy records a copy again that was taken and not used.
func (g *Server) returnCopy(r *run, c *heldCopy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.copy == nil {
		g.addCopy(r, c)
	}
}

// copyExists reports whether a copy of the run is recorded that its holder should have. It is called with the
// lock held.
func (g *Server) copyExists(r *run) bool {
	running := g.base.Timers.Now() - r.startedAt
	return r.copy != nil && migration.CopyExists(!r.copy.growing(), r.started, running, g.settings.CopyAfter)
}

// removeCopy removes the run's copy from the records. It is called with the lock held.
func (g *Server) removeCopy(r *run) {
	if r.copy != nil {
		g.balancer.RemoveCopy(r.copy.source, r.copy.holder, r.tokens)
		r.copy = nil
	}
}

// awaitMove waits until the copying on demand that is in progress, if any, has ended, or
// until the context ends.
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

// startMoves starts copying each run that, by the last known state of the engines, needs a
// copy on demand.
// It is called with the lock held.
func (g *Server) startMoves() {
	now := g.base.Timers.Now()
	for r := range g.runs {
		state := migration.RunState{
			EngineLeaving: g.balancer.Leaving(r.engine, now), Ended: r.ended, Started: r.started, CopyUsable: g.usable(r.copy, now),
			Moving: r.moving != nil, Movable: r.movable, Failures: r.failures,
		}
		if migration.NextStep(state) != migration.StepCopy {
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
	return c != nil && g.mayHold(c.holder, now) && (c.expires == 0 || now < c.expires)
}

// destination returns the engine that a run's KV cache should be copied to, or nil. It is
// the holder of an older copy, to which only the difference must be copied, or else any
// engine with capacity. It is called with the lock held.
func (g *Server) destination(r *run, now time.Duration) *balance.Target {
	if r.copy != nil && r.copy.expires > 0 && g.mayHold(r.copy.holder, now) {
		return r.copy.holder
	}
	return g.balancer.ChooseMigrationDestination(r.engine, r.tokens, r.avoid, now)
}

// move copies a run's KV cache to another engine while the run continues. It closes the
// channel when it ends.
func (g *Server) move(r *run, source, destination *balance.Target, ended chan struct{}) {
	defer close(ended)
	started := g.base.Timers.Now()
	// The engines continue copying when the request ends, and only the answer to Move names
	// the copy that must be freed then. So the context does not end with the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), moveTimeout)
	defer cancel()
	moved, err := g.engines.Move(ctx, vanillaward.Move{Source: source.Address(), Destination: destination.Address(), Request: r.request})
	if err == nil {
		g.recordMove(r, destination, source, moved.Handle)
		g.base.Log.Info("run copied", "request", r.request, "target", source.ID(), "to", destination.ID(), "made", moved.Events,
			"took-ms", (g.base.Timers.Now() - started).Milliseconds())
	}
	g.endMove(r, destination, err)
}

// recordMove records the copy that a move has made, or queues it to be freed if the run has
// ended, or the failure domain of the holder is evacuated.
func (g *Server) recordMove(r *run, holder, source *balance.Target, handle string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.runs[r]; !open || g.balancer.Evacuated(holder) {
		g.free(unusedCopy{request: r.request, address: source.Address(), handle: handle})
		return
	}
	g.removeCopy(r)
	expires := g.base.Timers.Now() + max(copyMargin, r.copyLifetime-copyMargin)
	g.addCopy(r, &heldCopy{holder: holder, address: source.Address(), handle: handle, expires: expires})
}

// endMove marks a move as ended. After a failure it excludes the destination from further
// moves of the run, and starts another move if the request is still in progress. A run that its
// engine does not run at present is tried again at the next news of the engines: neither the
// destination nor the run is the reason.
func (g *Server) endMove(r *run, destination *balance.Target, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.moving = nil
	if err == nil {
		return
	}
	g.base.Log.Info("run not copied", "request", r.request, "target", r.engine.ID(), "to", destination.ID(), "reason", err.Error())
	if errors.Is(err, vanillaward.ErrNotRunning) {
		return
	}
	r.failures++
	r.avoid = append(r.avoid, destination.ID())
	if r.ctx.Err() == nil {
		g.startMoves()
	}
}
