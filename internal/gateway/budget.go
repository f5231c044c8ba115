package gateway

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/retry"
	"github.com/vanillaward/vanillaward/internal/route"
)

// repeat is a kind of sending a request once more after a target has got it.
type repeat string

const (
	// repeatAttempt sends a request to another target from its beginning.
	repeatAttempt repeat = "attempt"
	// repeatContinuation has another target send the rest of a stream, without a copy of its run.
	repeatContinuation repeat = "continuation"
	// repeatResumption has another engine go on with a run.
	repeatResumption repeat = "resumption"
)

// allowRepeat reports whether the retry budget of the request's service allows to send it once more, and
// counts the repeat if so.
func (req *request) allowRepeat(kind repeat) bool {
	allowed, use := req.server.allowRepeat(req.service, kind)
	req.server.base.Metrics.Repeat(string(kind), allowed)
	req.server.base.Log.Info("repeat", "request", req.caller.ID, "kind", string(kind), "service", req.service, "allowed", allowed,
		"repeats", use.Repeats(), "limit", use.Limit())
	return allowed
}

// allowRepeat reports whether the retry budget of a service allows a repeat, and counts it if so. It also
// returns what the window holds then.
func (g *Server) allowRepeat(service string, kind repeat) (bool, retry.Use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	b := g.budget(service)
	switch {
	case g.share == nil:
	case kind == repeatResumption:
		b.SetReserve(g.share.ResumptionReserve(now))
	default:
		b.SetReserve(g.share.Reserve(now))
	}
	allowed := b.Allow(now)
	return allowed, b.Use(now)
}

// repeatAllowed reports whether the retry budget of a service would allow a repeat of an attempt.
func (g *Server) repeatAllowed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	b := g.budget(service)
	if g.share != nil {
		b.SetReserve(g.share.Reserve(now))
	}
	use := b.Use(now)
	return float64(use.Repeats()+1) <= use.Limit()
}

// countRequest counts a request for the retry budget of its service.
func (g *Server) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Request(g.base.Timers.Now())
}

// budget returns the retry budget of a service. It is called with the lock held.
func (g *Server) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retry.New(g.settings.RetryWindow, g.settings.RetryRatio, g.settings.RetryReserve)
		g.budgets[service] = b
	}
	return b
}

// forgetBudgets drops the retry budgets of services that the table does not have, once nothing in them
// counts any more: a service may come back before.
func (g *Server) forgetBudgets(table *route.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	for service, b := range g.budgets {
		if table.Service(service) == nil && b.Idle(now) {
			delete(g.budgets, service)
		}
	}
}

// newShare returns what the instance may repeat beside the ratio; nil if the settings leave no slack to all
// instances, and each has a reserve of its own from the start.
func (g *Server) newShare(now time.Duration) *retry.Share {
	if g.settings.RetrySlack == 0 {
		return nil
	}
	return retry.NewShare(g.settings.RetryWindow, g.settings.RetrySlack, g.settings.RetryReserve, now)
}
