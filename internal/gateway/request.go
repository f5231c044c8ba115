package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/handover"
	"github.com/vanillaward/vanillaward/internal/membudget"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
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
	body     *bodyread.Body // nil until it was read
	deadline time.Duration  // the time limit of the caller or of the route, whichever is earlier

	target  string           // ID of the last target
	framing upstream.Framing // of the last answer; empty without one
	// answerBegan is when the head of the last target's answer arrived; 0 without an answer.
	answerBegan time.Duration
	outlived    string        // the target that was last seen to answer for longer than quarantine.LateBegun
	sentAt      time.Duration // when the request was sent to the last target
	identity    quarantine.Request
	leftAt      time.Duration // when the last target of a stream that may be continued was left; 0 for none
	sent        int           // number of targets that the request was sent to
	maybeRun    bool          // a target may have run the request
	stream      stream
	hold        *membudget.Hold // the memory of the answers that are read whole
	reason      reason
	status      int
	aborted     bool            // the caller's connection must be closed before the end of the answer
	terms       *handover.Terms // of a request that another instance has handed over; nil for a caller's
	helper      string          // the instance that this one has handed the request over to
	counted     bool            // the retry budget has it among its requests
	// comeBack is how long the caller of a refused request should wait, if that is known better
	// than from the reason alone.
	comeBack time.Duration
	// queued is how long the request has waited at this gateway for an engine with capacity, and queuedWhy why.
	queued    time.Duration
	queuedWhy string
}

// serve handles a request of a caller.
func (g *Server) serve(w http.ResponseWriter, r *http.Request) { g.handle(w, r, nil) }

// handle handles a request of a caller, or one that another instance has handed over on the given terms.
func (g *Server) handle(w http.ResponseWriter, r *http.Request, terms *handover.Terms) {
	g.open.Add(1)
	defer g.open.Add(-1)
	req := &request{server: g, w: w, r: r, arrived: g.base.Timers.Now(), table: g.table.Load(), terms: terms, hold: g.buffers.Hold()}
	req.caller = g.dialect.ReadRequest(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer req.finish()
	if req.accept() && req.readBody() && req.admit() {
		req.run()
	}
}

// left returns the time until the request's deadline.
func (req *request) left() time.Duration { return req.deadline - req.server.base.Timers.Now() }

// run sends the request to targets until one has answered or no further attempt is
// allowed.
func (req *request) run() {
	ctx, cancel := context.WithTimeout(req.r.Context(), req.left())
	defer cancel()
	defer context.AfterFunc(req.server.openRequests, cancel)()
	req.identity = quarantine.NewRequest(cmp.Or(req.org, req.caller.Key), req.r.Method, req.r.Host, req.r.RequestURI, req.body.Bytes(), req.caller.SharedParts)
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
		case notDispatched:
			if a.reason == reasonCallerLeft {
				req.reason = a.reason
			} else {
				req.refuseHeldBack(a.reason, a.wait)
			}
			return
		}
		avoid = append(avoid, a.target)
		if req.target != a.target { // the run was resumed there
			avoid = append(avoid, req.target)
		}
		retrying := req.mayRetry(ctx, a)
		req.server.base.Log.Info("attempt ended", "request", req.caller.ID, "target", a.target, "result", a.outcome.String(),
			"reason", string(a.reason), "status", a.status(), "again", retrying, "left-ms", req.left().Milliseconds())
		if !retrying {
			if a.outcome != notSent || !req.handOver(ctx) {
				req.fail(ctx, a)
			}
			return
		}
		req.leaveTarget(ctx, a)
	}
}

const (
	// maxDials bounds the targets that are tried for one request after failed connections,
	// and dialWindow is the time from the request's arrival, without the time in the queue, or from when a stream that is continued has
	// broken off, during which another one is tried.
	maxDials   = 12
	dialWindow = 700 * time.Millisecond
)

// mayRetry reports whether the request may be sent to another target.
func (req *request) mayRetry(ctx context.Context, a attemptResult) bool {
	switch {
	case ctx.Err() != nil || req.left() <= 0:
		return false
	case a.outcome == notSent:
		return a.tried < maxDials && req.server.base.Timers.Now() < max(req.arrived+req.queued, req.leftAt)+dialWindow
	case req.sent >= req.route.Attempts():
		return false
	case a.outcome == notRun:
		return req.allowRepeat(repeatAttempt)
	case !req.route.Repeatable() || req.stream.unnumbered:
		return false
	case req.stream.passed > 0:
		allowed := req.allowRepeat(repeatContinuation)
		req.stream.overBudget = !allowed
		return allowed
	default:
		return req.allowRepeat(repeatAttempt)
	}
}

// fail ends a request after its last attempt: with a target's error answer if there is one,
// otherwise with a refusal.
func (req *request) fail(ctx context.Context, a attemptResult) {
	switch {
	case req.stream.headSent:
		req.abortAnswer()
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
	if req.server.serviceEvacuated(req.service) {
		req.server.base.Metrics.EvacuationRefusal()
		why = reasonEvacuated
	} else if wait := req.server.earliestReturn(req.service); wait > 0 {
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
	req.hold.Release()
	req.body.Release()
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
		"after", req.caller.LastEvent.Number, "continued", req.stream.continued,
		"framing", string(req.framing), "unfinished-bytes", req.stream.unfinished,
		"first-ms", req.stream.timeToFirst.Milliseconds(), "longest-gap-ms", req.stream.longestGap.Milliseconds(),
		"outcome", string(req.reason), "helper", req.helper, "taken-over", req.terms != nil,
		"queued-ms", req.queued.Milliseconds(), "queued-why", req.queuedWhy, "configuration", number, "budget-ms", req.caller.Budget.Milliseconds(),
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
