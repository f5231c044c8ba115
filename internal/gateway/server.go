// Package gateway serves callers' requests by a routing table: it chooses the
// target of each request, forwards the request unchanged and gives the caller the
// target's complete answer, or a refusal that states correctly whether the request
// may have run.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/handover"
	"github.com/vanillaward/vanillaward/internal/membudget"
	"github.com/vanillaward/vanillaward/internal/retry"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/survival"
	"github.com/vanillaward/vanillaward/internal/upstream"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// expireInterval is the interval at which expired idle connections to targets are closed and budgets
	// that are over are dropped.
	expireInterval = time.Second
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 4
	// maxHelperConns bounds the idle connections to one other instance.
	maxHelperConns = 16
)

// Decoder decodes the body of a document into a configuration. Server.Install returns its
// errors.
type Decoder func(body []byte) (*route.Configuration, error)

// UsesExchange exchanges the uses of targets with other instances.
type UsesExchange interface {
	// Refresh exchanges uses at once and returns when that has happened, or soon if it cannot.
	Refresh(ctx context.Context)
	// Announce has the others told of this instance's uses at once, and does not wait.
	Announce()
}

// noExchange is the exchange of an instance without others.
type noExchange struct{}

func (noExchange) Refresh(context.Context) {}
func (noExchange) Announce()               {}

// Server is the gateway of one instance.
type Server struct {
	base     base.Base
	settings settings.Gateway
	dialect  vanillaward.Dialect
	engines  vanillaward.Engines
	decode   Decoder
	pool     *upstream.Pool
	// helperPool holds the connections to other instances, nil without credentials.
	helperPool *upstream.Pool
	unused     chan unusedCopy
	formerDue  chan *formerEngine // engines to ask for their former runs
	survival   *survival.Watcher
	buffers    *membudget.Budget // of answers that are read whole
	bodies     *bodyread.Pool    // of requests that are read whole
	crashes    *evidence.Ledger
	exchange   UsesExchange

	table        atomic.Pointer[route.Table]
	open         atomic.Int64 // requests that are being served
	takenOver    atomic.Int64 // those of them that other instances have handed over
	stopping     atomic.Bool
	closing      atomic.Bool        // a stopping gateway accepts no request any more
	openRequests context.Context    //nolint:containedctx // ends when a stopping gateway ends its open requests
	endRequests  context.CancelFunc // ends openRequests
	stopDeadline atomic.Int64       // when a stopping gateway closes its connections at the latest, in ns of the timers' clock

	mu       sync.Mutex // guards the fields below; never held while another lock is taken
	balancer *balance.Balancer
	budgets  map[string]*retry.Budget
	share    *retry.Share // in the repeats of all instances beside the ratio; nil if each has a reserve of its own
	random   *rand.Rand
	runs     map[*run]struct{}
	helpers  handover.Helpers
	// former holds the engines with former runs by address; formerCount is the number of those runs.
	former      map[string]*formerEngine
	formerCount int
	// evacuated holds the orders in force that evacuated failure domains, by domain.
	evacuated map[string]*wire.OrderStep
	cold      int // targets that were cold at the last list or report
	// queues holds the requests that wait for capacity, by service.
	queues map[string]*serviceQueue
}

// Option configures a gateway.
type Option func(*Server)

// WithDial sets how connections to targets are opened, instead of by the operating system.
func WithDial(dial upstream.Dial) Option {
	return func(g *Server) {
		g.pool = upstream.NewPool(g.settings.DialTimeout, maxIdleConns, upstream.WithDial(dial))
	}
}

