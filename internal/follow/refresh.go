package follow

import (
	"context"
	"sync"
	"time"
)

// Bounds on the exchanges that are asked for, by the size of the leader's answers, which grows with the
// number of targets: what they cost stays the same at any size, and where one answer exceeds the bound
// none is asked for.
const (
	// maxAskedBytes bounds what is received by such exchanges in a row, in bytes.
	maxAskedBytes = 40 << 10
	// askedBytesPerSecond is how much of it is regained in a second.
	askedBytesPerSecond = 5 << 10
)

// refreshTimeout bounds how long Refresh waits. An exchange with a leader that responds takes a few
// milliseconds.
const refreshTimeout = 40 * time.Millisecond

// refresher paces the exchanges of uses with the leader: one at an interval, and one at once when it is
// asked for.
type refresher struct {
	asked chan struct{} // holds an element while an exchange is asked for

	mu sync.Mutex // guards the rest; never held while another lock is taken
	// spent is how much of maxAskedBytes was asked for and not regained yet, as of spentAt.
	spent   float64
	spentAt time.Duration
	// answerBytes is the size of the last answer of the leader.
	answerBytes int
	// interval is the mean time between two exchanges that the leader grants, 0 if it states none, and credit
	// the number of exchanges that may be asked for, as of creditAt.
	interval time.Duration
	credit   float64
	creditAt time.Duration
	// waiting and inFlight hold a channel for each call of wait: those that came before the exchange
	// in flight began are ended by it, the others by the next one.
	waiting  []chan struct{}
	inFlight []chan struct{}
}

func newRefresher() *refresher { return &refresher{asked: make(chan struct{}, 1)} }

// ask has the next exchange begin at once, unless too much was asked for lately, and reports whether
// it does.
func (r *refresher) ask(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.asked) > 0 {
		return true
	}
	if r.interval > 0 {
		return r.askWithin(now)
	}
	r.spent = max(0, r.spent-askedBytesPerSecond*(now-r.spentAt).Seconds())
	r.spentAt = now
	if r.spent+float64(r.answerBytes) > maxAskedBytes {
		return false
	}
	r.spent += float64(r.answerBytes)
	r.beginAsked()
	return true
}

// Where the leader states an interval, one exchange in periodicShare intervals is periodic, and the others may be asked
// for, up to maxCredit in a row.
const (
	periodicShare = 2
	maxCredit     = 3
)

// askWithin has the next exchange begin at once if the interval that the leader states permits it. It is called with the
// lock held.
func (r *refresher) askWithin(now time.Duration) bool {
	perInterval := 1 - 1.0/periodicShare
	r.credit = min(maxCredit, r.credit+perInterval*float64(now-r.creditAt)/float64(r.interval))
	r.creditAt = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	r.beginAsked()
	return true
}

// beginAsked has the next exchange begin at once. It is called with the lock held.
func (r *refresher) beginAsked() {
	select {
	case r.asked <- struct{}{}:
	default: // one is asked for already
	}
}

// setInterval sets the mean time between two exchanges that the leader grants, 0 if it states none.
func (r *refresher) setInterval(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval = interval
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

// end is called when an exchange has ended and its result is known, with the size of the answer in
// bytes, or has failed, with 0.
func (r *refresher) end(answerBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answerBytes > 0 {
		r.answerBytes = answerBytes
	}
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
// if too much was asked for lately.
func (r *refresher) wait(ctx context.Context, now time.Duration) {
	done := r.register()
	if !r.ask(now) {
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
	f.mu.Unlock()
	if !follows {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	f.refresher.wait(ctx, f.timers.Now())
}

// Announce has the leader told of this instance's uses of targets at once, unless too much was asked
// for lately.
func (f *Follower) Announce() { f.refresher.ask(f.timers.Now()) }
