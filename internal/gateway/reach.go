package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
)

// connected records that a connection to a target was opened.
func (g *Server) connected(t *balance.Target) {
	g.base.Metrics.Connection(true)
	g.updateReach(t, func() { g.balancer.Connected(t) })
}

// notConnected records, by an update of the balancer, that no connection to a target could be made.
func (g *Server) notConnected(t *balance.Target, update func()) {
	g.base.Metrics.Connection(false)
	g.updateReach(t, update)
}

// updateReach applies an update of the balancer that concerns a connection to a target, and logs whether
// services have come out of reach by it, or into reach again.
func (g *Server) updateReach(t *balance.Target, update func()) {
	before, after := g.updateAndCount(update)
	switch {
	case after > before:
		g.base.Log.Info("targets out of reach", "service", t.Service(), "target", t.ID(), "services-out-of-reach", after)
	case after < before:
		g.base.Log.Info("targets in reach again", "service", t.Service(), "target", t.ID(), "services-out-of-reach", after)
	}
}

// updateAndCount applies an update of the balancer. It returns the number of services that were out of
// reach before, and that are now.
func (g *Server) updateAndCount(update func()) (before, after int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = len(g.balancer.ServicesOutOfReach())
	update()
	return before, len(g.balancer.ServicesOutOfReach())
}

// servicesOutOfReach returns the services to whose targets no connection can be opened.
func (g *Server) servicesOutOfReach() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ServicesOutOfReach()
}

// outOfReach reports whether the targets of a service are out of reach.
func (g *Server) outOfReach(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.OutOfReach(service)
}

// targetByIdentity returns the listed target with an identity, or nil.
func (g *Server) targetByIdentity(id string) *balance.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ByIdentity(id)
}

// probeInterval is the interval at which connections to targets that are out of reach are tried.
const probeInterval = 250 * time.Millisecond

// probeTargets tries to reach targets that are out of reach, until the context ends, and then sends nil
// on the returned channel.
func (g *Server) probeTargets(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range g.base.Timers.Subscribe(ctx, probeInterval) {
			for _, service := range g.servicesOutOfReach() {
				g.probe(ctx, service)
			}
		}
		done <- nil
	}()
	return done
}

// probe tries to reach the next target of a service that is out of reach.
func (g *Server) probe(ctx context.Context, service string) {
	g.mu.Lock()
	t := g.balancer.NextProbe(service, g.base.Timers.Now())
	g.mu.Unlock()
	if t == nil {
		return
	}
	if err := g.pool.Connect(ctx, t.ID(), t.Address()); err == nil {
		g.connected(t)
		return
	}
	g.notConnected(t, func() { g.balancer.NoteUnreachable(t, g.base.Timers.Now()) })
}
