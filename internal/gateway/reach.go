package gateway

import "github.com/vanillaward/vanillaward/internal/balance"

// connected records that a connection to a target was opened.
func (g *Server) connected(t *balance.Target) {
	g.base.Metrics.Connection(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.balancer.ServicesOutOfReach()
	g.balancer.Connected(t)
	g.logReach(t, before)
}

// logReach logs whether services have come out of reach, or into reach again, since there were before
// of them, by a connection to the given target. It is called with the lock held.
func (g *Server) logReach(t *balance.Target, before int) {
	switch now := g.balancer.ServicesOutOfReach(); {
	case now > before:
		g.base.Log.Info("targets out of reach", "service", t.Service(), "target", t.ID(), "services-out-of-reach", now)
	case now < before:
		g.base.Log.Info("targets in reach again", "service", t.Service(), "target", t.ID(), "services-out-of-reach", now)
	}
}

// servicesOutOfReach returns the number of services to whose targets no connection can be opened.
func (g *Server) servicesOutOfReach() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ServicesOutOfReach()
}
