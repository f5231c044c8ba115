// Package admission decides which request runs where and when: it queues requests
// by fair shares and urgency, predicts the memory that batches will need, chooses
// targets, ejects failing ones, limits retries and refuses requests early that
// cannot meet their deadline.
//
// The package does no I/O. Each call takes an event and the current time, updates
// the state and returns decisions. The caller supplies the clock and a seeded
// random source.
package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward"
)

// Request describes a request for admission.
type Request struct {
	// ID is unique among the requests of the instance.
	ID uint64
	// Pool is the model or plain service.
	Pool string
	// Organisation and Class select the estimate of the output length. Organisation
	// also selects the queue.
	Organisation string
	Class        string
	// Weight is the organisation's weight in fair queueing; it must be positive.
	Weight float64
	// Urgency ranks requests; higher goes first.
	Urgency int
	// PromptTokens is the prompt's length in tokens.
	PromptTokens int
	// LongestTokens is the longest expected output in tokens. It bounds the estimate.
	LongestTokens int
	// MaxTokens is the caller's bound on the output, in tokens, or 0.
	MaxTokens int
	// KnownLength is the output's length in tokens where it is known in advance, or 0.
	KnownLength int
	// Prefix identifies the beginning of the prompt; 0 for none.
	Prefix uint64
	// Deadline is the time on the caller's clock by which the request must have started.
	Deadline time.Duration
	// Avoid is the name of a target at which the request has just failed.
	Avoid string
}

// request is a request with its state.
type request struct {
	Request
	urgency  int // Urgency, raised once if the request waits long
	arrived  time.Duration
	started  time.Duration
	expected float64 // estimated length of the output in tokens
	forecast vanillaward.Forecast
	written  int     // tokens generated so far
	target   *target // nil while the request waits
}

func (r *request) held() float64 { return float64(r.PromptTokens + r.written) }

func (r *request) cost() float64 { return float64(r.PromptTokens) + r.expected }

func (r *request) longest() int {
	if r.MaxTokens > 0 {
		return min(r.MaxTokens, r.LongestTokens)
	}
	return r.LongestTokens
}

// Reason is why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonDeadline means that the request could not start in time.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that the queue is at its maximum length.
	ReasonQueueFull Reason = "queue-full"
	// ReasonNoTarget means that there is no target at all.
	ReasonNoTarget Reason = "no-target"
)

// Decision is what the core decided for one request.
type Decision struct {
	// ID identifies the request.
	ID uint64
	// Target is the target that the request starts at, or empty when it is refused.
	Target string
	// Reason is why the request is refused.
	Reason Reason
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
}

// Settings bound the core.
type Settings struct {
	MaxQueue    int           // largest number of waiting requests per pool
	RetryAfter  time.Duration // shortest time that a refused caller is asked to wait
	RetryBudget float64       // retries allowed per finished request
	EjectAfter  int           // consecutive failures after which a target is ejected
	EjectFor    time.Duration // duration of the first ejection; later ones are longer
}

// DefaultSettings returns the bounds that suit a small deployment.
func DefaultSettings() Settings {
	return Settings{MaxQueue: 2000, RetryAfter: time.Second, RetryBudget: 0.1, EjectAfter: 3, EjectFor: 5 * time.Second}
}

const (
	// maxBudget bounds the retries that can accumulate.
	maxBudget = 20
	// maxPrefixes bounds the prefixes whose targets are remembered.
	maxPrefixes = 4096
	// initialShare is the share of a pool's requests that an instance assumes to be
	// its own before its first observation.
	initialShare = 0.25
	// agingDivisor determines when the urgency of a waiting request is raised: after
	// the time from its arrival to its deadline divided by agingDivisor.
	agingDivisor = 2
)

// Core is the admission state of one instance. It is not safe for concurrent
// use.
type Core struct {
	settings       Settings
	policy         vanillaward.RoutingPolicy
	random         *rand.Rand
	estimator      *Estimator
	pools          map[string]*pool
	order          []*pool // in order of creation, so that iteration is deterministic
	targets        map[string]*target
	requests       map[uint64]*request
	prefixes       map[uint64]string
	recentPrefixes []uint64 // remembered prefixes, oldest first
	budget         float64
	decisions      []Decision
}

