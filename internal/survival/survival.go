// Package survival looks at targets whose connections ended in a way that leaves open whether they crashed: a target that
// crashed takes no connection for some seconds.
package survival

import (
	"context"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/upstream"
	"github.com/vanillaward/vanillaward/internal/worker"
)

const (
	// openTime is how long a target must keep a new connection open to show that it did not crash.
	openTime = 200 * time.Millisecond
	// queueLength bounds the ends whose targets are still to be looked at, and workers how many are at the same time.
	queueLength = 64
	workers     = 16
)

// End is the end of a request's connection at a target. Times are those of the timers.
type End struct {
	// Attempt identifies the attempt, and Identity the request.
	Attempt  string
	Identity quarantine.Request
	// Parts are those that the prompt shares with others and that the end would speak against. If the answer looked whole,
	// they are those that it would speak for: none unless it succeeded.
	Parts   []string
	Target  string
	Address string
	SentAt  time.Duration
	At      time.Duration
	// Whole reports that the answer looked whole.
	Whole bool
	// Late reports that the answer had begun too long ago for a crash to be certain: it speaks against the whole request only if
	// the target does not live on.
	Late bool
}

// Watcher records ends as crashes, or as whole answers, by whether their targets live on. It is safe for concurrent use.
type Watcher struct {
	base   base.Base
	pool   *upstream.Pool
	ledger *evidence.Ledger
	ends   chan End
}

// New returns a watcher that connects by a pool and records in a ledger.
func New(b base.Base, pool *upstream.Pool, ledger *evidence.Ledger) *Watcher {
	return &Watcher{base: b, pool: pool, ledger: ledger, ends: make(chan End, queueLength)}
}

// Note queues an end. It never waits: if the queue is full, the end shows nothing.
func (w *Watcher) Note(e End) {
	select {
	case w.ends <- e:
	default:
		w.base.Log.V(1).Info("target not looked at after its connection ended", "request", e.Attempt, "target", e.Target, "reason", "queue is full")
	}
}

// Run looks at the targets of queued ends until the context ends, and then sends nil on the returned channel.
func (w *Watcher) Run(ctx context.Context) <-chan error {
	return worker.Run(ctx, workers, w.ends, w.look)
}

func (w *Watcher) look(ctx context.Context, e End) {
	timer, cancel := context.WithCancel(ctx)
	defer cancel()
	survived := w.pool.StaysOpen(ctx, e.Target, e.Address, w.base.Timers.Subscribe(timer, openTime))
	if ctx.Err() != nil {
		return
	}
	held := w.ledger.Parts()
	switch {
	case survived && e.Whole:
		w.ledger.Answered(e.Identity, e.Target, e.Parts, e.At)
	case !survived && len(e.Parts) > 0:
		held = w.ledger.PartsMayHaveCrashed(e.Attempt, e.Target, e.Parts, e.SentAt, e.At)
	}
	if !survived && e.Late {
		w.ledger.RequestCrashed(e.Identity, e.Attempt, e.Target, e.SentAt)
	}
	w.base.Log.Info("target looked at after its connection ended", "request", e.Attempt, "target", e.Target, "address", e.Address, "whole", e.Whole,
		"age-ms", (w.base.Timers.Now() - e.At).Milliseconds(), "survived", survived, "parts", strings.Join(e.Parts, ","), "held-back", held)
	w.base.Metrics.Survival(survived)
}
