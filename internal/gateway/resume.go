package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/survival"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// maxResumes bounds how often one run is resumed from a copy.
const maxResumes = 8

// newRun registers and returns the run of a generation, or nil for other requests. Long generations get a copy of their
// KV cache at another engine; a short one ends before a copy would help.
func (req *request) newRun(ctx context.Context, engine *balance.Target) *run {
	service := req.table.Service(req.service)
	if req.route.Kind() != route.Stream || !req.route.Generation() || service == nil {
		return nil
	}
	r := &run{
		ctx: ctx, request: req.caller.ID, tokens: req.tokens(), engine: engine,
		continuousCopy: service.ContinuousCopies() && req.caller.LongestTokens >= req.server.settings.CopyFromTokens,
		movable:        service.Moves(), copyLifetime: service.CopyLifetime(), copyRate: service.CopyTokensPerSecond(),
	}
	req.server.addRun(r)
	return r
}

func (req *request) endRun() {
	if req.stream.run != nil {
		req.server.removeRun(req.stream.run)
	}
}

// resumption is a run that the holder of its copy has agreed to resume, with the connection
// and the beginning of the holder's answer.
type resumption struct {
	run      *run
	holder   *balance.Target
	conn     *upstream.Conn
	response *http.Response
	info     vanillaward.TargetAnswer
	began    time.Duration // when the head of the answer arrived
}

// resumeFromCopy resumes a run after the connection to its engine failed with the error
// cause; nil means that the engine has sent no answer. If the holder of the run's copy has
// accepted the run after a stall, the run continues there; otherwise the holder is requested
// to resume the run. The function reports whether the caller was finally served or has
// disconnected. The connection to the engine must have been closed before, so that events of
// two engines are not mixed.
func (req *request) resumeFromCopy(ctx context.Context, cause error) bool {
	if req.stream.run == nil || isCallerError(cause) || errors.Is(cause, errNotContinued) {
		return false
	}
	if errors.Is(cause, errNotResumed) { // it has no copy to go on from, and the next holder would have none either
		req.server.removeRun(req.stream.run)
		req.follow(req.stream.run.engine, req.stream.run.from)
		return false
	}
	accepted := req.stream.accepted
	req.stream.accepted = nil
	if accepted == nil {
		accepted = req.resumeAfter(ctx, cause)
	}
	if accepted == nil {
		return false
	}
	return req.relayResumed(ctx, accepted)
}

// resumeAfter asks the holder of the run's copy, or else the engine that has stopped the run and kept it,
// to resume the run. It returns nil if neither does, or if the run's engine may still work on it.
func (req *request) resumeAfter(ctx context.Context, cause error) *resumption {
	if ctx.Err() != nil || !req.leaveEngine(ctx, cause) {
		return nil
	}
	req.server.awaitMove(ctx, req.stream.run)
	r, mayRun := req.requestResumption(ctx, req.stream.lastEvent)
	if r == nil && !mayRun && req.server.takeKept(req.stream.run) {
		r, _ = req.requestResumption(ctx, req.stream.lastEvent)
	}
	return r
}

// leaveEngine reports whether the run has a copy and may go on from it, because its engine does not work on
// it any more. The end of the connection, whoever caused it, is no proof of that.
func (req *request) leaveEngine(ctx context.Context, cause error) bool {
	if req.stream.halted == haltStopped {
		return true
	}
	req.server.awaitMove(ctx, req.stream.run) // a run is not stopped while it is copied
	if !req.server.mayHaveCopy(req.stream.run) {
		return false
	}
	p := parting{run: req.stream.run, cause: errNoAnswer.Error(), lastEvent: req.stream.lastPassedAt}
	if cause != nil {
		p.cause = cause.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, haltTimeout)
	defer cancel()
	req.stream.halted = req.server.awaitHalt(ctx, p)
	return req.stream.halted.mayGoOn()
}

// errNoAnswer is the cause logged for a run whose engine has sent no answer.
var errNoAnswer = errors.New("no answer")

// errEngineGone is logged for a copy whose holder can no longer be sent requests.
var errEngineGone = errors.New("holder of the copy is no longer listed, is leaving or is in an evacuated failure domain")

func isCallerError(err error) bool {
	var caller callerError
	return errors.As(err, &caller)
}

// requestResumption asks the holder of the run's copy to resume the run after the event
// with the number lastEvent. It returns nil if the run cannot be resumed; the copy is no
// longer available then. With mayRun, the holder may run it all the same, and is followed.
func (req *request) requestResumption(ctx context.Context, lastEvent uint64) (r *resumption, mayRun bool) {
	if req.stream.resumed >= maxResumes {
		return nil, false
	}
	if _, wait := req.heldBack(); wait > 0 {
		return nil, false
	}
	held := req.server.takeCopy(req.stream.run)
	if held == nil {
		return nil, false
	}
	if ctx.Err() != nil {
		req.server.freeUnused(req.caller.ID, held)
		return nil, false
	}
	if !req.server.beginResume(held.holder, req.tokens()) {
		req.logFailure("copy lost with its holder", held.holder, errEngineGone)
		req.server.freeUnused(req.caller.ID, held)
		return nil, false
	}
	r, mayRun, targetResult := req.sendToHolder(ctx, held, lastEvent)
	if r == nil {
		req.server.end(held.holder, req.tokens(), targetResult)
	}
	switch {
	case mayRun:
		if held.holder == held.source { // the run is over here, though its engine may have gone on with it
			req.server.removeRun(req.stream.run)
		}
		req.follow(held.holder, held.source)
	case r == nil && req.stream.overBudget:
		req.server.returnCopy(req.stream.run, held)
	case r == nil:
		req.server.freeUnused(req.caller.ID, held)
	}
	return r, mayRun
}

