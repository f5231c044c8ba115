package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	streamBuffer = 4 << 10
	// callerWrite bounds how long a caller may leave an event unread.
	callerWrite = 10 * time.Second
)

// errOrder ends a stream whose events are not numbered one after another.
var errOrder = errors.New("events are not numbered one after another")

// stream is what a request knows of its run at an engine.
type stream struct {
	passed  int           // events that the caller got
	last    uint64        // number of the last of them
	headed  bool          // the caller got the head of the answer
	resumed int           // how often the run went on from a copy
	first   time.Duration // from the request's arrival to the first event
	latest  time.Duration // when the last event was passed on
	gap     time.Duration // the longest time between two events
	run     *run          // nil for requests that no engine runs
	next    *resumption   // the run goes on there, after its engine was silent
}

// relay passes on a stream, event by event. When it breaks off, the run goes on
// from its copy; without one, the answer does not look complete.
func (x *request) relay(ctx context.Context, t *balance.Target, conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer) balance.Result {
	x.maybeRun = true
	err := x.startStream(response)
	if err == nil {
		err = x.passEvents(ctx, conn, response.Body)
	}
	if err == nil {
		x.reason = reasonComplete
		x.release(conn, response, said)
		return balance.Served
	}
	conn.Close()
	if !isCaller(err) {
		_ = http.NewResponseController(x.w).Flush() // whole events that wait; the caller may have left
	}
	got := x.broke(ctx, "stream broke off", t, err)
	if !x.goOn(ctx, err) {
		x.cutOff()
	}
	return got
}

// startStream gives the caller the head of the answer, once.
func (x *request) startStream(response *http.Response) error {
	if x.stream.headed {
		return nil
	}
	x.stream.headed = true
	x.copyHeader(response.Header)
	x.w.WriteHeader(response.StatusCode)
	x.status = response.StatusCode
	return http.NewResponseController(x.w).Flush()
}

// callerError marks an error of the caller's connection, after which there is
// nobody to go on for.
type callerError struct{ error }

func (e callerError) Unwrap() error { return e.error }

// passEvents returns nil after the end of a whole stream.
func (x *request) passEvents(ctx context.Context, conn *upstream.Conn, body io.Reader) error {
	watch := x.watchSilence(ctx, conn)
	err := x.readEvents(watch, body)
	next := watch.stop()
	if next != nil && (err == nil || isCaller(err)) {
		x.abandon(next)
		next = nil
	}
	x.stream.next = next
	return err
}

func (x *request) readEvents(watch *silence, body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBuffer)
	control := http.NewResponseController(x.w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // fails only where the connection has ended
	for first := true; ; first = false {
		event, err := readEvent(reader)
		if first && err == nil && x.stream.run != nil {
			x.server.startedRun(x.stream.run)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(event) > 0 {
			if err := watch.event(func() error { return x.passEvent(control, event, !eventWaits(reader)) }); err != nil {
				return err
			}
		}
		if err != nil {
			return nil
		}
	}
}

func (x *request) passEvent(control *http.ResponseController, event []byte, flush bool) error {
	if number, ok := eventNumber(event); ok {
		if x.stream.passed > 0 && number != x.stream.last+1 {
			return errOrder
		}
		x.stream.last = number
	}
	if err := control.SetWriteDeadline(time.Now().Add(callerWrite)); err != nil {
		return callerError{err}
	}
	if _, err := x.w.Write(event); err != nil {
		return callerError{err}
	}
	x.stream.passed++
	x.stream.note(x.server.base.Timers.Now(), x.arrived)
	if !flush {
		return nil
	}
	if err := control.Flush(); err != nil {
		return callerError{err}
	}
	return nil
}

// note keeps the times that callers feel.
func (s *stream) note(now, arrived time.Duration) {
	if s.passed == 1 {
		s.first = now - arrived
	} else {
		s.gap = max(s.gap, now-s.latest)
	}
	s.latest = now
}
