package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/upstream"
)

// silentAfter is the silence within a stream after which its run is to go on from the
// copy that another engine holds.
const silentAfter = 1500 * time.Millisecond

// errSilent ends the reading of a stream whose run goes on from its copy.
var errSilent = errors.New("the engine was silent")

// silence watches one engine's part of a stream. A silent engine may be lost, or only have
// set the run aside for others, and the copy may be lost as well. So the engine is let go
// only once the holder of the copy has accepted the run, and goes on when it does not.
type silence struct {
	x      *request
	source *upstream.Conn
	ctx    context.Context //nolint:containedctx // ends the asking of the holder
	cancel context.CancelFunc
	timer  *time.Timer
	asking sync.WaitGroup

	mu       sync.Mutex // guards the rest and the stream's last event; held while events are written
	busy     bool       // the holder is asked
	stopped  bool
	accepted *resumption
}

// watchSilence watches a stream until stop is called.
func (x *request) watchSilence(ctx context.Context, source *upstream.Conn) *silence {
	s := &silence{x: x, source: source}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// event passes an event on, unless the run goes on elsewhere by now, and starts to wait
// for the next.
func (s *silence) event(pass func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted != nil {
		return errSilent
	}
	if err := pass(); err != nil {
		return err
	}
	if s.busy || s.x.stream.run == nil || !s.x.server.hasCopy(s.x.stream.run) {
		return nil
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(silentAfter, s.ask)
	} else {
		s.timer.Reset(silentAfter)
	}
	return nil
}

// ask asks the holder of the copy to go on with the run.
func (s *silence) ask() {
	s.mu.Lock()
	if s.busy || s.stopped {
		s.mu.Unlock()
		return
	}
	s.busy = true
	s.asking.Add(1)
	last := s.x.stream.last
	s.mu.Unlock()
	defer s.asking.Done()
	r := s.x.prepare(s.ctx, last)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	switch {
	case r == nil:
	case s.stopped || s.x.stream.last != last:
		s.x.abandon(r) // the engine went on meanwhile
	default:
		s.accepted = r
		s.source.Close()
	}
}

// stop ends the watching. It returns the run that goes on elsewhere, or nil.
func (s *silence) stop() *resumption {
	s.mu.Lock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.cancel()
	s.asking.Wait()
	return s.accepted
}