// New returns a core without targets.
func New(settings Settings, policy vanillaward.RoutingPolicy, random *rand.Rand) *Core {
	return &Core{
		settings: settings, policy: policy, random: random, estimator: NewEstimator(),
		pools: map[string]*pool{}, targets: map[string]*target{}, requests: map[uint64]*request{},
		prefixes: map[uint64]string{}, budget: maxBudget,
	}
}

// SetSettings changes the bounds.
func (c *Core) SetSettings(s Settings) { c.settings = s }

// TargetSpec declares a target of a pool.
type TargetSpec struct {
	Name     string
	Pool     string
	Capacity int // in tokens
	BatchCap int // largest number of requests in a batch
	// Reports is whether the target reports its load, so that it is only used
	// with a fresh report.
	Reports bool
}

// SetTargets replaces the declared targets. Requests that run on a removed target
// continue.
func (c *Core) SetTargets(now time.Duration, specs []TargetSpec) []Decision {
	declared := make(map[string]TargetSpec, len(specs))
	for _, s := range specs {
		declared[s.Name] = s
	}
	for _, name := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[name]
		if s, ok := declared[name]; !ok || s.Pool != t.pool.name {
			t.pool.remove(t)
			delete(c.targets, name)
		}
	}
	for _, s := range specs {
		t := c.targets[s.Name]
		if t == nil {
			t = c.pool(s.Pool).add(s.Name, s.Capacity, s.BatchCap)
			c.targets[s.Name] = t
		}
		t.capacity, t.batchCap, t.reports = float64(s.Capacity), s.BatchCap, s.Reports
		t.refresh(now)
	}
	return c.dispatchAll(now)
}

func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, meanLength: priorTokens, share: initialShare}
		c.pools[name] = p
		c.order = append(c.order, p)
	}
	return p
}

// Arrive admits, queues or refuses a request. The decision for it is returned by
// this or a later call.
func (c *Core) Arrive(now time.Duration, in Request) []Decision {
	r := &request{Request: in, urgency: in.Urgency, arrived: now}
	c.estimate(r)
	c.requests[in.ID] = r
	p := c.pool(in.Pool)
	if len(p.targets) == 0 {
		c.refuse(r, ReasonNoTarget, c.settings.RetryAfter)
		return c.takeDecisions()
	}
	if wait := p.queue.wait(r, p.rate.rate); now+wait > in.Deadline {
		c.refuse(r, ReasonDeadline, wait)
		return c.takeDecisions()
	}
	p.queue.push(r)
	c.dispatch(now, p)
	c.boundQueue(p)
	return c.takeDecisions()
}

// estimate predicts the length and the memory of a request from the tokens that it
// has generated so far.
func (c *Core) estimate(r *request) {
	bound := r.longest()
	if r.KnownLength > 0 {
		r.expected = float64(r.KnownLength)
		r.forecast = knownForecast(r.PromptTokens, r.written, r.KnownLength)
		return
	}
	h := c.estimator.lengths(r.Class, r.Organisation, r.PromptTokens)
	r.expected = min(h.expected(r.written), float64(max(bound, r.written+1)))
	r.forecast = h.forecast(r.PromptTokens, r.written, r.MaxTokens)
}

// boundQueue refuses requests while the queue exceeds its maximum length: each time
// the last waiting request of the organisation that exceeds its share most.
func (c *Core) boundQueue(p *pool) {
	for p.queue.length > c.settings.MaxQueue {
		o := p.queue.mostOverShare()
		r := o.waiting[len(o.waiting)-1]
		p.queue.remove(r)
		c.refuse(r, ReasonQueueFull, p.queue.wait(r, p.rate.rate))
	}
}

func (c *Core) refuse(r *request, reason Reason, after time.Duration) {
	delete(c.requests, r.ID)
	c.decisions = append(c.decisions, Decision{ID: r.ID, Reason: reason, RetryAfter: max(after, c.settings.RetryAfter)})
}

// dispatch starts waiting requests while there is capacity for the next one.
func (c *Core) dispatch(now time.Duration, p *pool) {
	for {
		r := p.queue.head()
		if r == nil || !c.start(now, p, r) {
			return
		}
	}
}

