package experiment

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/engine"
)

const (
	reportInterval   = 500 * time.Millisecond
	reportLag        = 200 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	progressInterval = 32 // tokens
	stallThreshold   = time.Second
	maxAttempts      = 4
)

// Strategy is a routing strategy.
type Strategy struct {
	// Policy chooses targets.
	Policy vanillaward.RoutingPolicy
	// Oracle gives the admission core the actual length of each output.
	Oracle bool
}

// Name returns the name of the strategy in reports.
func (s Strategy) Name() string {
	if s.Oracle {
		return "oracle"
	}
	return s.Policy.Name()
}

// Fault selects what fails halfway through a run.
type Fault string

// Kinds of faults: none, one engine, or all engines of one failure domain.
const (
	FaultNone   Fault = "none"
	FaultEngine Fault = "engine"
	FaultDomain Fault = "domain"
)

// Setup configures one run.
type Setup struct {
	Workload  *Workload
	Strategy  Strategy
	Rate      float64 // requests per second
	Duration  time.Duration
	Instances int
	Fault     Fault
	Seed      uint64
}

// run is the state of one experiment.
type run struct {
	setup     Setup
	now       time.Duration
	events    eventQueue
	scheduled int
	engines   []*engineState
	instances []*admission.Core
	requests  map[uint64]*requestState
	result    *Result
}

type engineState struct {
	index   int
	core    *engine.Engine
	running bool // a step is in progress
	dead    bool
	batch   map[string]*requestState
}

type requestState struct {
	arrival
	instance    int
	target      *engineState
	sequence    *engine.Sequence
	attempts    int
	received    int // tokens that the caller has received
	lastTokenAt time.Duration
	hasFirst    bool
	firstAt     time.Duration
}

// Run executes one run and returns its results.
func Run(s Setup) *Result {
	r := &run{setup: s, requests: map[uint64]*requestState{}, result: newResult(s)}
	engineConfig := engine.DefaultConfig()
	engineConfig.CapacityTokens = s.Workload.capacity
	for i := range s.Workload.engines {
		r.engines = append(r.engines, &engineState{index: i, core: engine.New(engineConfig), batch: map[string]*requestState{}})
	}
	for i := range s.Instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	for _, a := range s.Workload.arrivals(s.Rate, s.Duration, s.Seed) {
		r.schedule(a.at, func() { r.arrive(a) })
	}
	r.scheduleFaults()
	for r.events.Len() > 0 {
		next, ok := heap.Pop(&r.events).(*event)
		if !ok {
			break
		}
		r.now = next.at
		next.do()
	}
	r.result.finish()
	return r.result
}

func (r *run) newInstance(i int) *admission.Core {
	settings := admission.DefaultSettings()
	settings.MaxQueue = 20000
	core := admission.New(settings, r.setup.Strategy.Policy, rand.New(rand.NewPCG(r.setup.Seed, uint64(i))))
	var specs []admission.TargetSpec
	for _, e := range r.engines {
		specs = append(specs, admission.TargetSpec{
			Name: strconv.Itoa(e.index), Pool: "model", Capacity: r.setup.Workload.capacity,
			BatchCap: r.setup.Workload.batchCap, Reports: true,
		})
	}
	core.SetTargets(0, specs)
	offset := reportInterval * time.Duration(i) / time.Duration(r.setup.Instances)
	for _, e := range r.engines {
		r.scheduleEvery(offset+reportInterval*time.Duration(e.index)/time.Duration(len(r.engines)), reportInterval, func() { r.report(i, e) })
		core.Report(0, strconv.Itoa(e.index), admission.Load{Ready: true})
	}
	r.scheduleEvery(tickInterval, tickInterval, func() { r.decide(core.Tick(r.now)) })
	return core
}

// active reports whether periodic events continue, which is until the arrivals have
// ended and all requests are finished.
func (r *run) active() bool { return r.now < r.setup.Duration || len(r.requests) > 0 }

func (r *run) scheduleEvery(first, interval time.Duration, do func()) {
	r.schedule(first, func() {
		do()
		if r.active() {
			r.scheduleEvery(r.now+interval, interval, do)
		}
	})
}

func (r *run) schedule(t time.Duration, do func()) {
	r.scheduled++
	heap.Push(&r.events, &event{at: t, order: r.scheduled, do: do})
}

// report takes an engine's current load and delivers it to an instance after
// reportLag.
func (r *run) report(instance int, e *engineState) {
	load := e.core.Load()
	r.schedule(r.now+reportLag, func() {
		if e.dead {
			return
		}
		r.decide(r.instances[instance].Report(r.now, strconv.Itoa(e.index), admission.Load{
			Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens, Ready: true,
		}))
	})
}

