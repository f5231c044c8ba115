package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// attemptLimit ends an attempt that another attempt may follow, when its target has sent nothing for some time. It ends
// none that no other target could take over, nor while the retry budget allows no other attempt: an engine that only
// has other requests to run first would be left for nothing.
type attemptLimit struct {
	req    *request
	cancel context.CancelFunc

	mu    sync.Mutex  // guards the fields below
	timer *time.Timer // nil without a limit, and once it was lifted
	tried []string    // IDs of the targets that got the request
}

// limitAttempt returns a limit that ends an attempt by a function.
func (req *request) limitAttempt(cancel context.CancelFunc, tried ...string) *attemptLimit {
	l := &attemptLimit{req: req, cancel: cancel, tried: tried}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(req.attemptTime(), l.expire)
	return l
}

func (l *attemptLimit) expire() {
	if l.another() {
		l.cancel()
		return
	}
	l.restart()
}

// another reports whether another target may get the request and could take it.
func (l *attemptLimit) another() bool {
	l.mu.Lock()
	tried, lifted := slices.Clone(l.tried), l.timer == nil
	l.mu.Unlock()
	req := l.req
	if lifted || !req.server.repeatAllowed(req.service) || !req.server.couldTake(req.service, req.tokens(), tried) {
		return false
	}
	_, wait := req.heldBack()
	return wait == 0
}

// movedTo records that another target got the request within the attempt.
func (l *attemptLimit) movedTo(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tried = append(l.tried, id)
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

// lift lets the attempt go on without a limit, because no other one can follow it any more. A nil limit does nothing.
func (l *attemptLimit) lift() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// end ends the limit and the attempt.
func (l *attemptLimit) end() {
	l.lift()
	l.cancel()
}

// couldTake reports whether a target that is not among those tried could take a request of a service.
func (g *Server) couldTake(service string, tokens int, tried []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.CouldTake(service, tokens, tried, g.base.Timers.Now())
}