func (c *Core) dispatchAll(now time.Duration) []Decision {
	for _, p := range c.order {
		c.dispatch(now, p)
	}
	return c.takeDecisions()
}

// start starts the head of the queue at the target that the policy chooses. It
// returns false if the policy chooses none.
func (c *Core) start(now time.Duration, p *pool, r *request) bool {
	t := c.choose(now, p, r)
	if t == nil {
		return false
	}
	p.queue.remove(r)
	p.queue.charge(r, r.cost())
	r.target, r.started = t, now
	t.own = append(t.own, r)
	t.allowance.tokens -= r.forecast[0].Mean
	t.trial = t.ejections > 0
	t.refresh(now)
	if r.Prefix != 0 {
		c.rememberPrefix(r.Prefix, t.name)
	}
	c.decisions = append(c.decisions, Decision{ID: r.ID, Target: t.name})
	return true
}

func (c *Core) choose(now time.Duration, p *pool, r *request) *target {
	routing := vanillaward.RoutingRequest{
		PromptTokens: r.PromptTokens, LongestTokens: r.longest(),
		Urgency: r.Urgency, PrefixTarget: -1, Forecast: r.forecast,
	}
	if t := c.targets[c.prefixes[r.Prefix]]; t != nil && t.pool == p && r.Prefix != 0 {
		routing.PrefixTarget = t.index
	}
	if avoided := c.targets[r.Avoid]; avoided != nil && avoided.pool == p && len(p.targets) > 1 {
		candidate := &p.candidates[avoided.index]
		wasAvailable := candidate.Available
		candidate.Available = false
		defer func() { candidate.Available = wasAvailable }()
	}
	i := c.policy.Choose(routing, p.candidates, c.random.Uint64())
	if i < 0 {
		return nil
	}
	t := p.targets[i]
	if !t.available(now) {
		t.refresh(now) // the report has expired since the last refresh
		return nil
	}
	return t
}

func (c *Core) rememberPrefix(prefix uint64, target string) {
	if _, known := c.prefixes[prefix]; !known {
		c.recentPrefixes = append(c.recentPrefixes, prefix)
	}
	if len(c.recentPrefixes) > maxPrefixes {
		delete(c.prefixes, c.recentPrefixes[0])
		c.recentPrefixes = c.recentPrefixes[1:]
	}
	c.prefixes[prefix] = target
}

// Report records a load report of a target.
func (c *Core) Report(now time.Duration, name string, load Load) []Decision {
	t := c.targets[name]
	if t == nil {
		return nil
	}
	t.reported, t.reportTime, t.load = true, now, load
	t.refresh(now)
	t.pool.observeShare(t)
	t.updateAllowance(now, 1-c.random.Float64())
	t.pool.candidates[t.index].Allowance = t.allowanceAt(now)
	c.dispatch(now, t.pool)
	return c.takeDecisions()
}

// SetLeaving records whether a target is leaving.
func (c *Core) SetLeaving(now time.Duration, name string, leaving bool) []Decision {
	t := c.targets[name]
	if t == nil || t.leaving == leaving {
		return nil
	}
	t.leaving = leaving
	t.refresh(now)
	c.dispatch(now, t.pool)
	return c.takeDecisions()
}

// Tick refuses waiting requests that can no longer start in time, raises the
// urgency of those that have waited long, and starts those that fit.
func (c *Core) Tick(now time.Duration) []Decision {
	for _, t := range c.targets {
		t.refresh(now)
	}
	for _, p := range c.order {
		p.queue.each(func(r *request) { c.reconsider(now, p, r) })
		c.dispatch(now, p)
	}
	return c.takeDecisions()
}

func (c *Core) reconsider(now time.Duration, p *pool, r *request) {
	wait := p.queue.wait(r, p.rate.rate)
	if now+wait > r.Deadline {
		p.queue.remove(r)
		c.refuse(r, ReasonDeadline, wait)
		return
	}
	if r.urgency == r.Urgency && now-r.arrived > (r.Deadline-r.arrived)/agingDivisor {
		p.queue.remove(r)
		r.urgency++
		p.queue.push(r)
	}
}

// Queued returns the number of waiting requests.
func (c *Core) Queued() int {
	n := 0
	for _, p := range c.order {
		n += p.queue.length
	}
	return n
}

func (c *Core) takeDecisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}