// New returns a gateway without a configuration.
func New(b base.Base, dialect vanillaward.Dialect, engines vanillaward.Engines, decode Decoder, seed uint64, options ...Option) *Server {
	s := b.Settings.Gateway
	random := rand.New(rand.NewPCG(seed, 0))
	g := &Server{
		base: b, settings: s, dialect: dialect, engines: engines, decode: decode,
		pool:     upstream.NewPool(s.DialTimeout, maxIdleConns),
		balancer: balance.New(b.Settings.Instance.FailureDomain, random), unused: make(chan unusedCopy, freeQueue),
		budgets: map[string]*retry.Budget{}, random: random, runs: map[*run]struct{}{}, queues: map[string]*serviceQueue{}, former: map[string]*formerEngine{}, formerDue: make(chan *formerEngine, maxFormerRuns), crashes: evidence.New(b), exchange: noExchange{},
		buffers: membudget.New(int64(s.BufferMemory)), bodies: b.Bodies,
	}
	if g.bodies == nil {
		g.bodies = bodyread.NewPool()
	}
	if b.Credentials != nil {
		g.helperPool = upstream.NewPool(helperDialTimeout, maxHelperConns, upstream.WithDial(b.Credentials.Dial))
	}
	g.openRequests, g.endRequests = context.WithCancel(context.Background())
	g.share = g.newShare(b.Timers.Now())
	for _, option := range options {
		option(g)
	}
	g.survival = survival.New(b, g.pool, g.crashes)
	b.Metrics.Gauge("vanillaward_gateway_open_requests", func() float64 { return float64(g.open.Load()) })
	b.Metrics.Gauge("vanillaward_gateway_buffered_bytes", func() float64 { return float64(g.buffers.Used()) })
	b.Metrics.Gauge("vanillaward_gateway_queued_requests", func() float64 { return float64(g.queueLength()) })
	b.Metrics.Gauge("vanillaward_gateway_parts_held_back", func() float64 { return float64(g.crashes.Parts()) })
	b.Metrics.Gauge("vanillaward_gateway_services_out_of_reach", func() float64 { return float64(len(g.servicesOutOfReach())) })
	b.Metrics.Gauge("vanillaward_gateway_evacuated_domains", func() float64 { return float64(g.evacuatedDomains()) })
	b.Metrics.Gauge("vanillaward_gateway_engines_evenness", g.evenness)
	b.Metrics.Gauge("vanillaward_gateway_cold_targets", func() float64 { return float64(g.coldTargets()) })
	b.Metrics.Gauge("vanillaward_gateway_configuration_number", func() float64 { return float64(g.Number()) })
	return g
}

// UseExchange sets how uses of targets are exchanged with other instances. It must be called before Run.
func (g *Server) UseExchange(e UsesExchange) { g.exchange = e }

// Number returns the number of the configuration in force at this instance, 0 for none.
func (g *Server) Number() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Number()
	}
	return 0
}

// Install puts a document in force if its number is higher than that of the configuration
// in force, and ignores it otherwise. It returns an error if the document cannot be decoded,
// has findings or holds a configuration with another number. It must not be called
// concurrently.
func (g *Server) Install(d *wire.Document) error {
	if d.GetNumber() <= g.Number() {
		return nil
	}
	config, err := g.decode(d.GetBody())
	if err != nil {
		return err
	}
	table, found := route.Build(config)
	if err := found.Err(); err != nil {
		return err
	}
	if table.Number() != d.GetNumber() {
		return errors.Errorf("document %d holds configuration %d", d.GetNumber(), table.Number())
	}
	g.table.Store(table)
	g.setColdLimits(table)
	g.forgetBudgets(table)
	g.base.Log.Info("configuration in force", "number", table.Number(), "bytes", len(d.GetBody()))
	return nil
}

// UpdateTargets replaces the list of targets.
func (g *Server) UpdateTargets(list []*wire.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Update(list, g.base.Timers.Now())
	g.startMoves()
	g.noteCold()
	g.dispatchAll()
}

// UpdateLoads updates the load reports of the listed engines.
func (g *Server) UpdateLoads(loads []*wire.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.UpdateLoads(loads, g.base.Timers.Now())
	g.startMoves()
	g.noteCold()
	g.dispatchAll()
}

// UpdateSubsets implements follow.Subsets.
func (g *Server) UpdateSubsets(instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.KeepSubsets(g.base.Settings.Instance.Name, instances)
}

// ChangePeerUses implements follow.Subsets.
func (g *Server) ChangePeerUses(changed []*wire.Use, instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	g.balancer.ChangePeerUses(changed, instances, now)
	if g.share != nil {
		g.share.UpdateInstances(instances, now)
	}
}

// LocalUses returns this instance's use of targets.
func (g *Server) LocalUses() []*wire.Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.LocalUses(g.base.Timers.Now())
}

// UpdatePeerUses updates the sums of the other instances' use of targets and the number of
// instances.
func (g *Server) UpdatePeerUses(uses []*wire.Use, instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	g.balancer.UpdatePeerUses(uses, instances, now)
	if g.share != nil {
		g.share.UpdateInstances(instances, now)
	}
	g.startMoves()
	g.dispatchAll()
}

// Ready reports whether the instance should be sent new connections: it has a
// configuration and a list of targets and is not stopping.
func (g *Server) Ready() bool {
	if g.table.Load() == nil || g.stopping.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.HasList()
}

