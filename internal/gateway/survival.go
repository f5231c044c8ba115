package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward/internal/quarantine"
)

const (
	// survivalTime is how long a target must keep a new connection open to show that it did not crash. A
	// crashed target takes longer to come back.
	survivalTime = 200 * time.Millisecond
	// survivalQueue bounds the number of answers whose targets are still to be looked at, and survivalWorkers
	// how many are at the same time.
	survivalQueue   = 64
	survivalWorkers = 4
)

// endedAnswer is an answer that ended with its connection soon after it began: it is complete, or its target
// crashed. A target that crashed takes no connection for some seconds.
type endedAnswer struct {
	request  string
	identity quarantine.Request
	parts    []string // of the prompt; empty unless the request succeeded
	target   string
	address  string
	endedAt  time.Duration
}

// awaitSurvival queues an answer to the request, for the parts that it would speak for, if that would refute
// a crash. If the queue is full, the answer shows nothing.
func (req *request) awaitSurvival(parts []string) {
	g := req.server
	if !g.crashes.Suspects(req.identity, parts) {
		return
	}
	t := g.targetByIdentity(req.target)
	if t == nil {
		return
	}
	select {
	case g.ended <- endedAnswer{req.caller.ID, req.identity, parts, t.ID(), t.Address(), g.base.Timers.Now()}:
	default:
		g.base.Log.V(1).Info("target not looked at after an answer that ended with its connection", "request", req.caller.ID, "target", t.ID(), "reason", "queue is full")
	}
}

// watchSurvival looks at the targets of queued answers until the context ends, and then sends nil on the
// returned channel.
func (g *Server) watchSurvival(ctx context.Context) <-chan error {
	return workOff(ctx, survivalWorkers, g.ended, g.noteSurvival)
}

// noteSurvival records an answer as a complete one if its target has not crashed.
func (g *Server) noteSurvival(ctx context.Context, a endedAnswer) {
	timer, cancel := context.WithCancel(ctx)
	defer cancel()
	survived := g.pool.StaysOpen(ctx, a.target, a.address, g.base.Timers.Subscribe(timer, survivalTime))
	if ctx.Err() != nil {
		return
	}
	g.base.Log.Info("target looked at after an answer that ended with its connection", "request", a.request, "target", a.target, "address", a.address,
		"age-ms", (g.base.Timers.Now() - a.endedAt).Milliseconds(), "survived", survived)
	if survived {
		g.crashes.Answered(a.identity, a.target, a.parts, a.endedAt)
	}
	g.base.Metrics.Survival(survived)
}
