package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// attemptTimeDivisor divides the time left until the request's deadline; the quotient
	// limits an attempt that may be followed by another one.
	attemptTimeDivisor = 2
	// minAttemptTime is the shortest time limit of an attempt that may be followed by
	// another one.
	minAttemptTime = 200 * time.Millisecond
	// urgencyBase is the rank of callers' most urgent requests; lower ranks, which go first,
	// are reserved for other requests.
	urgencyBase = 2
	// maxUrgency is the highest rank that engines accept; requests of this rank go last.
	maxUrgency = 9
)

// outcome is how an attempt ended.
type outcome int

const (
	// delivered means that the caller has received an answer or has disconnected.
	delivered outcome = iota
	// noTarget means that there is no target to try.
	noTarget
	// notSent means that no connection could be made.
	notSent
	// notRun means that the target stated that it did not run the request.
	notRun
	// failed means that the target may have run the request.
	failed
	// heldBack means that targets crash on the request, or on a part of its prompt.
	heldBack
	// notDispatched means that the request has left the queue of this gateway without a target.
	notDispatched
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"delivered", "no-target", "not-sent", "not-run", "failed", "held-back", "not-dispatched"}[o]
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome outcome
	target  string
	reason  reason
	tried   int           // targets tried so far, including this one
	wait    time.Duration // how long the request is held back, for the outcomes heldBack and notDispatched
	// failureAnswer is a complete answer with an error status, which the caller gets
	// when no other attempt follows.
	failureAnswer *answer
}

// status returns the HTTP status of failureAnswer, or 0 without one.
func (a *attemptResult) status() int {
	if a.failureAnswer == nil {
		return 0
	}
	return a.failureAnswer.status
}

// attempt sends the request to one target.
func (req *request) attempt(ctx context.Context, avoid []string) attemptResult {
	if why, wait := req.heldBack(); wait > 0 {
		return attemptResult{outcome: heldBack, reason: why, wait: wait}
	}
	t, state, unplaced := req.choose(ctx, avoid)
	if t == nil {
		return unplaced
	}
	if req.route.Generation() {
		req.logChoice(t, state)
	}
	req.target, req.answerBegan = t.ID(), 0
	result := attemptResult{target: t.ID(), tried: len(avoid) + 1}
	conn, err := req.server.pool.Get(ctx, t.ID(), t.Address(), req.caller.ID)
	if err != nil {
		req.endUnreached(t, err)
		result.outcome, result.reason = notSent, reasonUnreachable
		return result
	}
	if !conn.Reused() {
		req.server.connected(t)
	}
	req.sent++
	req.sentAt = req.server.base.Timers.Now()
	attemptCtx, limit := req.boundAttempt(ctx, append(slices.Clone(avoid), t.ID()))
	defer limit.end()
	defer conn.CloseOnDone(attemptCtx)()
	req.stream.streamAttempt = streamAttempt{limit: limit, run: req.newRun(ctx, t)}
	defer req.endRun()
	targetResult := req.exchange(attemptCtx, t, conn, &result)
	req.server.end(t, req.tokens(), targetResult)
	if result.outcome == failed {
		req.maybeRun = true
	}
	return result
}

// logChoice logs the load state on which the choice of an engine was based. For plain
// services the request's own log line is sufficient.
func (req *request) logChoice(t *balance.Target, s balance.LoadState) {
	req.server.base.Metrics.InformationAge(s.InformationAge)
	req.server.base.Log.Info("engine chosen", "request", req.caller.ID, "target", t.ID(), "failure-domain", s.Domain, "tokens", req.tokens(),
		"report", s.Known, "report-age-ms", s.ReportAge.Milliseconds(), "uses-age-ms", s.UsesAge.Milliseconds(), "memory-percent", int(100*s.Memory), "waiting", s.Waiting,
		"prefilling", s.Prefilling, "speed-percent", int(100*s.Speed), "queued-ms", req.queued.Milliseconds())
}

// endUnreached ends an attempt for which no connection could be made. If the caller has
// disconnected meanwhile, the failure is not attributed to the target.
func (req *request) endUnreached(t *balance.Target, err error) {
	targetResult := balance.Unreachable
	if req.r.Context().Err() != nil {
		targetResult = balance.Abandoned
	}
	req.server.endPrefill(t, req.promptTokens())
	req.server.end(t, req.tokens(), targetResult)
	req.logFailure("target not reached", t, err)
}

