package follow

import (
	"context"
	"sync"
	"time"
)

// maxAskedExchanges bounds the exchanges that are asked for in a row. Each interval between
// exchanges permits one more, so that asking at most doubles their number.
const maxAskedExchanges = 8

// refreshTimeout bounds how long Refresh waits. An exchange with a leader that responds takes a few
// milliseconds.
const refreshTimeout = 40 * time.Millisecond

// refresher paces the exchanges of uses with the leader: one at an interval, and one at once when it is
// asked for.
type refresher struct {
	asked chan struct{} // holds an element while an exchange is asked for

	mu sync.Mutex // guards the rest; never held while another lock is taken
	// spent is how many of maxAskedExchanges were asked for and not regained yet, as of spentAt.
	spent   float64
	spentAt time.Duration
	// waiting and inFlight hold a channel for each call of wait: those that came before the exchange
	// in flight began are ended by it, the others by the next one.
	waiting  []chan struct{}
	inFlight []chan struct{}
}

func newRefresher() *refresher { return &refresher{asked: make(chan struct{}, 1)} }

// ask has the next exchange begin at once, unless too many were asked for lately, and reports whether
// it does. The interval is that between exchanges that nobody asks for.
func (r *refresher) ask(now, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.asked) > 0 {
		return true
	}
	r.spent = max(0, r.spent-float64(now-r.spentAt)/float64(interval))
	r.spentAt = now
	if r.spent+1 > maxAskedExchanges {
		return false
	}
	r.spent++
	select {
	case r.asked <- struct{}{}:
	default: // only this function fills it
	}
	return true
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

// register returns a channel that is closed when an exchange that begins after the call has ended.
func (r *refresher) register() <-chan struct{} {
	done := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, done)
	return done
}

// wait asks for an exchange and returns when it has ended, or the context ends. It returns at once
// if too many were asked for lately.
func (r *refresher) wait(ctx context.Context, now, interval time.Duration) {
	done := r.register()
	if !r.ask(now, interval) {
		return
	}
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
	interval := f.usesInterval
	f.mu.Unlock()
	if !follows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	f.refresher.wait(ctx, f.timers.Now(), interval)
}

// Announce has the leader told of this instance's uses of targets at once, unless that was asked for
// too often lately.
func (f *Follower) Announce() {
	f.mu.Lock()
	interval := f.usesInterval
	f.mu.Unlock()
	f.refresher.ask(f.timers.Now(), interval)
}
