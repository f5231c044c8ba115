package gateway

import (
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
)

// setColdLimits tells the balancer how many requests cold targets tolerate, by the services of a table.
func (g *Server) setColdLimits(table *route.Table) {
	limits := map[string]balance.ColdLimit{}
	for name, s := range table.Services() {
		if s.ColdPerSecond() > 0 {
			limits[name] = balance.ColdLimit{Time: s.ColdTime(), PerSecond: s.ColdPerSecond()}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetColdLimits(limits, g.base.Timers.Now())
	g.noteCold()
}

// coldTargets returns the number of targets to which the limit for cold targets applies.
func (g *Server) coldTargets() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ColdTargets(g.base.Timers.Now())
}

// noteCold logs that the number of cold targets has changed. It is called with the lock held.
func (g *Server) noteCold() {
	if n := g.balancer.ColdTargets(g.base.Timers.Now()); n != g.cold {
		g.cold = n
		g.base.Log.Info("number of cold targets changed", "cold", n)
	}
}
