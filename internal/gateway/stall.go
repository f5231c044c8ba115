package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// stallTimeout is the time without an event within a stream after which its run is to be
	// resumed from the copy that another engine holds.
	stallTimeout = 1500 * time.Millisecond
	// stallRetry is the time after which an engine that may still work on a stalled run is asked again.
	stallRetry = 500 * time.Millisecond
)

// errStalled ends the reading of an engine's stream once the engine has stopped the run, or the
// holder of the copy has accepted it.
var errStalled = errors.New("engine stalled; run goes on from its copy")

// stallWatch detects stalls in the part of a stream that one engine sends. A stalled engine
// may be lost, or may only have preempted the run in favour of other runs, and the copy may
// be lost as well. So an engine that answers is first made to end the run; while it may still work
// on it, the stream from it continues. The connection to an engine that cannot be reached is closed
// only once the holder of the copy has accepted the run; if the holder does not, the stream from the
// engine continues too.
type stallWatch struct {
	req      *request
	source   *upstream.Conn
	ctx      context.Context //nolint:containedctx // bounds the requests to the engine and the holder
	cancel   context.CancelFunc
	timer    *time.Timer
	inFlight sync.WaitGroup

	mu         sync.Mutex // guards the fields below and stream.lastEvent; held while events are written
	requesting bool       // a request to the engine or the holder is in flight
	stopped    bool
	halted     halt // the last answer of the engine
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

// tryResume has the run resumed by the holder of its copy, once its engine does not work on it any
// more, unless the copy is gone since. It cancels the resumption if the engine has sent another event, or the watch was stopped,
// before the holder accepted.
func (s *stallWatch) tryResume() {
	s.mu.Lock()
	if s.requesting || s.stopped || !s.req.server.hasCopy(s.req.stream.run) {
		s.mu.Unlock()
		return
	}
	s.requesting = true
	s.inFlight.Add(1)
	last := s.req.stream.lastEvent
	p := parting{run: s.req.stream.run, cause: errStalled.Error(), lastEvent: s.req.stream.lastPassedAt}
	s.mu.Unlock()
	defer s.inFlight.Done()
	halted := s.req.server.haltAtEngine(s.ctx, p)
	var r *resumption
	if halted.mayGoOn() && halted != haltStopped {
		r, _ = s.req.requestResumption(s.ctx, last)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requesting, s.halted = false, halted
	switch {
	case halted == haltStopped:
		s.source.Close() // the run goes on from its copy after the last event that was read
	case !halted.mayGoOn() && !s.stopped:
		s.awaitEngine(s.req.stream.lastEvent != last)
	case r == nil:
		if !s.stopped && s.req.server.hasCopy(s.req.stream.run) {
			s.awaitEngine(s.req.stream.lastEvent != last)
		}
	case s.stopped || s.req.stream.lastEvent != last:
		s.req.cancelResumption(r)
	default:
		s.accepted = r
		s.source.Close()
	}
}

// awaitEngine restarts the stall timer while the engine may work on the run. It is called with the
// lock held.
func (s *stallWatch) awaitEngine(resumed bool) {
	wait := stallRetry
	if resumed {
		wait = stallTimeout
	}
	s.timer.Reset(wait)
}

// stop ends the watch. It returns the resumption that the holder of the copy has accepted, or
// nil, and the last answer of the engine. If the engine has stopped the run, or may have, the end of its
// stream is not that of the answer.
func (s *stallWatch) stop() (accepted *resumption, halted halt) {
	s.mu.Lock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.cancel()
	s.inFlight.Wait()
	return s.accepted, s.halted
}