func (r *run) arrive(a arrival) {
	state := &requestState{arrival: a, instance: int(a.id) % r.setup.Instances}
	r.requests[a.id] = state
	r.result.recordArrival(a)
	r.admit(state)
}

func (r *run) admit(s *requestState) {
	c := r.setup.Workload.classes[s.class]
	request := admission.Request{
		ID: s.id, Pool: "model", Organisation: strconv.Itoa(s.org), Class: c.name, Weight: r.setup.Workload.weights[s.org],
		Urgency: c.urgency, PromptTokens: s.prompt, LongestTokens: c.longest, Deadline: s.at + c.deadline,
	}
	if r.setup.Strategy.Oracle {
		request.KnownLength = s.output
	}
	r.decide(r.instances[s.instance].Arrive(r.now, request))
}

func (r *run) decide(decisions []admission.Decision) {
	for _, d := range decisions {
		s := r.requests[d.ID]
		if d.Target == "" {
			r.result.recordRefusal(d.Reason)
			delete(r.requests, d.ID)
			continue
		}
		index, _ := strconv.Atoi(d.Target) // newInstance names each target by its index
		r.start(s, r.engines[index])
	}
}

func (r *run) start(s *requestState, e *engineState) {
	if e.dead {
		// The connection fails, which the instance detects immediately.
		r.retryOrRefuse(s)
		return
	}
	s.attempts++
	s.target = e
	id := strconv.FormatUint(s.id, 10)
	s.sequence = &engine.Sequence{ID: id, Prompt: s.prompt, Length: s.output, Priority: r.setup.Workload.classes[s.class].urgency}
	e.batch[id] = s
	e.core.Submit(s.sequence)
	r.step(e)
}

// step starts the engine's next step unless one is in progress.
func (r *run) step(e *engineState) {
	if e.running || e.dead || e.core.Idle() {
		return
	}
	e.running = true
	duration, events := e.core.Step()
	stepEvents := append([]engine.Event(nil), events...)
	r.schedule(r.now+duration, func() {
		e.running = false
		for _, ev := range stepEvents {
			r.progress(e, ev)
		}
		r.step(e)
	})
}

func (r *run) progress(e *engineState, ev engine.Event) {
	s := e.batch[ev.Sequence.ID]
	if s == nil || e.dead || s.sequence != ev.Sequence {
		return
	}
	switch ev.Kind {
	case engine.Preempted:
		r.result.preemptions++
	case engine.Token:
		r.recordToken(s, ev.Index)
	case engine.Finished:
		delete(e.batch, ev.Sequence.ID)
		delete(r.requests, s.id)
		r.result.recordCompletion(s)
		r.decide(r.instances[s.instance].Done(r.now, s.id, s.output, admission.Finished))
	}
}

func (r *run) recordToken(s *requestState, index int) {
	if index >= s.received {
		r.result.recordToken(s, r.now)
		s.received, s.lastTokenAt = index+1, r.now
	}
	if index%progressInterval == progressInterval-1 {
		r.instances[s.instance].Progress(r.now, s.id, index+1)
	}
}

// retryOrRefuse handles a request whose engine has failed: it retries the request,
// or refuses it after maxAttempts attempts.
func (r *run) retryOrRefuse(s *requestState) {
	core := r.instances[s.instance]
	decisions := core.Done(r.now, s.id, 0, admission.Failed)
	if s.attempts < maxAttempts {
		r.admit(s)
	} else {
		r.result.recordRefusal("attempts")
		delete(r.requests, s.id)
	}
	r.decide(decisions)
}

func (r *run) scheduleFaults() {
	for _, e := range r.engines {
		fails := r.setup.Fault == FaultEngine && e.index == 0 ||
			r.setup.Fault == FaultDomain && e.index%r.setup.Workload.domains == 0
		if fails {
			r.schedule(r.setup.Duration/2, func() { r.failEngine(e) })
		}
	}
}

func (r *run) failEngine(e *engineState) {
	e.dead = true
	var lost []*requestState
	for _, s := range r.requests {
		if s.target == e {
			lost = append(lost, s)
		}
	}
	sortByID(lost)
	for _, s := range lost {
		if e.batch[strconv.FormatUint(s.id, 10)] == s {
			r.retryOrRefuse(s)
		}
	}
	e.batch = map[string]*requestState{}
}
