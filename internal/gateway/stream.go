package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/sse"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// callerWriteTimeout bounds how long a caller may leave an event unread.
const callerWriteTimeout = 10 * time.Second

var (
	// errOrder is returned for a stream whose events are not numbered consecutively.
	errOrder = errors.New("events are not numbered consecutively")
	// errNotResumed is returned for the stream of a holder that was asked to resume a run and has begun elsewhere
	// than after the last event, as one does that has no copy and runs the request again.
	errNotResumed = errors.Wrap(errOrder, "the holder of the copy has not resumed the run")
	// errNoEvent is returned for a stream that ends with its connection before its first
	// event: without an event, such an end is no sign that the answer is complete.
	errNoEvent = errors.New("connection ended before the first event")
)

// stream is the state of a request's stream over all its attempts, and of the last one.
type stream struct {
	streamAttempt

	passed       int           // events that were passed on to the caller
	lastEvent    uint64        // number of the last event passed on; before, that of the last one that the caller stated to have
	unnumbered   bool          // events were passed on whose numbers do not tell where the stream can be continued
	continued    int           // how often another engine was asked to continue the stream without a copy of its run
	headSent     bool          // the head of the answer was sent to the caller
	resumed      int           // how often the run was resumed from a copy
	overBudget   bool          // the retry budget did not allow the last resumption
	timeToFirst  time.Duration // from the request's arrival to the first event
	lastPassedAt time.Duration // when the last event was passed on
	longestGap   time.Duration // longest time between two consecutive events
}

// streamAttempt is what concerns one attempt alone: the one that was last sent to a target or to another instance. Each
// attempt makes its own value as a whole, so that nothing is left of the one before, and nothing of its own is lost.
type streamAttempt struct {
	limit      *attemptLimit // ends the attempt; nil at another instance, which has its own
	run        *run          // nil for requests that no engine runs
	broken     bool          // the stream has broken off, and another attempt may continue it
	unfinished int           // bytes of an unfinished event at the end of the last answer
	halted     halt          // what the engine last answered after a stall
	accepted   *resumption   // accepted by the holder of the copy after a stall; nil if there is none
}

// relay passes on a stream, event by event. If the stream ends early, the run is resumed
// from its copy; without a copy, the answer is aborted so that it does not look complete.
func (req *request) relay(ctx context.Context, t *balance.Target, conn *upstream.Conn, response *http.Response, info vanillaward.TargetAnswer) balance.Result {
	req.maybeRun = true
	err := req.startUnchecked(response)
	if err == nil {
		err = req.passEvents(ctx, conn, response)
	}
	if err == nil {
		req.reason = reasonComplete
		req.noteAnswered(true)
		req.releaseConn(conn, response, info)
		return balance.Served
	}
	conn.Close()
	req.server.markEnded(req.stream.run)
	req.noteCrash(ctx, t, err)
	req.flushEvents(err)
	targetResult := req.classifyFailure(ctx, "stream ended before it was complete", t, err)
	if !req.resumeFromCopy(ctx, err) {
		req.breakOff(err)
	}
	return targetResult
}

// flushEvents sends complete events that are still buffered when a stream has ended with an error, unless
// that is one of the caller's connection or the head was not sent.
func (req *request) flushEvents(err error) {
	if req.stream.headSent && !isCallerError(err) {
		req.extendWrite()
		_ = http.NewResponseController(req.w).Flush() // fails if the caller has disconnected
	}
}

// startStream sends the head of the answer to the caller, once.
func (req *request) startStream(response *http.Response) error {
	if req.stream.headSent {
		return nil
	}
	req.stream.headSent = true
	req.copyHeader(response.Header)
	req.extendWrite()
	req.w.WriteHeader(response.StatusCode)
	req.status = response.StatusCode
	if err := http.NewResponseController(req.w).Flush(); err != nil {
		return callerError{err}
	}
	return nil
}

// callerError marks an error of the caller's connection, after which resuming the run is
// pointless.
type callerError struct{ error }

func (e callerError) Unwrap() error { return e.error }

// passEvents passes events on until the stream ends. It returns nil if the stream was
// complete, and a callerError if the caller's connection failed.
func (req *request) passEvents(ctx context.Context, conn *upstream.Conn, response *http.Response) error {
	watch := req.watchStall(ctx, conn)
	read, err := req.readEvents(watch, response)
	if err == nil && read == 0 && upstream.FramingOf(response) == upstream.FramedByClose {
		err = errNoEvent
	}
	if err == nil {
		err = req.startStream(response) // unless its first event has done so
	}
	accepted, halted := watch.stop()
	req.stream.halted = halted
	if (halted == haltStopped || halted == haltUncertain) && (err == nil && upstream.FramingOf(response) == upstream.FramedByClose || err != nil && !isCallerError(err)) {
		err = errStalled
	}
	if accepted != nil && (err == nil || isCallerError(err)) {
		req.cancelResumption(accepted)
		accepted = nil
	}
	req.stream.accepted = accepted
	return err
}

// readEvents passes the events of one engine on until its stream ends. It returns how many
// there were, and nil if the stream ended after a complete event.
func (req *request) readEvents(watch *stallWatch, response *http.Response) (int, error) {
	reader := sse.NewReader(response.Body, sse.WithBudget(req.server.buffers))
	defer reader.Close()
	control := http.NewResponseController(req.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // fails only if the connection is closed
	checked := req.checksFirst()
	for read := 0; ; read++ {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			req.stream.unfinished = reader.Unfinished()
			return read, err
		}
		if read == 0 && checked {
			if isFiller(event) {
				read-- // it is no event, and of an answer that is not continued rightly nothing may be passed on
				continue
			}
			if err := req.checkFirst(event, response); err != nil {
				return read, err
			}
		}
		if read == 0 && req.stream.run != nil {
			req.server.markStarted(req.stream.run)
		}
		err = watch.event(func() error { return req.passEvent(control, event, !reader.Buffered()) })
		if read == 0 && req.resumesRun() && errors.Is(err, errOrder) {
			err = errNotResumed
		}
		if err != nil {
			return read, err
		}
	}
}

func (req *request) passEvent(control *http.ResponseController, event []byte, flush bool) error {
	if number, ok := eventNumber(event); ok {
		if req.stream.passed > 0 && number != req.stream.lastEvent+1 {
			return errOrder
		}
		req.stream.unnumbered = req.stream.unnumbered || number != req.stream.lastEvent+1
		req.stream.lastEvent = number
	} else if !isFiller(event) {
		req.stream.unnumbered = true
	}
	if req.stream.unnumbered {
		req.stream.limit.lift()
	}
	if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return callerError{err}
	}
	if _, err := req.w.Write(event); err != nil {
		return callerError{err}
	}
	req.stream.passed++
	req.stream.limit.restart()
	req.stream.recordTimes(req.server.base.Timers.Now(), req.arrived)
	req.noteOutlived()
	if !flush {
		return nil
	}
	if err := control.Flush(); err != nil {
		return callerError{err}
	}
	return nil
}

// recordTimes records the time to the first event and the longest time between events.
func (s *stream) recordTimes(now, arrived time.Duration) {
	if s.passed == 1 {
		s.timeToFirst = now - arrived
	} else {
		s.longestGap = max(s.longestGap, now-s.lastPassedAt)
	}
	s.lastPassedAt = now
}
