package gateway

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// UpdateEvacuation replaces the orders in force that evacuated failure domains. The index is that of the last
// record which changed them.
func (g *Server) UpdateEvacuation(index uint64, orders []*wire.OrderStep) {
	next := make(map[string]*wire.OrderStep, len(orders))
	domains := make([]string, 0, len(orders))
	for _, o := range orders {
		next[control.DomainOf(o)] = o
		domains = append(domains, control.DomainOf(o))
	}
	g.mu.Lock()
	before := g.evacuated
	g.evacuated = next
	g.balancer.SetEvacuated(domains)
	g.forgetEvacuatedCopies()
	g.startMoves()
	g.mu.Unlock()
	for domain, o := range next {
		if before[domain] == nil {
			g.logEvacuation("failure domain evacuated", domain, index, o)
		}
	}
	for domain, o := range before {
		if next[domain] == nil {
			g.logEvacuation("failure domain restored", domain, index, o)
		}
	}
}

// forgetEvacuatedCopies drops the copies at targets that may not be asked to resume a run: an engine that stalls
// would be made to stop a run that could not go on. It is called with the lock held.
func (g *Server) forgetEvacuatedCopies() {
	for r := range g.runs {
		c := r.copy
		if c == nil || !g.balancer.Evacuated(c.holder) {
			continue
		}
		g.removeCopy(r)
		g.countUncopied(r, true)
		if !c.growing() {
			g.free(unusedCopy{request: r.request, address: c.address, handle: c.handle})
		}
	}
}

// logEvacuation logs that an order takes effect, with the order that evacuated the failure domain.
func (g *Server) logEvacuation(message, domain string, index uint64, o *wire.OrderStep) {
	g.mu.Lock()
	targets, open := g.balancer.TargetsIn(domain)
	g.mu.Unlock()
	g.base.Log.Info(message, "failure-domain", domain, "index", index, "evacuated-at", o.GetFence(), "issuer", o.GetIssuer(), "note", o.GetNote(),
		"listed-targets", targets, "open-there", open)
}

// evacuatedDomains returns the number of evacuated failure domains.
func (g *Server) evacuatedDomains() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.evacuated)
}

// serviceEvacuated reports whether evacuation leaves a service without targets.
func (g *Server) serviceEvacuated(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ServiceEvacuated(service, g.base.Timers.Now())
}

// mayHold reports whether a target may be relied on to hold a copy. It is called with the lock held.
func (g *Server) mayHold(t *balance.Target, now time.Duration) bool {
	return !g.balancer.Leaving(t, now) && !g.balancer.Evacuated(t)
}
