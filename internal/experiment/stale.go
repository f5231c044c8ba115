package experiment

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/engine"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// The load and the engines of an experiment with stale information.
const (
	staleService = "s"
	// fullRate is the number of generations a second, one in three of them long, with which the memory of an
	// engine of speed 1 is full: load 1.
	fullRate       = 2.0
	longPrompt     = 3000
	longOutput     = 752
	shortPrompt    = 2200
	shortOutput    = 8
	staleCapacity  = 27000
	staleSlots     = 24
	staleDomains   = 3
	prefillPerS    = 14000
	decodeStep     = 7 * time.Millisecond
	decodePerRun   = 120 * time.Microsecond
	snapshotEvery  = 50 * time.Millisecond
	snapshotFresh  = 5 * time.Millisecond   // for ages of less than snapshotEvery
	oldestReport   = 500 * time.Millisecond // the state in a report is this old at least
	retryInterval  = 100 * time.Millisecond
	promptsBehind  = 3
	burstEvery     = 10 * time.Second
	burstDuration  = 4 * time.Second
	burstFactor    = 2.0
	staleWarmup    = 10 * time.Second
	crashPerSecond = 1.0 / 20
)

// StaleSetup configures one run of generations that many instances send to the same engines by stale information.
type StaleSetup struct {
	Way       StaleWay
	Instances int
	Engines   int
	// Subset is the number of engines that each instance knows, 0 for all.
	Subset int
	// Age is that of the uses that instances know, and of reports if it is more than 0.5 s.
	Age  time.Duration
	Load float64
	// Speeds gives a third of the engines each 0.7, 0.7 and 1.7 of the nominal speed.
	Speeds bool
	Bursts bool
	// Replaced has engines lose everything and come back empty, each every 20 s on average.
	Replaced bool
	// NoLeader has the instances know nothing of each other, only reports.
	NoLeader bool
	// Halves has each half of the instances know nothing of the other.
	Halves   bool
	Duration time.Duration
	Seed     uint64
}

// StaleWay is a way to choose an engine.
type StaleWay struct {
	Name   string
	Picker func(s *StaleSetup) balance.Picker
	// Fresh has uses taken as if they were not old.
	Fresh bool
}

// StaleWays returns the ways that are compared.
func StaleWays() []StaleWay {
	return []StaleWay{
		{Name: "random", Picker: func(*StaleSetup) balance.Picker { return pickRandom }},
		{Name: "two choices", Picker: func(*StaleSetup) balance.Picker { return pickOfTwo }},
		{Name: "random part", Picker: pickByScore, Fresh: true},
		{Name: "random part, aged", Picker: pickByScore},
		{Name: "shares", Picker: func(*StaleSetup) balance.Picker { return newShares().pick }},
		{Name: "by room, half", Picker: byRoomOf(0.5)},
		{Name: "by room, double", Picker: byRoomOf(2)},
		{Name: "by room", Picker: func(*StaleSetup) balance.Picker { return balance.PickByRoom }},
	}
}

// StaleResult holds the figures of a run.
type StaleResult struct {
	// Evenness is what the most loaded engine received, in prompt tokens a second of its life by its speed, divided by
	// the mean; Least the same of the least loaded one.
	Evenness float64
	Least    float64
	// Behind is the fraction of generations that were sent behind three prompts, and BehindIdle the part of them
	// while another engine was idle.
	Behind     float64
	BehindIdle float64
	// First is the time to the first token, mean and 95 of 100.
	First   time.Duration
	First95 time.Duration
	// Preempted is the fraction of generations that were preempted.
	Preempted float64
	// Busiest is the number of generations at the engine that has most on average, divided by the mean: generations
	// take less time at a faster engine, so equal numbers are even by speed.
	Busiest float64
	// Bytes is the size of one message of uses.
	Bytes int
}

// byRoomOf picks by room with a multiple of the requests that are expected unseen.
func byRoomOf(multiple float64) func(*StaleSetup) balance.Picker {
	return func(*StaleSetup) balance.Picker {
		return func(candidates []balance.Candidate, others balance.Others, random *rand.Rand) int {
			others.Unseen *= multiple
			return balance.PickByRoom(candidates, others, random)
		}
	}
}

