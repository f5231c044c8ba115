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

// errStalled ends the reading of an engine's stream once the holder of the copy has accepted
// the run.
var errStalled = errors.New("engine stalled; run resumed from its copy")

// stallWatch detects stalls in the part of a stream that one engine sends. A stalled engine
// may be lost, or may only have preempted the run in favour of other runs, and the copy may
// be lost as well. So the connection to the engine is closed only once the holder of the copy
// has accepted the run; if the holder does not, the stream from the engine continues.
type stallWatch struct {
	req      *request
	source   *upstream.Conn
	ctx      context.Context //nolint:containedctx // bounds the request to the holder
	cancel   context.CancelFunc
	timer    *time.Timer
	inFlight sync.WaitGroup

	mu         sync.Mutex // guards the fields below and stream.lastEvent; held while events are written
	requesting bool       // a request to the holder is in flight
	stopped    bool
	accepted   *resumption
}

// watchStall watches a stream until stop is called.
func (req *request) watchStall(ctx context.Context, source *upstream.Conn) *stallWatch {
	s := &stallWatch{req: req, source: source}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// event calls pass, which passes an event on to the caller, and restarts the stall timer if
// the run has a copy. It returns errStalled, without calling pass, if the holder of the copy
// has accepted the run meanwhile.
func (s *stallWatch) event(pass func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted != nil {
		return errStalled
	}
	if err := pass(); err != nil {
		return err
	}
	if s.requesting || s.req.stream.run == nil || !s.req.server.hasCopy(s.req.stream.run) {
		return nil
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(stallTimeout, s.tryResume)
	} else {
		s.timer.Reset(stallTimeout)
	}
	return nil
}

// tryResume asks the holder of the copy to resume the run. It cancels the resumption if the
// engine has sent another event, or the watch was stopped, before the holder accepted.
func (s *stallWatch) tryResume() {
	s.mu.Lock()
	if s.requesting || s.stopped {
		s.mu.Unlock()
		return
	}
	s.requesting = true
	s.inFlight.Add(1)
	last := s.req.stream.lastEvent
	s.mu.Unlock()
	defer s.inFlight.Done()
	r := s.req.requestResumption(s.ctx, last)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requesting = false
	switch {
	case r == nil:
	case s.stopped || s.req.stream.lastEvent != last:
		s.req.cancelResumption(r)
	default:
		s.accepted = r
		s.source.Close()
	}
}

// stop ends the watch. It returns the resumption that the holder of the copy has accepted, or
// nil.
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
