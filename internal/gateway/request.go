package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/handover"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// maxBody bounds a request's body, in bytes, when the configuration does not.
	maxBody = 4 << 20
	// bodyTimeout bounds how long reading a request's body may take.
	bodyTimeout = 10 * time.Second
)

// request is the state of one caller's request from arrival to outcome.
type request struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Duration

	caller   vanillaward.CallerRequest
	table    *route.Table
	route    *route.Route
	org      string
	orgRank  int
	service  string
	body     []byte
	deadline time.Duration // the time limit of the caller or of the route, whichever is earlier

	target  string           // ID of the last target
	framing upstream.Framing // of the last answer; empty without one
	// answerBegan is when the head of the last target's answer arrived; 0 without an answer.
	answerBegan time.Duration
	sentAt      time.Duration // when the request was sent to the last target
	identity    quarantine.Request
	sent        int  // number of targets that the request was sent to
	maybeRun    bool // a target may have run the request
	stream      stream
	reason      reason
	status      int
	aborted     bool            // the caller's connection must be closed before the end of the answer
	terms       *handover.Terms // of a request that another instance has handed over; nil for a caller's
	helper      string          // the instance that this one has handed the request over to
	counted     bool            // the retry budget has it among its requests
	// comeBack is how long the caller of a refused request should wait, if that is known better
	// than from the reason alone.
	comeBack time.Duration
}

// serve handles a request of a caller.
func (g *Server) serve(w http.ResponseWriter, r *http.Request) { g.handle(w, r, nil) }

