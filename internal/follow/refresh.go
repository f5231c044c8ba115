package follow

import (
	"context"
	"sync"
	"time"
)

// refreshTimeout bounds how long Refresh waits. An exchange with a leader that responds takes a few
// milliseconds.
const refreshTimeout = 40 * time.Millisecond

// refresher paces the exchanges of uses with the leader: one at an interval, and one at once when it is
// asked for.
type refresher struct {
	asked chan struct{} // holds an element while an exchange is asked for

	mu sync.Mutex // guards the rest; never held while another lock is taken
	// waiting and inFlight hold a channel for each call of wait: those that came before the exchange
	// in flight began are ended by it, the others by the next one.
	waiting  []chan struct{}
	inFlight []chan struct{}
}

func newRefresher() *refresher { return &refresher{asked: make(chan struct{}, 1)} }

// ask has the next exchange begin at once.
func (r *refresher) ask() {
	select {
	case r.asked <- struct{}{}:
	default: // it is asked for already
	}
}

// awaitNext returns when the next exchange is due.
func (r *refresher) awaitNext(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.asked:
	}
}

// begin is called when an exchange begins.
func (r *refresher) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = append(r.inFlight, r.waiting...)
	r.waiting = nil
}

// end is called when an exchange has ended and its result is known, or has failed.
func (r *refresher) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, done := range r.inFlight {
		close(done)
	}
	r.inFlight = nil
}

// wait returns when an exchange that begins after the call has ended, or the context ends.
func (r *refresher) wait(ctx context.Context) {
	done := make(chan struct{})
	r.mu.Lock()
	r.waiting = append(r.waiting, done)
	r.mu.Unlock()
	r.ask()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Refresh exchanges the uses of targets with the leader and returns when that has happened, so that a
// choice of an engine knows what other instances have begun until then. It returns at once without
// a leader, and after refreshTimeout at the latest.
func (f *Follower) Refresh(ctx context.Context) {
	f.mu.Lock()
	follows := f.leader != "" && f.followed[f.leader] && !f.controlLost
	f.mu.Unlock()
	if !follows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	f.refresher.wait(ctx)
}

// Announce has the leader told of this instance's uses of targets at once.
func (f *Follower) Announce() { f.refresher.ask() }
