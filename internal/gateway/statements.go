package gateway

import (
	"net/http"
	"time"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
)

// Names of targets' statements in metrics.
const (
	statementLeaving = "leaving"
	statementWait    = "wait"
	statementLimit   = "limit"
	statementBrittle = "brittle"
)

// recordStatements records what an answer states about its target. Every answer to a request
// passes here as soon as its head has been read. The statements of an answer that another target
// gave at the address are not about this one. Own tells whether the answer is this request's: any
// other one may be an earlier answer that the target repeats, in which only that the target is
// leaving holds still.
func (g *Server) recordStatements(t *balance.Target, request string, status int, own bool, info vanillaward.TargetAnswer) {
	if info.OtherTarget {
		return
	}
	if info.Leaving && g.stateLeaving(t) {
		g.base.Metrics.Statement(statementLeaving)
		g.base.Log.Info("target states that it is leaving", "request", request, "target", t.ID(), "status", status)
	}
	if !own {
		return
	}
	if status >= http.StatusOK && g.stateLimit(t, info) {
		g.base.Metrics.Statement(statementLimit)
		g.base.Log.Info("target states another limit", "request", request, "target", t.ID(), "status", status,
			"limited", info.Limited, "limit-per-second", info.Limit)
	}
	if status >= http.StatusOK && g.stateBrittle(t, info) {
		g.base.Metrics.Statement(statementBrittle)
		g.base.Log.Info("target states whether it is brittle", "request", request, "target", t.ID(), "status", status,
			"brittle", info.Brittle, "bears-per-second", info.Bears)
	}
	if wait := min(info.Wait, g.settings.MaxTargetWait); wait > 0 {
		g.stateWait(t, wait)
		g.base.Metrics.Statement(statementWait)
		g.base.Log.Info("target asks to get no requests", "request", request, "target", t.ID(), "status", status,
			"wait-ms", wait.Milliseconds(), "stated-ms", info.Wait.Milliseconds())
	}
}

// stateLeaving reports whether the statement is news.
func (g *Server) stateLeaving(t *balance.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.balancer.StateLeaving(t, g.base.Timers.Now())
	if news {
		g.startMoves()
	}
	return news
}

// stateLimit reports whether the statement is news. An answer without a limit ends it.
func (g *Server) stateLimit(t *balance.Target, info vanillaward.TargetAnswer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.StateLimit(t, info.Limited, info.Limit, g.base.Timers.Now())
}

// stateBrittle reports whether the statement is news. An answer without it ends it.
func (g *Server) stateBrittle(t *balance.Target, info vanillaward.TargetAnswer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.StateBrittle(t, info.Brittle, info.Bears)
}

func (g *Server) stateWait(t *balance.Target, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.StateWait(t, wait, g.base.Timers.Now())
}

// accepted records that a target has begun to answer a request.
func (g *Server) accepted(t *balance.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Accepted(t, g.base.Timers.Now())
}

// earliestReturn returns when the first target of a service wants requests again, or 0 if none
// has asked to wait.
func (g *Server) earliestReturn(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.EarliestReturn(service, g.base.Timers.Now())
}