// handle handles a request of a caller, or one that another instance has handed over on the given terms.
func (g *Server) handle(w http.ResponseWriter, r *http.Request, terms *handover.Terms) {
	g.open.Add(1)
	defer g.open.Add(-1)
	req := &request{server: g, w: w, r: r, arrived: g.base.Timers.Now(), table: g.table.Load(), terms: terms}
	req.caller = g.dialect.ReadRequest(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer req.finish()
	if req.accept() && req.readBody() && req.admit() {
		req.run()
	}
}

// accept checks the request's head against the limits and finds the route and the
// organisation. It reports false after a refusal.
func (req *request) accept() bool {
	if req.table == nil {
		return req.refuse(reasonNoConfig)
	}
	if int(req.server.open.Load()) > req.server.settings.MaxOpen {
		return req.refuse(reasonBusy)
	}
	if req.server.closing.Load() {
		return req.refuse(reasonStopping)
	}
	if !req.acceptTerms() {
		return false
	}
	if limit := req.table.Limits().HeaderBytes; limit > 0 && headSize(req.r) > limit {
		return req.refuse(reasonHeadTooLarge)
	}
	path, _, _ := strings.Cut(req.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return req.refuse(reasonMalformed)
	}
	found, ok := req.table.Match(req.r.Host, path)
	if !ok {
		return req.refuse(reasonNoRoute)
	}
	req.route = found
	if req.table.RequiresKeys() && !found.Public() {
		org, known := req.table.Organisation(req.caller.Key)
		if !known {
			return req.refuse(reasonNoKey)
		}
		req.org, req.orgRank = org.Name(), org.Rank()
	}
	wait := found.Timeout()
	if req.caller.Budget > 0 {
		wait = min(wait, req.caller.Budget)
	}
	req.deadline = req.arrived + wait
	return true
}

// headSize estimates the size of a request's head in bytes.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the request's body into memory. It reports false after a refusal.
func (req *request) readBody() bool {
	limit := req.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if req.r.ContentLength > limit {
		return req.refuse(reasonBodyTooLarge)
	}
	if req.r.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(req.w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		req.server.base.Log.Error(err, "cannot set the read deadline of a request body", "request", req.caller.ID)
	}
	var err error
	if req.r.ContentLength > 0 {
		req.body = make([]byte, req.r.ContentLength)
		_, err = io.ReadFull(req.r.Body, req.body)
	} else {
		req.body, err = io.ReadAll(http.MaxBytesReader(req.w, req.r.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return req.refuse(reasonBodyTooLarge)
	case err != nil:
		return req.refuse(reasonBodyBroken)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		req.server.base.Log.Error(err, "cannot clear the read deadline of a request body", "request", req.caller.ID)
	}
	return true
}

// admit decides whether the request is worth starting. It reports false after a refusal.
func (req *request) admit() bool {
	req.service = req.route.Pick(req.server.randomFloat())
	outOfReach := req.server.outOfReach(req.service)
	if outOfReach && req.terms != nil {
		return req.refuse(reasonUnreachable)
	}
	if !outOfReach { // otherwise the instance that serves it does
		req.count()
	}
	if req.left() <= 0 {
		return req.refuse(reasonTooLate)
	}
	if req.route.Generation() && req.server.atCapacity(req.service, req.tokens()) {
		return req.refuse(reasonCrowded)
	}
	if req.server.stopping.Load() && !req.endsInTime() {
		return req.refuse(reasonStopping)
	}
	return true
}

// count counts the request, once, for the retry budget of its service.
func (req *request) count() {
	if !req.counted {
		req.counted = true
		req.server.countRequest(req.service)
	}
}

// endsInTime reports whether the request will end before the stopping gateway does.
// Shortly after the stop begins, callers cannot know of it yet and new requests cannot reach
// the other instances any sooner, so it suffices that the request is likely to end in time.
// After likelyEndWindow this must be certain, and only the request's deadline bounds how long it
// waits at an engine.
func (req *request) endsInTime() bool {
	left := req.server.answerTimeLeft()
	if req.server.settings.StopGrace-stopMargin-answerMargin-left < likelyEndWindow {
		return req.likelyTime() <= left
	}
	return req.left() <= left
}

// likelyEndWindow is the time from the beginning of a stop during which a request is
// accepted if it is likely, though not certain, to end in time.
const likelyEndWindow = 2500 * time.Millisecond

const (
	// plainTime is how long a request to a plain service takes, with a margin.
	plainTime = time.Second
	// firstTokenTime is how long a generation takes until its first token, and tokenTime
	// from each token to the next.
	firstTokenTime = 800 * time.Millisecond
	tokenTime      = 9 * time.Millisecond
)

// likelyTime estimates how long the request will take.
func (req *request) likelyTime() time.Duration {
	if req.route.Kind() != route.Stream {
		return plainTime
	}
	return firstTokenTime + time.Duration(req.likelyOutput())*tokenTime
}

// left returns the time until the request's deadline.
func (req *request) left() time.Duration { return req.deadline - req.server.base.Timers.Now() }

// run sends the request to targets until one has answered or no further attempt is
// allowed.
func (req *request) run() {
	ctx, cancel := context.WithTimeout(req.r.Context(), req.left())
	defer cancel()
	defer context.AfterFunc(req.server.openRequests, cancel)()
	req.identity = quarantine.NewRequest(cmp.Or(req.org, req.caller.Key), req.r.Method, req.r.Host, req.r.RequestURI, req.body, req.caller.SharedParts)
	var avoid []string
	for {
		if req.server.outOfReach(req.service) && req.handOver(ctx) {
			return
		}
		req.count()
		a := req.attempt(ctx, avoid)
		switch a.outcome {
		case delivered:
			return
		case noTarget:
			req.refuseUnserved(reasonNoTarget)
			return
		case heldBack:
			req.refuseHeldBack(a.reason, a.wait)
			return
		}
		avoid = append(avoid, a.target)
		retrying := req.mayRetry(ctx, a)
		req.server.base.Log.Info("attempt ended", "request", req.caller.ID, "target", a.target, "result", a.outcome.String(),
			"reason", string(a.reason), "status", a.status(), "again", retrying, "left-ms", req.left().Milliseconds())
		if !retrying {
			if a.outcome != notSent || !req.handOver(ctx) {
				req.fail(ctx, a)
			}
			return
		}
	}
}

const (
	// maxDials bounds the targets that are tried for one request after failed connections,
	// and dialWindow is the time from the request's arrival during which another one is tried.
	maxDials   = 12
	dialWindow = 700 * time.Millisecond
)

// mayRetry reports whether the request may be sent to another target.
func (req *request) mayRetry(ctx context.Context, a attemptResult) bool {
	switch {
	case ctx.Err() != nil || req.left() <= 0:
		return false
	case a.outcome == notSent:
		return a.tried < maxDials && req.server.base.Timers.Now() < req.arrived+dialWindow
	case req.sent >= req.route.Attempts():
		return false
	case a.outcome == notRun:
		return req.server.allowRetry(req.service)
	default:
		return req.route.Kind() == route.Idempotent && req.server.allowRetry(req.service)
	}
}

// fail ends a request after its last attempt: with a target's error answer if there is one,
// otherwise with a refusal.
func (req *request) fail(ctx context.Context, a attemptResult) {
	switch {
	case req.callerLeft():
		req.reason = reasonCallerLeft
	case a.failureAnswer != nil:
		a.failureAnswer.write(req)
	case !req.maybeRun:
		req.refuseUnserved(a.reason)
	case ctx.Err() != nil || req.left() <= 0:
		req.refuse(reasonTimeout)
	default:
		req.refuse(reasonBroken)
	}
}

// refuseUnserved refuses a request that no target has served: with the given reason, or as
// broken if a target may have run it. If all targets asked to get no requests for a time, that
// is the reason and the caller learns when to come back.
func (req *request) refuseUnserved(why reason) {
	if req.maybeRun {
		req.refuse(reasonBroken)
		return
	}
	if wait := req.server.earliestReturn(req.service); wait > 0 {
		why, req.comeBack = reasonTargetsWait, wait
	}
	req.refuse(why)
}

// refuseHeldBack refuses a request that is held back, or as broken if a target may have run it. The
// caller learns when it may be tried again.
func (req *request) refuseHeldBack(why reason, wait time.Duration) {
	if req.maybeRun {
		req.refuse(reasonBroken)
		return
	}
	req.comeBack = wait
	req.refuse(why)
}

// finish logs and counts the outcome.
func (req *request) finish() {
	g := req.server
	took := g.base.Timers.Now() - req.arrived
	name := ""
	if req.route != nil {
		name = req.route.Name()
		g.base.Metrics.Class(name, req.org).Update(took.Seconds())
	}
	g.base.Metrics.Outcome(name, string(req.reason))
	if req.terms != nil {
		g.base.Metrics.TakenOver(string(req.reason))
	}
	if req.framing != "" {
		g.base.Metrics.AnswerEnd(string(req.framing), string(req.reason))
	}
	number := uint64(0)
	if req.table != nil {
		number = req.table.Number()
	}
	g.base.Log.Info("request", "request", req.caller.ID, "route", name, "organisation", req.org, "service", req.service,
		"target", req.target, "sent", req.sent, "maybe-run", req.maybeRun, "status", req.status, "events", req.stream.passed, "resumed", req.stream.resumed,
		"framing", string(req.framing), "unfinished-bytes", req.stream.unfinished,
		"first-ms", req.stream.timeToFirst.Milliseconds(), "longest-gap-ms", req.stream.longestGap.Milliseconds(),
		"outcome", string(req.reason), "helper", req.helper, "taken-over", req.terms != nil,
		"configuration", number, "budget-ms", req.caller.Budget.Milliseconds(),
		"took-ms", took.Milliseconds())
	if req.aborted {
		req.abortConn()
	}
}

// abortConn ends the caller's connection in a way that shows that the answer is truncated. An
// answer of HTTP/1.1 lacks its last chunk or a part of its length. To a caller of HTTP/1.0 the
// end of the connection is the end of the answer, unless the connection is reset.
func (req *request) abortConn() {
	if !req.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(req.w).Hijack(); err == nil {
			reset(conn)
			return
		}
	}
	panic(http.ErrAbortHandler) // net/http closes the connection before the end of the answer
}
