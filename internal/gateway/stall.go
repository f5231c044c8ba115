package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/upstream"
)

// stallTimeout is the time without an event within a stream after which its run is to be
// resumed from the copy that another engine holds.
const stallTimeout = 1500 * time.Millisecond

// errStalled ends the reading of a stream whose run is resumed from its copy.
var errStalled = errors.New("engine stalled; run resumed from its copy")

// stallWatch detects stalls in the part of a stream that one engine sends. A stalled engine
// may be lost, or may only have preempted the run in favour of others, and the copy may be
// lost as well. So the connection to the engine is closed only once the holder of the copy
// has accepted the run; if the holder does not, the stream from the engine continues.
type stallWatch struct {
	req      *request
	source   *upstream.Conn
	ctx      context.Context //nolint:containedctx // ends the request to the holder
	cancel   context.CancelFunc
	timer    *time.Timer
	inFlight sync.WaitGroup

	mu       sync.Mutex // guards the fields below and stream.last; held while events are written
	busy     bool       // a request to the holder is in flight
	stopped  bool
	accepted *resumption
}

// watchStall watches a stream until stop is called.
func (req *request) watchStall(ctx context.Context, source *upstream.Conn) *stallWatch {
	s := &stallWatch{req: req, source: source}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// event passes an event on, unless the run has been resumed at another engine by now, and
// restarts the timer for the next event.
func (s *stallWatch) event(pass func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted != nil {
		return errStalled
	}
	if err := pass(); err != nil {
		return err
	}
	if s.busy || s.req.stream.run == nil || !s.req.server.hasCopy(s.req.stream.run) {
		return nil
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(stallTimeout, s.tryResume)
	} else {
		s.timer.Reset(stallTimeout)
	}
	return nil
}

// tryResume asks the holder of the copy to resume the run.
func (s *stallWatch) tryResume() {
	s.mu.Lock()
	if s.busy || s.stopped {
		s.mu.Unlock()
		return
	}
	s.busy = true
	s.inFlight.Add(1)
	last := s.req.stream.last
	s.mu.Unlock()
	defer s.inFlight.Done()
	r := s.req.requestResumption(s.ctx, last)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	switch {
	case r == nil:
	case s.stopped || s.req.stream.last != last:
		s.req.cancelResumption(r) // the engine has sent an event meanwhile
	default:
		s.accepted = r
		s.source.Close()
	}
}

// stop ends the watch. It returns the run that was resumed at another engine, or nil.
func (s *stallWatch) stop() *resumption {
	s.mu.Lock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.cancel()
	s.inFlight.Wait()
	return s.accepted
}
