package gateway

import (
	"context"
	"sync"
	"time"
)

// attemptLimit ends an attempt of a stream that another attempt may follow, when its target has sent no event for
// some time. While the retry budget allows no other attempt, the target is given more time: an engine that only has
// other requests to run first would be left for nothing.
type attemptLimit struct {
	req    *request
	cancel context.CancelFunc

	mu    sync.Mutex  // guards timer
	timer *time.Timer // nil once the limit has ended
}

// limitAttempt returns a limit that ends an attempt by a function.
func (req *request) limitAttempt(cancel context.CancelFunc) *attemptLimit {
	l := &attemptLimit{req: req, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(req.attemptTime(), l.expire)
	return l
}

func (l *attemptLimit) expire() {
	if l.req.server.repeatAllowed(l.req.service) {
		l.cancel()
		return
	}
	l.restart()
}

// restart gives the target as much time as at first, of what is left. A nil limit does nothing.
func (l *attemptLimit) restart() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Reset(l.req.attemptTime())
	}
}

// end ends the limit.
func (l *attemptLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer.Stop()
	l.timer = nil
}