func pickRandom(candidates []balance.Candidate, _ balance.Others, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

func pickOfTwo(candidates []balance.Candidate, _ balance.Others, random *rand.Rand) int {
	a, b := random.IntN(len(candidates)), random.IntN(len(candidates))
	if candidates[b].Score < candidates[a].Score {
		return b
	}
	return a
}

// pickByScore picks by score, with the random part of the setup's age of information.
func pickByScore(s *StaleSetup) balance.Picker {
	return func(candidates []balance.Candidate, _ balance.Others, random *rand.Rand) int {
		return balance.PickByScore(candidates, balance.Others{Instances: s.Instances, Age: s.Age}, random)
	}
}

// shares gives each engine requests in proportion to its speed and its room, each in its turn.
type shares struct{ credit map[string]float64 }

func newShares() *shares { return &shares{credit: map[string]float64{}} }

func (s *shares) pick(candidates []balance.Candidate, _ balance.Others, random *rand.Rand) int {
	worst := 0.0
	for _, c := range candidates {
		worst = max(worst, c.Score)
	}
	total, best := 0.0, 0
	for i, c := range candidates {
		share := (worst - c.Score + c.Step) / c.Step
		total += share
		if _, ok := s.credit[c.ID()]; !ok {
			s.credit[c.ID()] = random.Float64() * share
		}
		s.credit[c.ID()] += share
		if s.credit[c.ID()] > s.credit[candidates[best].ID()] {
			best = i
		}
	}
	s.credit[candidates[best].ID()] -= total
	return best
}

// staleRun is the state of a run.
type staleRun struct {
	setup     StaleSetup
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	scheduled int
	engines   []*staleEngine
	instances []*staleInstance
	snapshots [][]staleState // at an interval
	open      map[string]*staleRequest
	arrived   int
	counted   int
	behind    int
	idle      int
	preempted map[string]bool
	firsts    []time.Duration
	bytes     int
}

type staleEngine struct {
	index    int
	id       string
	speed    float64
	core     *engine.Engine
	stepping bool
	life     int // incremented when it is replaced
	bornMs   uint64
	prompts  int // sent and not processed
	received float64
	present  int         // the sum over snapshots
	sum      [2]staleUse // what each half of the instances has there
}

type staleUse struct{ requests, tokens, prefilling int }

// staleState is the state of an engine at a time.
type staleState struct {
	load   engine.Load
	bornMs uint64
	sum    [2]staleUse
}

type staleInstance struct {
	index    int
	balancer *balance.Balancer
	known    []*staleEngine
	requests []*staleRequest
}

type staleRequest struct {
	id        string
	at        time.Duration
	placedAt  time.Duration
	firstAt   time.Duration // 0 while it has no token
	endedAt   time.Duration // 0 while it runs
	tokens    int
	prompt    int
	output    int
	instance  *staleInstance
	engine    *staleEngine
	target    *balance.Target
	measured  bool
	hadTokens bool
}

// RunStale executes one run.
func RunStale(s StaleSetup) StaleResult {
	r := &staleRun{setup: s, random: rand.New(rand.NewPCG(s.Seed, 77)), open: map[string]*staleRequest{}, preempted: map[string]bool{}}
	r.build()
	r.schedule(0, r.snapshot)
	r.schedule(0, r.arrive)
	if s.Replaced {
		r.schedule(0, r.replace)
	}
	for r.events.Len() > 0 {
		next, ok := heap.Pop(&r.events).(*event)
		if !ok || next.at > s.Duration+staleWarmup {
			break
		}
		r.now = next.at
		next.do()
	}
	return r.result()
}

func (r *staleRun) schedule(at time.Duration, do func()) {
	r.scheduled++
	heap.Push(&r.events, &event{at: at, order: r.scheduled, do: do})
}

func (r *staleRun) build() {
	speeds := []float64{1}
	if r.setup.Speeds {
		speeds = []float64{0.7, 0.7, 1.7}
	}
	for i := range r.setup.Engines {
		r.engines = append(r.engines, &staleEngine{index: i, id: fmt.Sprint("e", i), speed: speeds[i/staleDomains%len(speeds)], bornMs: 1, core: newStaleCore()})
	}
	for i := range r.setup.Instances {
		in := &staleInstance{index: i, known: r.known(i)}
		in.balancer = balance.New(fmt.Sprint("z", i%staleDomains), rand.New(rand.NewPCG(r.setup.Seed, uint64(1000+i))), balance.WithPicker(r.setup.Way.Picker(&r.setup)))
		list := make([]*wire.Target, 0, len(in.known))
		for _, e := range in.known {
			list = append(list, &wire.Target{
				Id: e.id, Service: staleService, Address: "10.0.0.1:1", FailureDomain: fmt.Sprint("z", e.index%staleDomains),
				Slots: staleSlots, Engine: true, State: wire.TargetState_TARGET_STATE_READY,
			})
		}
		in.balancer.Update(list, 0)
		in.balancer.SetPart(staleService, float64(len(in.known))/float64(len(r.engines)))
		in.balancer.UpdatePeerUses(nil, r.setup.Instances, 0)
		r.instances = append(r.instances, in)
	}
}

func newStaleCore() *engine.Engine {
	return engine.New(engine.Config{
		CapacityTokens: staleCapacity, MaxBatch: staleSlots, StepBase: decodeStep, StepPerSequence: decodePerRun, PrefillPerToken: time.Second / prefillPerS,
	})
}

// known returns the engines that an instance knows: all, or those with the highest hashes with its name.
func (r *staleRun) known(instance int) []*staleEngine {
	if r.setup.Subset == 0 || r.setup.Subset >= len(r.engines) {
		return r.engines
	}
	hash := func(e *staleEngine) uint64 {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s/%d", e.id, instance) // writing to a hash does not fail
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		return x ^ x>>33
	}
	sorted := slices.Clone(r.engines)
	slices.SortFunc(sorted, func(a, b *staleEngine) int {
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return sorted[:r.setup.Subset]
}

// half returns which half of the instances an instance belongs to.
func (r *staleRun) half(in *staleInstance) int { return in.index / staleDomains % 2 }

func (r *staleRun) arrive() {
	total := 0.0
	for _, e := range r.engines {
		total += e.speed
	}
	rate := total * fullRate * r.setup.Load
	if r.setup.Bursts && r.now%burstEvery < burstDuration {
		rate *= burstFactor
	}
	r.arrived++
	q := &staleRequest{id: fmt.Sprint(r.arrived), at: r.now, prompt: shortPrompt, output: shortOutput, instance: r.instances[r.random.IntN(len(r.instances))]}
	if r.random.IntN(3) == 0 {
		q.prompt, q.output = longPrompt, longOutput
	}
	q.tokens = q.prompt + q.output
	q.measured = r.now >= staleWarmup
	r.place(q)
	r.schedule(r.now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// place sends a request to the engine that its instance chooses, or has it wait while none has room.
func (r *staleRun) place(q *staleRequest) {
	in := q.instance
	r.inform(in)
	if in.balancer.AtCapacity(staleService, q.tokens, r.now) {
		r.schedule(r.now+retryInterval, func() { r.place(q) })
		return
	}
	q.target = in.balancer.Choose(staleService, q.tokens, nil, r.now)
	q.engine = r.engines[indexOf(q.target.ID())]
	e := q.engine
	if q.measured {
		r.counted++
		e.received += float64(q.prompt)
		if e.prompts >= promptsBehind {
			r.behind++
			if slices.ContainsFunc(r.engines, func(o *staleEngine) bool { return o.core.Idle() }) {
				r.idle++
			}
		}
	}
	in.balancer.Begin(q.target, q.tokens, r.now)
	in.balancer.AddPrefill(q.target, q.prompt)
	q.placedAt, q.firstAt, q.endedAt = r.now, 0, 0
	sum := &e.sum[r.half(in)]
	sum.requests++
	sum.tokens += q.tokens
	sum.prefilling += q.prompt
	e.prompts++
	in.requests = append(in.requests, q)
	r.open[q.id] = q
	e.core.Submit(&engine.Sequence{ID: q.id, Prompt: q.prompt, Length: q.output})
	r.step(e)
}

func indexOf(id string) int {
	n := 0
	_, _ = fmt.Sscanf(id, "e%d", &n) // all are named alike
	return n
}

// step has an engine take its next step unless it takes one.
func (r *staleRun) step(e *staleEngine) {
	if e.stepping || e.core.Idle() {
		return
	}
	e.stepping = true
	took, events := e.core.Step()
	events = slices.Clone(events)
	life := e.life
	r.schedule(r.now+time.Duration(float64(took)/e.speed), func() {
		if e.life != life {
			return
		}
		e.stepping = false
		for _, event := range events {
			r.apply(event)
		}
		r.step(e)
	})
}

func (r *staleRun) apply(event engine.Event) {
	q := r.open[event.Sequence.ID]
	if q == nil {
		return
	}
	switch event.Kind {
	case engine.Token:
		if q.firstAt == 0 {
			r.endPrompt(q)
			if q.measured && !q.hadTokens {
				r.firsts = append(r.firsts, r.now-q.at)
			}
			q.hadTokens = true
		}
	case engine.Preempted:
		if q.measured {
			r.preempted[q.id] = true
		}
	case engine.Finished:
		r.end(q)
	}
}

func (r *staleRun) endPrompt(q *staleRequest) {
	q.firstAt = r.now
	q.engine.prompts--
	q.engine.sum[r.half(q.instance)].prefilling -= q.prompt
	q.instance.balancer.AddPrefill(q.target, -q.prompt)
}

func (r *staleRun) end(q *staleRequest) {
	if q.firstAt == 0 {
		r.endPrompt(q)
	}
	q.endedAt = r.now
	sum := &q.engine.sum[r.half(q.instance)]
	sum.requests--
	sum.tokens -= q.tokens
	q.instance.balancer.End(q.target, q.tokens, balance.Served, r.now)
	delete(r.open, q.id)
}

// replace replaces an engine: what it had is sent again, and it comes back empty.
func (r *staleRun) replace() {
	interval := time.Duration(r.random.ExpFloat64() / (crashPerSecond * float64(len(r.engines))) * float64(time.Second))
	r.schedule(r.now+interval, r.replace)
	e := r.engines[r.random.IntN(len(r.engines))]
	var lost []*staleRequest
	for _, q := range r.open {
		if q.engine == e {
			lost = append(lost, q)
		}
	}
	slices.SortFunc(lost, func(a, b *staleRequest) int { return int(a.placedAt - b.placedAt) })
	for _, q := range lost {
		r.end(q)
	}
	e.life++
	e.bornMs++
	e.stepping = false
	e.core = newStaleCore()
	for _, q := range lost {
		again := *q
		r.place(&again)
	}
}

// every returns the interval of the snapshots.
func (r *staleRun) every() time.Duration {
	if r.setup.Age < snapshotEvery {
		return snapshotFresh
	}
	return snapshotEvery
}

func (r *staleRun) snapshot() {
	states := make([]staleState, len(r.engines))
	for i, e := range r.engines {
		if r.now >= staleWarmup {
			e.present += e.core.Load().Running + e.core.Load().Waiting
		}
		states[i] = staleState{load: e.core.Load(), bornMs: e.bornMs, sum: e.sum}
	}
	r.snapshots = append(r.snapshots, states)
	if n := int((max(r.setup.Age, oldestReport) * 2) / r.every()); len(r.snapshots) > n+2 {
		r.snapshots[len(r.snapshots)-n-3] = nil
	}
	r.schedule(r.now+r.every(), r.snapshot)
}

// stateOf returns the state of the engines of some time ago, and when that was.
func (r *staleRun) stateOf(age time.Duration) ([]staleState, time.Duration) {
	n := max(0, int((r.now-age)/r.every()))
	return r.snapshots[n], time.Duration(n) * r.every()
}

// inform gives an instance the reports and the uses that it knows by now.
func (r *staleRun) inform(in *staleInstance) {
	states, _ := r.stateOf(max(oldestReport, r.setup.Age))
	loads := make([]*wire.Load, 0, len(in.known))
	for _, e := range in.known {
		s := states[e.index]
		load := &wire.Load{
			Target: e.id, Running: uint32(s.load.Running), Waiting: uint32(s.load.Waiting), UsedTokens: uint32(s.load.UsedTokens), CapacityTokens: staleCapacity,
			AgeMs: uint32(max(0, r.setup.Age-oldestReport).Milliseconds()), StartedMs: s.bornMs,
		}
		if r.setup.Speeds && s.bornMs == e.bornMs {
			load.SpeedPermille, load.SpeedReadings = uint32(1000*e.speed), 16
		}
		loads = append(loads, load)
	}
	in.balancer.UpdateLoads(loads, r.now)
	if r.setup.NoLeader {
		return
	}
	uses, at := r.uses(in)
	if r.setup.Way.Fresh {
		at = r.now
	}
	instances := r.setup.Instances
	if r.setup.Halves {
		instances /= 2
	}
	in.balancer.UpdatePeerUses(uses, instances, at)
}

// uses returns what an instance knows of the others' uses, and of when it is.
func (r *staleRun) uses(in *staleInstance) ([]*wire.Use, time.Duration) {
	states, at := r.stateOf(r.setup.Age)
	own := map[*staleEngine]staleUse{}
	kept := in.requests[:0]
	for _, q := range in.requests {
		if q.endedAt != 0 && q.endedAt < at {
			continue
		}
		kept = append(kept, q)
		if q.placedAt >= at {
			continue
		}
		u := own[q.engine]
		u.requests++
		u.tokens += q.tokens
		if q.firstAt == 0 || q.firstAt >= at {
			u.prefilling += q.prompt
		}
		own[q.engine] = u
	}
	in.requests = kept
	var out []*wire.Use
	for _, e := range in.known {
		sum := states[e.index].sum[r.half(in)]
		if other := states[e.index].sum[1-r.half(in)]; !r.setup.Halves {
			sum = staleUse{sum.requests + other.requests, sum.tokens + other.tokens, sum.prefilling + other.prefilling}
		}
		u := own[e]
		if sum.requests > u.requests {
			out = append(out, &wire.Use{
				Target: e.id, Requests: uint32(sum.requests - u.requests), Tokens: uint32(max(0, sum.tokens-u.tokens)), Prefilling: uint32(max(0, sum.prefilling-u.prefilling)),
			})
		}
	}
	r.bytes = max(r.bytes, proto.Size(&wire.FollowResponse{Others: out}))
	return out, at
}

func (r *staleRun) result() StaleResult {
	out := StaleResult{Bytes: r.bytes}
	total, speeds := 0.0, 0.0
	for _, e := range r.engines {
		total += e.received
		speeds += e.speed
	}
	present, most := 0, 0
	for _, e := range r.engines {
		present, most = present+e.present, max(most, e.present)
	}
	out.Busiest = float64(most*len(r.engines)) / float64(max(1, present))
	out.Least = 1
	for _, e := range r.engines {
		share := e.received / e.speed / (total / speeds)
		out.Evenness, out.Least = max(out.Evenness, share), min(out.Least, share)
	}
	counted := float64(max(1, r.counted))
	out.Behind, out.BehindIdle, out.Preempted = float64(r.behind)/counted, float64(r.idle)/counted, float64(len(r.preempted))/counted
	slices.Sort(r.firsts)
	if n := len(r.firsts); n > 0 {
		sum := time.Duration(0)
		for _, f := range r.firsts {
			sum += f
		}
		out.First, out.First95 = sum/time.Duration(n), r.firsts[n*95/100]
	}
	return out
}
