package gateway

import (
	"context"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/dispatch"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// queueCheckInterval is the interval at which a waiting request is offered capacity without news, since what is
	// known becomes older, and at which it is refused if it cannot begin in time.
	queueCheckInterval = 50 * time.Millisecond
	// forecastInterval is the interval at which a waiting request is refused because of the forecast; it compares the
	// request with all others.
	forecastInterval = 500 * time.Millisecond
	// briefOutput is the number of tokens up to which a generation ends before other instances learn of it: engines
	// take about 0.5 s for it.
	briefOutput = 64
	// startMargin is how long before its deadline a request is refused that still waits: the refusal has to reach
	// the caller, and an engine could not answer any more.
	startMargin = 100 * time.Millisecond
)

// waiter is a request that waits until an engine has capacity for it.
type waiter struct {
	entry  *dispatch.Entry
	why    string         // why it has waited; set before placed holds an engine or the request is dequeued
	placed chan placement // holds the engine once it is chosen
	// forecast is when the request is compared with the forecast again.
	forecast time.Duration
}

// placement is the engine that was chosen for a request, nil if there is none to wait for.
type placement struct {
	target *balance.Target
	state  balance.LoadState
}

// serviceQueue holds the requests of one service that wait at this instance.
type serviceQueue struct {
	queue   *dispatch.Queue
	waiters map[*dispatch.Entry]*waiter
	// dispatchedAt is when the requests were offered capacity last.
	dispatchedAt time.Duration
}

// choose chooses the target of the request and counts the request there. Generations of a service whose
// requests wait at the gateway are sent when an engine has capacity. Without a target it returns the
// result of the attempt.
func (req *request) choose(ctx context.Context, avoid []string) (*balance.Target, balance.LoadState, attemptResult) {
	none := attemptResult{outcome: noTarget}
	if !req.queues() {
		t, state := req.server.begin(ctx, req.service, req.tokens(), req.promptTokens(), avoid)
		return t, state, none
	}
	req.server.exchange.Refresh(ctx)
	w := req.server.enqueue(req, avoid)
	began := req.server.base.Timers.Now()
	p, result := req.awaitPlacement(ctx, w)
	req.noteQueued(w, req.server.base.Timers.Now()-began)
	if p.target == nil {
		if result.outcome == notDispatched && result.reason != reasonCallerLeft {
			req.server.base.Metrics.QueueRefusal(string(result.reason))
		}
		return nil, p.state, result
	}
	req.server.exchange.Announce()
	return p.target, p.state, none
}

// noteQueued records that the request has waited, and why.
func (req *request) noteQueued(w *waiter, waited time.Duration) {
	req.server.base.Metrics.Queued(w.entry.Rank, waited)
	req.queued += waited
	if w.why != "" {
		req.queuedWhy = w.why
	}
}

// queues reports whether the request waits at this gateway until an engine has capacity for it.
func (req *request) queues() bool {
	return req.server.settings.Queue && req.route.Generation() && req.table.Queues(req.service)
}

// awaitPlacement waits until an engine is chosen for the request. It returns the result of the attempt if none is.
func (req *request) awaitPlacement(ctx context.Context, w *waiter) (placement, attemptResult) {
	result := attemptResult{outcome: noTarget}
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case p := <-w.placed:
			return p, result
		default:
		}
		if why, wait := req.mustLeaveQueue(ctx, w); why != "" {
			if p, placed := req.server.dequeue(req.service, w); placed {
				return p, result
			}
			if why == reasonUnreachable { // another instance may reach the targets
				return placement{}, attemptResult{outcome: notSent, reason: why, tried: maxDials}
			}
			return placement{}, attemptResult{outcome: notDispatched, reason: why, wait: wait}
		}
		select {
		case p := <-w.placed:
			return p, result
		case <-ctx.Done():
		case <-ticker.C:
			req.server.dispatchService(req.service)
		}
	}
}

