package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillaward/vanillaward/internal/handover"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// helperDialTimeout bounds connecting to another instance, which answers at once or is lost.
const helperDialTimeout = 150 * time.Millisecond

// handOver has another instance serve the request, because this one cannot reach the targets. It
// reports false if none has: the request has been sent to no target by them.
func (req *request) handOver(ctx context.Context) bool {
	if req.terms != nil || req.server.helperPool == nil {
		return false // a request is handed over once, so that none goes round
	}
	var tried []string
	for len(tried) < handover.MaxTries && ctx.Err() == nil && req.left() > 0 {
		helper, ok := req.server.beginHandover(tried)
		if !ok {
			return false
		}
		req.stream.streamAttempt = streamAttempt{}
		tried = append(tried, helper)
		begun := req.server.base.Timers.Now()
		end, why := req.handOverTo(ctx, helper)
		req.server.endHandover(helper, end)
		req.server.base.Log.Info("request handed over", "request", req.caller.ID, "helper", helper, "result", end.String(), "reason", why,
			"left-ms", req.left().Milliseconds(), "took-ms", (req.server.base.Timers.Now() - begun).Milliseconds())
		if req.stream.broken && req.mayRetry(ctx, attemptResult{outcome: failed}) {
			req.leaveHelper(helper)
			continue
		}
		if req.stream.broken {
			req.fail(ctx, attemptResult{outcome: failed, reason: reasonBroken})
		}
		if end.Taken() {
			req.helper = helper
			return true
		}
		// A helper that declines a request may have counted it before; it must not count twice.
		req.counted = req.counted || end == handover.Refused
	}
	return false
}

// handOverTo has one instance serve the request. Unless the end is NotReached or Refused, the caller has its
// answer. It also returns the reason for the end.
func (req *request) handOverTo(ctx context.Context, helper string) (handover.End, string) {
	conn, err := req.server.helperPool.Get(ctx, helper, helper, req.caller.ID)
	if err != nil {
		if ctx.Err() != nil {
			return req.failHandover(ctx, err)
		}
		return handover.NotReached, err.Error()
	}
	defer conn.CloseOnDone(ctx)()
	if err := conn.Send(req.forHelper()); err != nil {
		conn.Close()
		req.maybeRun = true
		return req.failHandover(ctx, err)
	}
	response, err := conn.ReadAnswer(req.r.Method, req.inspectHelper) //nolint:bodyclose // closing the connection or reading to the end releases it
	if err != nil {
		conn.Close()
		req.maybeRun = true
		return req.failHandover(ctx, err)
	}
	told := handover.ReadAnswer(response.Header)
	handover.Strip(response.Header)
	if told.Outcome() != handover.Answered {
		req.releaseHelper(conn, response)
		return handover.Refused, told.Reason()
	}
	if req.maybeRun && impliesNotRun(response.StatusCode) { // the helper speaks for what it did itself
		req.releaseHelper(conn, response)
		req.refuse(reasonBroken)
		return handover.Served, told.Reason()
	}
	req.recordHelperStatements(told, response)
	req.target = told.Target()
	if err := req.passHelperAnswer(ctx, conn, response); err != nil {
		conn.Close()
		req.maybeRun = true
		return req.failHandover(ctx, err)
	}
	if told.Reason() != "" {
		req.reason = reason(told.Reason())
	}
	return handover.Served, told.Reason()
}

// forHelper returns the request as another instance gets it: the caller's own, with the time that is left.
func (req *request) forHelper() *upstream.Request {
	h := req.r.Header.Clone()
	dropConnectionHeaders(h)
	h.Del("Expect")
	req.server.dialect.SetBudget(h, max(time.Millisecond, req.left()))
	if after := req.continuesAfter(); after != nil {
		req.server.dialect.SetLastEvent(h, *after)
	}
	handover.NewTerms(req.table.Number(), req.sent, req.counted).Set(h)
	return req.withHeader(h)
}

// inspectHelper tells which request the answer of another instance belongs to. One that names none is
// of a request that was not read.
func (req *request) inspectHelper(response *http.Response) upstream.Ownership {
	if name := handover.ReadAnswer(response.Header).Request(); name != "" && name != req.caller.ID {
		return upstream.Foreign
	}
	return upstream.Named
}

