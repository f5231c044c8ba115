package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
)

// errStalled is the cause with which a stalled stream is cancelled.
var errStalled = errors.New("the link is silent")

// watchInterval is how often the streams are checked.
const watchInterval = 100 * time.Millisecond

// watchedStream is a stream that the watchdog monitors.
type watchedStream struct {
	lastEvent atomic.Int64 // time of the last event, in nanoseconds
	timeout   time.Duration
	cancel    context.CancelCauseFunc
}

// watchdog cancels streams that receive no event within their timeout. One goroutine
// checks all streams. It is safe for concurrent use.
type watchdog struct {
	timers vanillaward.Timers

	mu      sync.Mutex // guards streams; never held while another lock is taken
	streams map[*watchedStream]struct{}
}

func newWatchdog(timers vanillaward.Timers) *watchdog {
	return &watchdog{timers: timers, streams: map[*watchedStream]struct{}{}}
}

func (d *watchdog) add(timeout time.Duration, cancel context.CancelCauseFunc) *watchedStream {
	w := &watchedStream{timeout: timeout, cancel: cancel}
	w.lastEvent.Store(int64(d.timers.Now()))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[w] = struct{}{}
	return w
}

func (d *watchdog) remove(w *watchedStream) {
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
		if now-time.Duration(w.lastEvent.Load()) > w.timeout {
			w.cancel(errStalled)
		}
	}
}
