package gateway

import (
	"bytes"
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// errNotContinued is returned for the stream of an engine that was asked to send the events after a given one and
// has begun elsewhere, as one does that ignores the number.
var errNotContinued = errors.Wrap(errOrder, "the engine has not continued the stream after the event that it was given")

// acceptLastEvent records which event the stream of a resumable route is to continue after. It reports false if
// the caller states none that is valid. On other routes, what the caller states counts for nothing.
func (req *request) acceptLastEvent() bool {
	if !req.route.Resumable() {
		req.caller.LastEvent = vanillaward.LastEvent{}
		return true
	}
	req.stream.lastEvent = req.caller.LastEvent.Number
	return req.caller.LastEvent.Valid || !req.caller.LastEvent.Stated
}

// continuesAfter returns the number of the event after which a target is to continue the stream, or nil if the
// target gets the request as its caller sent it.
func (req *request) continuesAfter() *uint64 {
	if !req.route.Resumable() || !req.caller.LastEvent.Stated && req.stream.passed == 0 {
		return nil
	}
	after := req.stream.lastEvent
	return &after
}

// checksFirst reports whether the first event of the next answer must be the one after stream.lastEvent, so that
// nothing of the answer may be passed on before that is known.
func (req *request) checksFirst() bool {
	return req.route.Resumable() && (req.caller.LastEvent.Stated || req.stream.headSent)
}

// resumesRun reports whether the stream is that of a run that goes on from its copy.
func (req *request) resumesRun() bool { return req.stream.run != nil && req.stream.run.resumption > 0 }

// startUnchecked sends the head of an answer to the caller, unless the first event has to be checked before.
func (req *request) startUnchecked(response *http.Response) error {
	if req.checksFirst() {
		return nil
	}
	return req.startStream(response)
}

// checkFirst checks that the first event of an answer is the one after stream.lastEvent, and then sends the head.
func (req *request) checkFirst(event []byte, response *http.Response) error {
	if number, ok := eventNumber(event); !ok || number != req.stream.lastEvent+1 {
		if req.resumesRun() {
			return errNotResumed
		}
		req.server.base.Metrics.NotContinued()
		return errNotContinued
	}
	return req.startStream(response)
}

// isFiller reports whether a block of a stream is no event: it has neither a number nor data, as a comment.
func isFiller(block []byte) bool {
	for line := range bytes.Lines(block) {
		if name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":")); bytes.Equal(name, []byte("id")) || bytes.Equal(name, []byte("data")) {
			return false
		}
	}
	return true
}

// breakOff ends the part of a stream that has failed with an error at its engine. Another attempt may continue the
// stream of a resumable route.
func (req *request) breakOff(err error) {
	if req.route.Resumable() && !isCallerError(err) && !req.aborted {
		req.stream.broken = true
		return
	}
	req.abortAnswer()
}

// rejectContinuation handles an answer that is no stream after a part of one has been passed on.
func (req *request) rejectContinuation(t *balance.Target, conn *upstream.Conn, response *http.Response, info vanillaward.TargetAnswer) balance.Result {
	req.server.base.Log.Info("target did not continue the stream", "request", req.caller.ID, "target", t.ID(), "status", response.StatusCode, "after", req.stream.lastEvent)
	if drain(response) {
		req.releaseConn(conn, response, info)
	} else {
		conn.Close()
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Abandoned
}

// leaveTarget is called before the request goes to another target after an attempt. An engine that may not have
// noticed the end of its connection is made to end the run, before another one begins it.
func (req *request) leaveTarget(ctx context.Context, a attemptResult) {
	if a.outcome != failed || !req.route.Resumable() {
		return
	}
	if r := req.stream.run; r != nil && a.failureAnswer == nil { // otherwise the engine has ended the run itself
		if out := req.awaitStop(ctx, r); out != haltStopped {
			req.followRun(r.engine, r.engine, out != haltGone)
		}
	}
	req.leftAt = req.server.base.Timers.Now()
	req.noteContinued(req.target, "")
}

// leaveHelper is called before the request goes elsewhere after its stream has broken off at another instance.
func (req *request) leaveHelper(helper string) {
	req.helper, req.leftAt = helper, req.server.base.Timers.Now()
	req.noteContinued(req.target, helper)
}

// noteContinued records that another target is asked for the rest of a stream.
func (req *request) noteContinued(from, helper string) {
	if req.stream.passed == 0 {
		return
	}
	req.stream.continued++
	req.server.base.Log.Info("stream is continued at another target", "request", req.caller.ID, "from", from, "helper", helper, "after", req.stream.lastEvent,
		"events", req.stream.passed, "took-ms", (req.server.base.Timers.Now() - req.arrived).Milliseconds())
}
