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
	reportInterval = 500 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	progressEvery  = 32
	stallNotable   = time.Second
	retryLimit     = 4
)

// Way is a way of routing.
type Way struct {
	// Policy chooses targets.
	Policy vanillaward.RoutingPolicy
	// Oracle tells the admission core each output's length.
	Oracle bool
}

// Name identifies the way in reports.
func (w Way) Name() string {
	if w.Oracle {
		return "oracle"
	}
	return w.Policy.Name()
}

// Fault is what fails halfway through a run.
type Fault string

// Faults.
const (
	FaultNone   Fault = "none"
	FaultEngine Fault = "engine"
	FaultDomain Fault = "domain"
)

// Setup is one run.
type Setup struct {
	Mix       *Mix
	Way       Way
	Rate      float64 // requests a second
	Length    time.Duration
	Instances int
	Fault     Fault
	Seed      uint64
}

// run is the state of one experiment.
type run struct {
	setup     Setup
	now       time.Duration
	events    eventQueue
	sequence  int
	engines   []*engineState
	instances []*admission.Core
	requests  map[uint64]*requestState
	result    *Result
}

type engineState struct {
	index   int
	core    *engine.Engine
	running bool // a step is under way
	dead    bool
	batch   map[string]*requestState
}

type requestState struct {
	arrival
	instance int
	target   *engineState
	sequence *engine.Sequence
	attempts int
	seen     int // tokens that the caller has
	last     time.Duration
	first    bool
	firstAt  time.Duration
}

// Run executes one experiment.
func Run(s Setup) *Result {
	r := &run{setup: s, requests: map[uint64]*requestState{}, result: newResult(s)}
	batch := engine.DefaultConfig()
	batch.CapacityTokens = s.Mix.capacity
	for i := range s.Mix.engines {
		r.engines = append(r.engines, &engineState{index: i, core: engine.New(batch), batch: map[string]*requestState{}})
	}
	for i := range s.Instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	for _, a := range s.Mix.arrivals(s.Rate, s.Length, s.Seed) {
		r.at(a.at, func() { r.arrive(a) })
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
	core := admission.New(settings, r.setup.Way.Policy, rand.New(rand.NewPCG(r.setup.Seed, uint64(i))))
	var specs []admission.TargetSpec
	for _, e := range r.engines {
		specs = append(specs, admission.TargetSpec{
			Name: strconv.Itoa(e.index), Pool: "model", Capacity: r.setup.Mix.capacity,
			BatchCap: r.setup.Mix.batchCap, Reports: true,
		})
	}
	core.SetTargets(0, specs)
	offset := reportInterval * time.Duration(i) / time.Duration(r.setup.Instances)
	for _, e := range r.engines {
		r.every(offset+reportInterval*time.Duration(e.index)/time.Duration(len(r.engines)), reportInterval, func() { r.report(i, e) })
		core.Report(0, strconv.Itoa(e.index), admission.Load{Ready: true})
	}
	r.every(tickInterval, tickInterval, func() { r.decide(core.Tick(r.now)) })
	return core
}

// end is when periodic work stops: after the arrivals, until all is done.
func (r *run) open() bool { return r.now < r.setup.Length || len(r.requests) > 0 }

func (r *run) every(first, interval time.Duration, do func()) {
	r.at(first, func() {
		do()
		if r.open() {
			r.every(r.now+interval, interval, do)
		}
	})
}

func (r *run) at(t time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, &event{at: t, order: r.sequence, do: do})
}

// report delivers an engine's load, as it is now, after the lag.
func (r *run) report(instance int, e *engineState) {
	load := e.core.Load()
	r.at(r.now+reportLag, func() {
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
	r.result.offer(a)
	r.admit(state)
}

func (r *run) admit(s *requestState) {
	c := r.setup.Mix.classes[s.class]
	request := admission.Request{
		ID: s.id, Pool: "model", Organisation: strconv.Itoa(s.org), Class: c.name, Weight: r.setup.Mix.weights[s.org],
		Urgency: c.urgency, Prompt: s.prompt, Longest: c.longest, Deadline: s.at + c.deadline,
	}
	if r.setup.Way.Oracle {
		request.KnownLength = s.output
	}
	r.decide(r.instances[s.instance].Arrive(r.now, request))
}

func (r *run) decide(decisions []admission.Decision) {
	for _, d := range decisions {
		s := r.requests[d.ID]
		if d.Target == "" {
			r.result.refuse(d.Reason)
			delete(r.requests, d.ID)
			continue
		}
		index, _ := strconv.Atoi(d.Target) // named by newInstance
		r.start(s, r.engines[index])
	}
}

func (r *run) start(s *requestState, e *engineState) {
	if e.dead {
		// The connection fails; the instance hears of it at once.
		r.lose(s)
		return
	}
	s.attempts++
	s.target = e
	id := strconv.FormatUint(s.id, 10)
	s.sequence = &engine.Sequence{ID: id, Prompt: s.prompt, Length: s.output, Priority: r.setup.Mix.classes[s.class].urgency}
	e.batch[id] = s
	e.core.Submit(s.sequence)
	r.step(e)
}

// step computes the engine's next batch unless one is being computed.
func (r *run) step(e *engineState) {
	if e.running || e.dead || e.core.Idle() {
		return
	}
	e.running = true
	duration, events := e.core.Step()
	done := append([]engine.Event(nil), events...)
	r.at(r.now+duration, func() {
		e.running = false
		for _, ev := range done {
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
		r.token(s, ev.Index)
	case engine.Finished:
		delete(e.batch, ev.Sequence.ID)
		delete(r.requests, s.id)
		r.result.complete(s)
		r.decide(r.instances[s.instance].Done(r.now, s.id, s.output, admission.Finished))
	}
}

func (r *run) token(s *requestState, index int) {
	if index >= s.seen {
		r.result.token(s, r.now)
		s.seen, s.last = index+1, r.now
	}
	if index%progressEvery == progressEvery-1 {
		r.instances[s.instance].Progress(r.now, s.id, index+1)
	}
}

// lose handles a request whose engine is lost.
func (r *run) lose(s *requestState) {
	core := r.instances[s.instance]
	decisions := core.Done(r.now, s.id, 0, admission.Failed)
	if s.attempts < retryLimit {
		r.admit(s)
	} else {
		r.result.refuse("attempts")
		delete(r.requests, s.id)
	}
	r.decide(decisions)
}

func (r *run) scheduleFaults() {
	for _, e := range r.engines {
		dies := r.setup.Fault == FaultEngine && e.index == 0 ||
			r.setup.Fault == FaultDomain && e.index%r.setup.Mix.domains == 0
		if dies {
			r.at(r.setup.Length/2, func() { r.kill(e) })
		}
	}
}

func (r *run) kill(e *engineState) {
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
			r.lose(s)
		}
	}
	e.batch = map[string]*requestState{}
}