// boundAttempt limits the time of an attempt of a repeatable request if another attempt may follow, so that time is
// left for it. Tried are the IDs of the targets that the request was sent to. The limit has to be ended, which ends the
// context as well.
func (req *request) boundAttempt(ctx context.Context, tried []string) (context.Context, *attemptLimit) {
	ctx, cancel := context.WithCancel(ctx)
	if !req.route.Repeatable() || req.sent >= req.route.Attempts() {
		return ctx, &attemptLimit{cancel: cancel}
	}
	return ctx, req.limitAttempt(cancel, tried...)
}

// attemptTime returns the time limit of an attempt, or of a pause in a stream, that may be followed by another
// attempt.
func (req *request) attemptTime() time.Duration {
	return max(minAttemptTime, req.left()/attemptTimeDivisor)
}

// exchange sends the request and handles the answer.
func (req *request) exchange(ctx context.Context, t *balance.Target, conn *upstream.Conn, result *attemptResult) balance.Result {
	result.outcome, result.reason = failed, reasonBroken
	if err := conn.Send(req.outgoing(t, req.stream.run, nil)); err != nil {
		req.server.endPrefill(t, req.promptTokens())
		conn.Close()
		return req.classifyFailure(ctx, "request not sent completely", t, err)
	}
	response, err := conn.ReadAnswer(req.r.Method, req.inspect(t, conn)) //nolint:bodyclose // closing the connection or reading to the end releases it
	req.server.endPrefill(t, req.promptTokens())
	if err != nil {
		conn.Close()
		req.noteCrash(ctx, t, err)
		targetResult := req.classifyFailure(ctx, "no answer", t, err)
		if req.resumeFromCopy(ctx, nil) {
			result.outcome = delivered
		}
		return targetResult
	}
	req.answerBegan = req.server.base.Timers.Now()
	info := req.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	req.framing = upstream.FramingOf(response)
	if response.Close && req.framing != upstream.FramedByClose && !info.Leaving {
		req.handleClosing(t)
	}
	if info.NotRun {
		return req.handleNotRun(t, conn, response, info, result)
	}
	req.server.accepted(t)
	if req.isStream(response) {
		targetResult := req.relay(ctx, t, conn, response, info)
		if !req.stream.broken {
			result.outcome = delivered
		}
		return targetResult
	}
	if req.stream.headSent {
		return req.rejectContinuation(t, conn, response, info)
	}
	return req.bufferAnswer(ctx, t, conn, response, info, result)
}

// isStream reports whether an answer is a stream, which is passed on as it arrives.
func (req *request) isStream(response *http.Response) bool {
	return req.route.Kind() == route.Stream && response.StatusCode == http.StatusOK
}

// inspect returns a function that records what the head of an answer states about its target,
// and tells which request the answer names.
func (req *request) inspect(t *balance.Target, conn *upstream.Conn) func(*http.Response) upstream.Ownership {
	return func(response *http.Response) upstream.Ownership {
		info := req.server.dialect.ReadAnswer(response.StatusCode, response.Header)
		ownership := req.ownership(info)
		req.server.recordStatements(t, req.caller.ID, response.StatusCode, conn.Owns(ownership), info)
		return ownership
	}
}

// ownership tells which request an answer names.
func (req *request) ownership(info vanillaward.TargetAnswer) upstream.Ownership {
	switch {
	case info.RequestID == "" || info.SeveralRequests:
		return upstream.Unnamed
	case info.RequestID == req.caller.ID:
		return upstream.Named
	}
	return upstream.Foreign
}

// classifyFailure logs an attempt without a complete answer and returns the result to
// record for the target.
func (req *request) classifyFailure(ctx context.Context, message string, t *balance.Target, err error) balance.Result {
	req.logFailure(message, t, err)
	if req.r.Context().Err() != nil {
		return balance.Abandoned
	}
	if ctx.Err() != nil && req.route.Kind() == route.Stream {
		return balance.Abandoned // a long stream that runs out of time says nothing about the target
	}
	return balance.Failed
}

