// Package fleet reads the platform's list of targets and the engines' load reports,
// and publishes them to the instances that follow this process.
package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// ListPublisher publishes readings of the platform's list of targets.
type ListPublisher interface {
	// PublishTargets publishes a complete reading, which was started at the time now.
	// Changed reports whether it differs from the previous one.
	PublishTargets(targets []*wire.Target, changed bool, now time.Duration)
}

// Reader reads the platform's list of targets at an interval. If a reading fails, the previous
// one stays in force.
type Reader struct {
	log       logr.Logger
	timers    vanillaward.Timers
	directory vanillaward.Directory
	publisher ListPublisher
	interval  time.Duration
	isLeader  func() bool
	skipped   int            // intervals since the last reading
	last      []*wire.Target // the last successful reading
	hasRead   bool
	failed    bool // whether the last reading failed
}

// nonLeaderIntervals is the number of intervals between two readings of a process that is
// not the leader. It reads less often, because the leader distributes its own readings to all
// instances.
const nonLeaderIntervals = 2

// NewReader returns a reader that publishes to publisher. The function isLeader reports
// whether this process is the leader, which reads at every interval.
func NewReader(log logr.Logger, timers vanillaward.Timers, directory vanillaward.Directory, publisher ListPublisher, interval time.Duration, isLeader func() bool) *Reader {
	return &Reader{log: log, timers: timers, directory: directory, publisher: publisher, interval: interval, isLeader: isLeader}
}

// Run reads until the context ends. It then sends nil on the returned channel.
func (r *Reader) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		r.step(ctx)
		for range r.timers.Subscribe(ctx, r.interval) {
			if r.skipped++; r.skipped >= nonLeaderIntervals || r.isLeader() {
				r.skipped = 0
				r.step(ctx)
			}
		}
		done <- nil
	}()
	return done
}

func (r *Reader) step(ctx context.Context) {
	startedAt := r.timers.Now()
	targets, err := r.directory.Targets(ctx)
	if err != nil {
		if !r.failed && ctx.Err() == nil {
			r.log.Info("cannot read list of targets", "reason", err.Error())
		}
		r.failed = true
		return
	}
	if r.failed {
		r.log.Info("list of targets can be read again", "listed", len(targets))
	}
	r.failed = false
	slices.SortFunc(targets, compareTargets)
	changed := !r.hasRead || !equalTargets(r.last, targets)
	if changed {
		r.log.Info("list of targets changed", "listed", len(targets), "changes", differences(r.last, targets))
	}
	r.last, r.hasRead = targets, true
	r.publisher.PublishTargets(targets, changed, startedAt)
}

// compareTargets orders targets by identity, and those with the same identity by address and service.
func compareTargets(a, b *wire.Target) int {
	return cmp.Or(
		cmp.Compare(a.GetId(), b.GetId()), cmp.Compare(a.GetAddress(), b.GetAddress()), cmp.Compare(a.GetService(), b.GetService()),
		cmp.Compare(a.GetState(), b.GetState()),
	)
}

// equalTargets reports whether two readings are equal apart from the remaining warm-up times
// (ColdMs), which change in every reading.
func equalTargets(a, b []*wire.Target) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Target) bool {
		if x.GetColdMs() == y.GetColdMs() {
			return proto.Equal(x, y)
		}
		z := proto.CloneOf(y)
		z.ColdMs = x.GetColdMs()
		return proto.Equal(x, z)
	})
}

// differences lists the targets that were added (+), removed (-) or changed their state.
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