// recordHelperStatements records what the answer of a target states that came by way of another
// instance. The time for which the target wants no requests concerns that instance.
func (req *request) recordHelperStatements(told handover.Answer, response *http.Response) {
	info := req.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	info.Wait = 0
	if t := req.server.targetByIdentity(told.Target()); t != nil {
		req.server.recordStatements(t, req.caller.ID, response.StatusCode, true, info)
	}
}

// passHelperAnswer gives the caller the answer of another instance. After an error nothing of it has
// been passed on, or the answer has been cut off.
func (req *request) passHelperAnswer(ctx context.Context, conn *upstream.Conn, response *http.Response) error {
	if req.isStream(response) {
		return req.passHelperStream(ctx, conn, response)
	}
	if req.stream.headSent {
		req.sent++
		req.breakOff(errNotContinued)
		return errNotContinued
	}
	body, whole, err := readBuffered(response, req.hold)
	if err != nil {
		return err
	}
	if !whole {
		if err := req.writeLong(response, body); err != nil {
			req.abortAnswer()
			return err
		}
		req.reason = reasonComplete
	} else {
		(&answer{status: response.StatusCode, header: response.Header, body: body}).write(req)
	}
	req.releaseHelper(conn, response)
	return nil
}

// passHelperStream passes a stream on, event by event. The other instance resumes its run from a copy
// where that is possible.
func (req *request) passHelperStream(ctx context.Context, conn *upstream.Conn, response *http.Response) error {
	err := req.startUnchecked(response)
	if err == nil {
		err = req.passEvents(ctx, conn, response)
	}
	if err != nil {
		req.flushEvents(err)
		req.sent++ // the helper has sent the request once at least
		req.breakOff(err)
		return err
	}
	req.reason = reasonComplete
	req.releaseHelper(conn, response)
	return nil
}

// failHandover ends a request whose handover failed after it may have been sent, unless its answer has
// been begun.
func (req *request) failHandover(ctx context.Context, err error) (handover.End, string) {
	if req.stream.broken && !req.callerLeft() {
		return handover.CutOff, err.Error()
	}
	if !req.aborted {
		req.fail(ctx, attemptResult{outcome: failed, reason: reasonUnreachable})
	}
	switch {
	case req.reason == reasonCallerLeft || !req.maybeRun:
		return handover.Abandoned, err.Error()
	case req.aborted:
		return handover.CutOff, err.Error()
	case ctx.Err() != nil:
		return handover.TimedOut, err.Error()
	}
	return handover.Broken, err.Error()
}

// releaseHelper returns a connection to another instance to the pool, if its answer was read whole.
func (req *request) releaseHelper(conn *upstream.Conn, response *http.Response) {
	if !drain(response) || response.Close {
		conn.Close()
		return
	}
	req.server.helperPool.Put(conn, 0)
}

// beginHandover chooses the instance that a request is handed over to next, and counts the request
// there. It reports false if there is none.
func (g *Server) beginHandover(tried []string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.helpers.Begin(tried, g.base.Timers.Now())
}

func (g *Server) endHandover(helper string, end handover.End) {
	g.base.Metrics.HandedOver(end.String())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.helpers.End(helper, end, g.base.Timers.Now())
}

// LacksTargets implements follow.Helping.
func (g *Server) LacksTargets() bool { return len(g.servicesOutOfReach()) > 0 }

// WantsHelpers implements follow.Helping.
func (g *Server) WantsHelpers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.helpers.Outdated(len(g.balancer.ServicesOutOfReach()) > 0, g.base.Timers.Now())
}

// UpdateHelpers implements follow.Helping.
func (g *Server) UpdateHelpers(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.helpers.Update(addresses, g.base.Timers.Now())
}

// HelpAddress implements follow.Helping. A stopping instance takes no further requests of others.
func (g *Server) HelpAddress() string {
	address := g.base.Settings.Listen.Handover
	if !address.IsValid() || g.stopping.Load() || !g.Ready() {
		return ""
	}
	return address.String()
}