// logFailure logs why a target did not serve the request.
func (req *request) logFailure(message string, t *balance.Target, err error) {
	req.server.base.Log.Info(message, "request", req.caller.ID, "target", t.ID(), "address", t.Address(),
		"reason", err.Error(), "open-there", req.server.openAt(t), "took-ms", (req.server.base.Timers.Now() - req.arrived).Milliseconds(),
		"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","))
}

// answeringTime returns how long ago the last target's answer began, 0 without an answer.
func (req *request) answeringTime() time.Duration {
	if req.answerBegan == 0 {
		return 0
	}
	return req.server.base.Timers.Now() - req.answerBegan
}

// handleClosing is called when a target closes a connection that could be reused. An
// engine that does so is usually shutting down, whereas a plain service closes connections
// occasionally.
func (req *request) handleClosing(t *balance.Target) {
	if !req.route.Generation() {
		return
	}
	req.server.base.Log.Info("engine closes a reusable connection; considered leaving", "request", req.caller.ID, "target", t.ID())
	req.server.suspectLeaving(t)
}

// handleNotRun handles a target's statement that it did not run the request.
func (req *request) handleNotRun(t *balance.Target, conn *upstream.Conn, response *http.Response, info vanillaward.TargetAnswer, result *attemptResult) balance.Result {
	result.outcome, result.reason = notRun, reasonFull
	targetResult := balance.Full
	if info.OtherTarget {
		result.reason, targetResult = reasonMisdirected, balance.Misdirected
	}
	req.server.base.Log.Info("target did not run the request", "request", req.caller.ID, "target", t.ID(), "status", response.StatusCode, "open-there", req.server.openAt(t))
	if drain(response) && !info.Closing && !response.Close && !info.OtherTarget {
		req.server.pool.Put(conn, info.KeepFor)
		return targetResult
	}
	conn.Close()
	return targetResult
}

// releaseConn returns the connection to the pool for another request, or closes it.
func (req *request) releaseConn(conn *upstream.Conn, response *http.Response, info vanillaward.TargetAnswer) {
	if response.Close || info.Closing {
		conn.Close()
		return
	}
	req.server.pool.Put(conn, info.KeepFor)
}

// abortAnswer makes sure that a truncated answer does not look complete to the caller.
func (req *request) abortAnswer() {
	req.reason = reasonCutOff
	if req.stream.overBudget {
		req.reason = reasonOverBudget
	}
	if req.callerLeft() {
		req.reason = reasonCallerLeft
	}
	req.aborted = true
}

// callerLeft reports whether the caller has closed its connection. Connections that a
// stopping gateway closes at its stop deadline do not count.
func (req *request) callerLeft() bool {
	pastStopDeadline := req.server.stopping.Load() && req.server.stopTimeLeft() <= 0
	return req.r.Context().Err() != nil && !pastStopDeadline
}

// outgoing returns the request as it is sent to the target.
func (req *request) outgoing(t *balance.Target, r *run, resume *vanillaward.Resume) *upstream.Request {
	h := req.r.Header.Clone()
	dropConnectionHeaders(h)
	h.Del("Expect")
	req.server.dialect.Forward(h, vanillaward.Forwarding{
		Remaining: max(time.Millisecond, req.left()), Target: t.ID(), Organisation: req.org,
		Urgency: req.urgency(), Generation: req.route.Generation(), CopyHolder: req.server.copyHolderAddress(r), Resume: resume,
		After: req.continuesAfter(),
	})
	return req.withHeader(h)
}

// withHeader returns the request with other headers than the caller's.
func (req *request) withHeader(h http.Header) *upstream.Request {
	return &upstream.Request{
		Method: req.r.Method, URI: req.r.RequestURI, Host: req.r.Host, Header: h, Body: req.body.Bytes(),
		HasBody: len(req.body.Bytes()) > 0 || req.r.ContentLength == 0 && req.r.Header.Get("Content-Length") != "",
	}
}

// urgency returns the request's rank at an engine, where lower ranks go first. One step of
// the organisation's rank counts as much as two of the route's, so that it takes precedence
// over route ranks that differ by 1.
func (req *request) urgency() int {
	return min(maxUrgency, urgencyBase+2*req.orgRank+req.route.Rank())
}