// mustLeaveQueue returns why a waiting request is not sent any more, and when its caller should come back; the empty
// reason if it waits on.
func (req *request) mustLeaveQueue(ctx context.Context, w *waiter) (reason, time.Duration) {
	g := req.server
	switch {
	case req.callerLeft():
		return reasonCallerLeft, 0
	case g.stopping.Load() && (ctx.Err() != nil || !req.endsInTime()):
		return reasonStopping, 0
	case ctx.Err() != nil:
		return reasonQueueTimeout, 0
	case g.outOfReach(req.service):
		return reasonUnreachable, 0
	}
	if why, wait := req.heldBack(); wait > 0 {
		return why, wait
	}
	now := g.base.Timers.Now()
	if now < w.forecast && now < w.entry.Deadline {
		return "", 0
	}
	w.forecast = now + forecastInterval
	g.mu.Lock()
	defer g.mu.Unlock()
	if inTime, wait := g.queues[req.service].queue.InTime(w.entry, now); !inTime {
		return reasonQueueTimeout, wait
	}
	return "", 0
}

// enqueue adds a request to the queue of its service, and sends what there is capacity for.
func (g *Server) enqueue(req *request, avoid []string) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[req.service]
	if q == nil {
		q = &serviceQueue{queue: dispatch.New(), waiters: map[*dispatch.Entry]*waiter{}}
		g.queues[req.service] = q
	}
	now := g.base.Timers.Now()
	w := &waiter{placed: make(chan placement, 1), entry: q.queue.Add(dispatch.Request{
		Organisation: req.org, Rank: req.table.QueueRank(req.service, req.orgRank, req.route), Tokens: req.tokens(), Prompt: req.promptTokens(),
		Urgent: req.table.Urgent(req.service, req.route), Brief: req.likelyOutput() <= briefOutput, Key: g.random.Uint64(), Avoid: avoid, Again: len(avoid) > 0,
		Arrived: req.arrived, Objective: req.arrived + req.route.Objective(), Deadline: req.deadline - startMargin,
	})}
	q.waiters[w.entry] = w
	g.balancer.CountArrival(req.service, now)
	g.dispatch(req.service, q, now)
	return w
}

// dequeue removes a request that is not sent any more. It reports true if it has been sent meanwhile.
func (g *Server) dequeue(service string, w *waiter) (placement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case p := <-w.placed:
		return p, true
	default:
	}
	q := g.queues[service]
	w.why = w.entry.Why()
	q.queue.Remove(w.entry)
	delete(q.waiters, w.entry)
	return placement{}, false
}

// dispatchService sends the waiting requests of a service for which there is capacity, unless that was done
// lately: each that waits calls it at an interval.
func (g *Server) dispatchService(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	if q := g.queues[service]; now-q.dispatchedAt >= queueCheckInterval/2 {
		g.dispatch(service, q, now)
	}
}

// dispatchAll sends the waiting requests for which there is capacity. It is called with the lock held when
// something has changed.
func (g *Server) dispatchAll() {
	now := g.base.Timers.Now()
	for service, q := range g.queues {
		g.dispatch(service, q, now)
	}
}

// dispatch sends the waiting requests of a service for which there is capacity. It is called with the lock held.
func (g *Server) dispatch(service string, q *serviceQueue, now time.Duration) {
	if q.queue.Len() == 0 {
		return
	}
	q.dispatchedAt = now
	q.queue.Send(g.balancer, service, now, func(e *dispatch.Entry, t *balance.Target) {
		p := placement{target: t}
		if t != nil {
			p.state = g.balancer.LoadState(t, now)
		}
		w := q.waiters[e]
		w.why = e.Why()
		w.placed <- p
		delete(q.waiters, e)
	})
}

// queueLength returns the number of requests that wait at this instance.
func (g *Server) queueLength() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, q := range g.queues {
		n += q.queue.Len()
	}
	return n
}

// LocalQueued returns the requests that wait at this instance.
func (g *Server) LocalQueued() []*wire.Queued {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*wire.Queued
	for service, q := range g.queues {
		out = append(out, q.queue.Waiting(service, g.base.Timers.Now())...)
	}
	return out
}

// UpdatePeersQueued replaces what is known of the requests that wait at other instances. The uses that follow have
// the waiting requests offered capacity.
func (g *Server) UpdatePeersQueued(waiting []*wire.Queued) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.UpdatePeersQueued(waiting, g.base.Timers.Now())
}
