package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
)

// errStalled cancels a link that was silent for too long.
var errStalled = errors.New("the link is silent")

const watchInterval = 100 * time.Millisecond

// watched is one stream under watch.
type watched struct {
	heard  atomic.Int64 // time of the last event, in nanoseconds
	bound  time.Duration
	cancel context.CancelCauseFunc
}

// watchdog cancels silent links. One goroutine looks after all streams. It is
// safe for concurrent use.
type watchdog struct {
	timers vanillaward.Timers

	mu      sync.Mutex // guards streams; never held while another lock is taken
	streams map[*watched]struct{}
}

func newWatchdog(timers vanillaward.Timers) *watchdog {
	return &watchdog{timers: timers, streams: map[*watched]struct{}{}}
}

func (d *watchdog) add(bound time.Duration, cancel context.CancelCauseFunc) *watched {
	w := &watched{bound: bound, cancel: cancel}
	w.heard.Store(int64(d.timers.Now()))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[w] = struct{}{}
	return w
}

func (d *watchdog) remove(w *watched) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, w)
}

func (d *watchdog) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for now := range d.timers.Subscribe(ctx, watchInterval) {
			d.scan(now)
		}
		done <- nil
	}()
	return done
}

func (d *watchdog) scan(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.streams {
		if now-time.Duration(w.heard.Load()) > w.bound {
			w.cancel(errStalled)
		}
	}
}
