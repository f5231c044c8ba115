// Package fleet reads the platform's list of targets and posts it for the
// instances that follow this one.
package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Board takes readings of the list.
type Board interface {
	// PostList takes a whole reading. Changed tells whether it differs from the
	// one before.
	PostList(targets []*wire.Target, changed bool, now time.Duration)
}

// Reader reads the list at an interval. A list that cannot be read changes
// nothing.
type Reader struct {
	log       logr.Logger
	timers    vanillaward.Timers
	directory vanillaward.Directory
	board     Board
	interval  time.Duration
	leads     func() bool
	skipped   int
	last      []*wire.Target
	read      bool
	failed    bool
}

// otherEvery is how many intervals pass between two readings of a process that does
// not lead: the leader hands its readings to all.
const otherEvery = 2

// NewReader returns a reader that posts to the board. Leads tells whether this process
// reads at every interval.
func NewReader(log logr.Logger, timers vanillaward.Timers, directory vanillaward.Directory, board Board, interval time.Duration, leads func() bool) *Reader {
	return &Reader{log: log, timers: timers, directory: directory, board: board, interval: interval, leads: leads}
}

// Run reads until the context ends and reports its end on the returned channel.
func (r *Reader) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		r.step(ctx)
		for range r.timers.Subscribe(ctx, r.interval) {
			if r.skipped++; r.skipped >= otherEvery || r.leads() {
				r.skipped = 0
				r.step(ctx)
			}
		}
		done <- nil
	}()
	return done
}

func (r *Reader) step(ctx context.Context) {
	asked := r.timers.Now()
	targets, err := r.directory.Targets(ctx)
	if err != nil {
		if !r.failed && ctx.Err() == nil {
			r.log.Info("list of targets lost", "reason", err.Error())
		}
		r.failed = true
		return
	}
	if r.failed {
		r.log.Info("list of targets regained", "listed", len(targets))
	}
	r.failed = false
	slices.SortFunc(targets, func(a, b *wire.Target) int {
		if a.GetId() < b.GetId() {
			return -1
		}
		return 1
	})
	changed := !r.read || !same(r.last, targets)
	if changed {
		r.log.Info("list of targets changed", "listed", len(targets), "changes", differences(r.last, targets))
	}
	r.last, r.read = targets, true
	r.board.PostList(targets, changed, asked)
}

// same compares two readings; how long a target is still slow changes all the
// time and does not count.
func same(a, b []*wire.Target) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Target) bool {
		if x.GetColdMs() == y.GetColdMs() {
			return proto.Equal(x, y)
		}
		z := proto.CloneOf(y)
		z.ColdMs = x.GetColdMs()
		return proto.Equal(x, z)
	})
}

// differences lists the targets that came, left or changed their state.
func differences(before, after []*wire.Target) []string {
	old := map[string]*wire.Target{}
	for _, t := range before {
		old[t.GetId()] = t
	}
	var out []string
	for _, t := range after {
		was := old[t.GetId()]
		delete(old, t.GetId())
		switch {
		case was == nil:
			out = append(out, "+"+t.GetId())
		case was.GetState() != t.GetState():
			out = append(out, t.GetId()+" "+t.GetState().String())
		}
	}
	for id := range old {
		out = append(out, "-"+id)
	}
	slices.Sort(out)
	return out
}