// sendToHolder sends the request to the holder of its run's copy. If the holder does not
// resume the run, sendToHolder returns nil and the result to record for the holder, and in mayRun
// whether the holder may run the request all the same: only its own statement rules that out.
func (req *request) sendToHolder(ctx context.Context, held *heldCopy, lastEvent uint64) (r *resumption, mayRun bool, result balance.Result) {
	holder := held.holder
	conn, err := req.server.pool.Get(ctx, holder.ID(), holder.Address(), req.caller.ID)
	if err != nil && ctx.Err() != nil {
		req.logFailure("resumption not sent; the run does not need it any more", holder, ctx.Err())
		return nil, false, balance.Abandoned
	}
	if err != nil {
		req.logFailure("holder of the copy not reached", holder, err)
		return nil, false, balance.Unreachable
	}
	defer conn.CloseOnDone(ctx)()
	if req.stream.overBudget = !req.allowRepeat(repeatResumption); req.stream.overBudget {
		conn.Close()
		return nil, false, balance.Abandoned
	}
	resumed := req.stream.run.resumedAt(holder)
	req.server.addRun(resumed)
	response, err := req.sendResume(conn, resumed, held, lastEvent) //nolint:bodyclose // closing the connection or reading to the end releases it
	if err != nil {
		conn.Close()
		req.server.removeRun(resumed)
		if upstream.IsConnectionEnd(err) && ctx.Err() == nil && !req.server.saysLeaving(holder) {
			req.server.crashes.RequestCrashed(req.identity, req.caller.ID, holder.ID(), req.sentAt)
			req.awaitSurvival(holder, survival.End{Parts: req.caller.SharedParts, At: req.server.base.Timers.Now()})
		}
		return nil, true, req.classifyFailure(ctx, "no answer from the holder of the copy", holder, err)
	}
	info := req.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	if response.StatusCode != http.StatusOK {
		conn.Close()
		req.server.removeRun(resumed)
		req.server.base.Log.Info("holder did not resume the run", "request", req.caller.ID, "target", holder.ID(), "resumption", resumed.resumption,
			"status", response.StatusCode, "not-run", info.NotRun, "after", lastEvent)
		return nil, !info.NotRun, balance.Abandoned
	}
	req.server.accepted(holder)
	began := req.server.base.Timers.Now()
	return &resumption{run: resumed, holder: holder, conn: conn, response: response, info: info, began: began}, false, balance.Served
}

func (req *request) sendResume(conn *upstream.Conn, resumed *run, held *heldCopy, lastEvent uint64) (*http.Response, error) {
	resume := &vanillaward.Resume{Address: held.address, Handle: held.handle, LastEvent: lastEvent}
	if err := conn.Send(req.outgoing(held.holder, resumed, resume)); err != nil {
		return nil, err
	}
	return conn.ReadAnswer(req.r.Method, req.inspect(held.holder, conn))
}

// cancelResumption cancels a resumption that is not needed, because the run's engine has sent
// further events or the stream has ended.
func (req *request) cancelResumption(r *resumption) {
	r.conn.Close()
	req.server.removeRun(r.run)
	req.server.end(r.holder, req.tokens(), balance.Abandoned)
	req.server.base.Log.Info("resumption cancelled; run stays at its engine", "request", req.caller.ID, "not-at", r.holder.ID())
	req.follow(r.holder, req.stream.run.engine)
}

// relayResumed relays the events of a run that was resumed at the holder of its copy. It
// reports whether the caller was finally served or has disconnected.
func (req *request) relayResumed(ctx context.Context, r *resumption) bool {
	defer r.conn.CloseOnDone(ctx)()
	former := req.stream.run
	req.server.removeRun(former)
	if req.stream.halted == haltUnreachable {
		req.follow(former.engine, r.holder)
	}
	req.stream.run = r.run
	req.stream.limit.movedTo(r.holder.ID())
	req.stream.resumed++
	req.stream.halted = haltRefused
	req.target, req.answerBegan = r.holder.ID(), r.began
	req.framing, req.stream.unfinished = upstream.FramingOf(r.response), 0
	req.server.base.Log.Info("run resumed from its copy", "request", req.caller.ID, "target", r.holder.ID(), "from", former.engine.ID(), "resumption", r.run.resumption, "events", req.stream.passed,
		"took-ms", (req.server.base.Timers.Now() - req.arrived).Milliseconds())
	targetResult := req.relay(ctx, r.holder, r.conn, r.response, r.info)
	req.server.end(r.holder, req.tokens(), targetResult)
	return !req.aborted && !req.stream.broken
}

// tokens estimates the memory, in tokens, that a generation needs on average: its prompt and
// half of its output, as the output grows from 0. It is 0 for requests that no engine runs.
func (req *request) tokens() int {
	if !req.route.Generation() {
		return 0
	}
	return max(1, req.caller.PromptTokens+req.likelyOutput()/2)
}

// promptTokens returns the size of a generation's prompt; 0 for requests that no engine runs.
func (req *request) promptTokens() int {
	if !req.route.Generation() {
		return 0
	}
	return req.caller.PromptTokens
}

// likelyOutput estimates the output of a generation in tokens.
func (req *request) likelyOutput() int {
	if req.caller.ExpectedTokens > 0 {
		return min(req.caller.LongestTokens, req.caller.ExpectedTokens)
	}
	return req.caller.LongestTokens
}
