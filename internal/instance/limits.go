package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/connlimit"
	"github.com/vanillaward/vanillaward/internal/memreturn"
	"github.com/vanillaward/vanillaward/platform"
)

const (
	// smallHeadBytes bounds the heads of requests at the listeners for health and readiness.
	smallHeadBytes = 8 << 10
	// smallIdleTimeout is how long a connection there may be idle.
	smallIdleTimeout = 30 * time.Second
	// readinessTimeout bounds an answer there; profileTimeout that of a profile, which lasts 30 s unless another
	// time is asked for.
	readinessTimeout = 5 * time.Second
	profileTimeout   = 90 * time.Second
)

// Percentages by which the heap grows from one collection to the next.
const (
	usualGrowth   = 100
	pressedGrowth = 25
)

// collectSooner makes the collector run sooner while bodies hold much memory: what they hold would otherwise allow
// as much again of garbage.
func collectSooner(pressed bool) {
	if pressed {
		debug.SetGCPercent(pressedGrowth)
	} else {
		debug.SetGCPercent(usualGrowth)
	}
}

// prepareLimits creates the memory that bodies share.
func (i *Instance) prepareLimits() {
	l := i.base.Settings.Limits
	bodies := bodyread.NewPool(bodyread.WithMemory(int64(l.BodyMemory)), bodyread.WithStall(l.BodyStall), bodyread.WithRate(int64(l.BodyRate)),
		bodyread.WithPressure(collectSooner))
	i.base.Bodies = bodies
	i.base.Metrics.Gauge("vanillaward_body_bytes", func() float64 { return float64(bodies.Used()) })
	for cause, count := range bodies.Refused() {
		i.base.Metrics.Gauge(fmt.Sprintf("vanillaward_bodies_refused{cause=%q}", cause), func() float64 { return float64(count.Load()) })
	}
}

func (i *Instance) limitClients(name string, listener net.Listener) net.Listener {
	return connlimit.LimitClients(i.base.Log, i.base.Metrics, name, listener, i.base.Settings.Limits)
}

func (i *Instance) limitConnections(name string, listener net.Listener) net.Listener {
	return connlimit.Limit(i.base.Log, i.base.Metrics, name, listener, i.base.Settings.Limits)
}

// smallServer returns a server for requests without bodies.
func smallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: healthHeaderTimeout, ReadTimeout: healthHeaderTimeout, IdleTimeout: smallIdleTimeout,
		MaxHeaderBytes: smallHeadBytes, ConnState: connlimit.ConnState,
	}
}

// operatorServer returns the server of the operator's calls.
func (i *Instance) operatorServer(log logr.Logger, authority platform.Authority) *http.Server {
	server := platform.NewOperator(log, authority, platform.WithBodies(i.base.Bodies, i.base.Settings.Limits.ConfigurationTimeout)).Server()
	server.ConnState = connlimit.ConnState
	return server
}

// returnMemory returns memory to the operating system until the context ends.
func (i *Instance) returnMemory(ctx context.Context) <-chan error {
	return memreturn.Run(ctx, i.base.Timers)
}