// awaitStop returns when the gateway must close its connections. After stop is closed, the
// gateway continues to serve until no request is open and StopDelay has passed, so that the
// platform's load balancer can detect that the instance is not ready. The stop deadline
// bounds this time.
func (g *Server) awaitStop(ctx context.Context, stop <-chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case <-stop:
	}
	start := g.base.Timers.Now()
	g.stopDeadline.Store(int64(start + g.settings.StopGrace - stopMargin))
	defer time.AfterFunc(g.answerTimeLeft(), g.endRequests).Stop()
	g.stopping.Store(true)
	g.base.Log.Info("stopping", "open-requests", g.open.Load())
	for range g.base.Timers.Subscribe(ctx, stopCheckInterval) {
		waited := g.base.Timers.Now() - start
		if g.stopTimeLeft() <= 0 || waited >= g.settings.StopDelay && g.open.Load() == 0 {
			break
		}
	}
	g.closing.Store(true)
	// What was accepted before is still being served.
	for range g.base.Timers.Subscribe(ctx, closeCheckInterval) {
		if g.stopTimeLeft() <= 0 || g.open.Load() == 0 {
			break
		}
	}
	g.base.Log.Info("stopped serving", "open-requests", g.open.Load())
}

const (
	// stopCheckInterval is the interval at which a stopping gateway checks whether it can
	// close its connections.
	stopCheckInterval = 50 * time.Millisecond
	// closeCheckInterval is the interval at which it checks, when it accepts none any more, whether
	// requests are open.
	closeCheckInterval = 5 * time.Millisecond
	// stopMargin is how long before the end of StopGrace, when the process is killed, the
	// stop deadline is.
	stopMargin = 200 * time.Millisecond
	// answerMargin is how long before the stop deadline open requests are ended, so that their
	// callers are told what is known of them before the connections are closed.
	answerMargin = 200 * time.Millisecond
)

// answerTimeLeft returns the time until a stopping gateway ends its open requests.
func (g *Server) answerTimeLeft() time.Duration { return g.stopTimeLeft() - answerMargin }

// stopTimeLeft returns the time until the stop deadline.
func (g *Server) stopTimeLeft() time.Duration {
	return time.Duration(g.stopDeadline.Load()) - g.base.Timers.Now()
}

// expireConns closes expired idle connections to targets, and drops the retry budgets of services that are
// gone, until the context ends, and then sends nil on the returned channel.
func (g *Server) expireConns(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range g.base.Timers.Subscribe(ctx, expireInterval) {
			g.pool.Expire()
			if g.helperPool != nil {
				g.helperPool.Expire()
			}
			if table := g.table.Load(); table != nil {
				g.forgetBudgets(table)
			}
		}
		done <- nil
	}()
	return done
}

// begin chooses a target and counts the request there, with the tokens of its prompt that the target
// has to process. It returns nil without a target. An engine is chosen by what all instances have begun
// until now, and the others are told of the choice.
func (g *Server) begin(ctx context.Context, service string, tokens, prompt int, avoid []string) (*balance.Target, balance.LoadState) {
	if tokens > 0 {
		g.exchange.Refresh(ctx)
		defer g.exchange.Announce()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	t := g.balancer.Choose(service, tokens, avoid, now)
	if t == nil {
		return nil, balance.LoadState{}
	}
	state := g.balancer.LoadState(t, now)
	g.balancer.Begin(t, tokens, now)
	g.balancer.AddPrefill(t, prompt)
	return t, state
}

// beginResume counts a request at the holder of its run's copy. It reports false, without
// counting, if the holder may not be sent any more requests.
func (g *Server) beginResume(t *balance.Target, tokens int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	if !g.balancer.Resumable(t, now) {
		return false
	}
	g.balancer.Begin(t, tokens, now)
	return true
}

// atCapacity reports whether no engine of a service has capacity for a generation.
func (g *Server) atCapacity(service string, tokens int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.AtCapacity(service, tokens, g.base.Timers.Now())
}

// evenness returns how many requests the engine with the most has, divided by the mean.
func (g *Server) evenness() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	evenness, _ := g.balancer.Evenness(g.base.Timers.Now())
	return evenness
}

// openAt returns the number of this instance's requests at a target.
func (g *Server) openAt(t *balance.Target) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Open(t)
}

// end records the result of a request at a target.
func (g *Server) end(t *balance.Target, tokens int, result balance.Result) {
	end := func() { g.balancer.End(t, tokens, result, g.base.Timers.Now()) }
	if result == balance.Unreachable {
		g.notConnected(t, end)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	end()
	g.dispatchAll()
}

// endPrefill removes the tokens of a prompt that a target has processed, or will not.
func (g *Server) endPrefill(t *balance.Target, tokens int) {
	if tokens == 0 {
		return
	}
	defer g.exchange.Announce()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.AddPrefill(t, -tokens)
	g.dispatchAll()
}

// suspectLeaving records that an engine is probably leaving.
func (g *Server) suspectLeaving(t *balance.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SuspectLeaving(t, g.base.Timers.Now())
	g.startMoves()
}

func (g *Server) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}
