package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
)

// connected records that a connection to a target was opened.
func (g *Server) connected(t *balance.Target) {
	g.base.Metrics.Connection(true)
	g.logReach(t, g.updateReach(func() { g.balancer.Connected(t) }))
}

// reachChange is the number of services that are out of reach, before and after an update.
type reachChange struct{ before, after int }

// updateReach applies an update of the balancer with the lock held.
func (g *Server) updateReach(update func()) reachChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.balancer.ServicesOutOfReach()
	update()
	return reachChange{before: before, after: g.balancer.ServicesOutOfReach()}
}

// logReach logs whether services have come out of reach, or into reach again, by a connection to the
// given target.
func (g *Server) logReach(t *balance.Target, change reachChange) {
	switch {
	case change.after > change.before:
		g.base.Log.Info("targets out of reach", "service", t.Service(), "target", t.ID(), "services-out-of-reach", change.after)
	case change.after < change.before:
		g.base.Log.Info("targets in reach again", "service", t.Service(), "target", t.ID(), "services-out-of-reach", change.after)
	}
}

// servicesOutOfReach returns the number of services to whose targets no connection can be opened.
func (g *Server) servicesOutOfReach() int {
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

// outOfReachServices returns the services that are out of reach.
func (g *Server) outOfReachServices() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ListedOutOfReach()
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
			for _, service := range g.outOfReachServices() {
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
	g.base.Metrics.Connection(false)
	g.logReach(t, g.updateReach(func() { g.balancer.ProbeFailed(t, g.base.Timers.Now()) }))
}
