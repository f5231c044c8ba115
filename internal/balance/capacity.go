package balance

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/ratelimit"
)

const (
	// urgentMemory and otherMemory are the fractions of an engine's memory up to which the most urgent
	// requests and all others are sent to it. The difference holds one prompt of an urgent request; 7 of the long
	// generations of a demanding load, with half of their output, take 0.88 of the memory and fit when all
	// of them are at their end.
	urgentMemory = 1.0
	otherMemory  = 0.90
	// unheardMemory is subtracted from both while only reports tell what other instances have sent: they do not
	// contain the output that running requests will produce.
	unheardMemory = 0.05
	// urgentPrompts and otherPrompts bound the prompt tokens that an engine has not processed yet when a request
	// is sent to it: about two prompts and one.
	urgentPrompts = 4500
	otherPrompts  = 2500
	// growthPerSecond is the number of tokens that a run produces in a second, and admissionTime the time until the
	// prompt of a request is processed.
	growthPerSecond = 100
	admissionTime   = 400 * time.Millisecond
	// largeDivisor divides the memory of an engine; a request that needs more than the quotient is sent, once it is overdue,
	// to an engine without room, since engines seldom have so much free while smaller requests keep arriving.
	largeDivisor = 4
	// reportInterval is the time between two reports of an engine.
	reportInterval = 500 * time.Millisecond
	// drawnPart is the part of the free memory that all instances together take by draw while they do not know what
	// others take.
	drawnPart = 0.7
)

// Demand is what a generation that waits needs from an engine.
type Demand struct {
	// Rank orders the request among those that wait at all instances; lower ranks go first.
	Rank int
	// Tokens is the memory, and Prompt the part of it that is processed before the first event.
	Tokens, Prompt int
	// Urgent is true for requests of the most urgent of several ranks.
	Urgent bool
	// Brief is true for requests that end before other instances learn of them.
	Brief bool
	// Missed is true for requests that can no longer meet their objective.
	Missed bool
	// Overdue is true for requests that have waited for half of their time limit.
	Overdue bool
	// Key is a random number of the request.
	Key uint64
	// Blocked is the number of this instance's requests for which there was no capacity before.
	Blocked int

	exempt bool // from the draw
}

// CountArrival counts a request of this instance that is to be sent to an engine of a service.
func (b *Balancer) CountArrival(service string, now time.Duration) {
	if d := b.demand[service]; d != nil {
		d.Add(now)
	}
	if b.queueArrivals[service] == nil {
		b.queueArrivals[service] = &ratelimit.Demand{}
	}
	b.queueArrivals[service].Add(now)
}

// ChooseWithRoom returns the best target of a service among those that are forecast to have capacity for a
// generation now. With wait there is none, and there will be one. If nothing is known of the capacity of any target, it is
// chosen as by Choose. Targets that ask to wait, state a limit or are brittle are waited for as long as the request can
// still meet its objective.
func (b *Balancer) ChooseWithRoom(service string, d Demand, avoid []string, now time.Duration) (t *Target, wait bool) {
	capacity := b.knownCapacity(service, avoid, now)
	if capacity == 0 || d.Overdue && d.Tokens > capacity/largeDivisor {
		t = b.choose(service, d.Tokens, avoid, now)
		return t, t == nil && !d.Missed && b.EarliestReturn(service, now) > 0
	}
	came := b.unseenArrivals(service, d, now)
	t = b.bestFitting(service, d, avoid, capacity, came, now)
	if t == nil && d.Urgent && d.Brief {
		d.exempt = true
		t = b.bestFitting(service, d, avoid, capacity, came, now)
	}
	if t == nil && d.Missed && b.EarliestReturn(service, now) > 0 {
		return nil, false
	}
	return t, t == nil
}

func (b *Balancer) bestFitting(service string, d Demand, avoid []string, capacity int, came queueLoad, now time.Duration) *Target {
	return b.best(service, d.Tokens, avoid, now, func(t *Target, now time.Duration) bool {
		return t.accepts(now) && now >= t.ejectedUntil && b.fits(t, d, capacity, came, now)
	})
}

// knownCapacity returns the smallest memory that an engine of a service which could be chosen reports, in
// tokens, or 0 without a valid report of one.
func (b *Balancer) knownCapacity(service string, avoid []string, now time.Duration) int {
	capacity := 0
	for _, t := range b.candidates(service) {
		if !b.usable(t, now) || !t.accepts(now) || now < t.ejectedUntil || !t.load.valid(now) || slices.Contains(avoid, t.id) {
			continue
		}
		if capacity == 0 || t.load.capacity < capacity {
			capacity = t.load.capacity
		}
	}
	return capacity
}

func (l *load) valid(now time.Duration) bool {
	return l.known && l.capacity > 0 && now-l.at <= reportValid
}

// queueLoad is the requests that come to the engines of a service from all instances.
type queueLoad struct {
	perSecond float64
	waiting   float64 // requests that are sent as soon as there is capacity
	// ahead is the memory, in tokens, that more urgent requests which wait at other instances take of each engine.
	ahead float64
}

// unseenArrivals estimates what comes from all instances before a request or beside it. Others are taken to have as
// much as this one where it is not known.
func (b *Balancer) unseenArrivals(service string, d Demand, now time.Duration) queueLoad {
	a := queueLoad{waiting: float64(d.Blocked * b.likelyInstances())}
	if own := b.queueArrivals[service]; own != nil {
		a.perSecond = own.Rate(now) * float64(b.likelyInstances())
	}
	if b.queued.valid(now) {
		requests, tokens := b.queued.before(service, d.Rank)
		a.waiting, a.ahead = float64(d.Blocked+requests), float64(tokens)/float64(max(1, len(b.byService[service])))
	}
	return a
}

// forecast is what is known of an engine's use at present.
type forecast struct {
	capacity, used, prefilling int // tokens
	batch                      int
	// heard is true while what was heard of others is newer than the report.
	heard bool
	// news is when the newest of both was heard, and window the time of which it does not tell.
	news, window time.Duration
}

// forecastUse forecasts the use of an engine from its report and from what all instances have there. Capacity is its memory
// without a valid report.
func (b *Balancer) forecastUse(t *Target, d Demand, capacity int, now time.Duration) forecast {
	valid := t.load.valid(now)
	f := forecast{
		capacity: capacity, used: t.tokens, prefilling: t.prefilling, batch: t.open, news: b.peersAt, window: now - b.peersAt + b.peersInterval,
		heard: b.instances == 1 || b.peersAt > 0 && (!valid || b.peersAt >= t.load.at),
	}
	if f.heard {
		f.used, f.prefilling, f.batch = f.used+t.peerUse.tokens, f.prefilling+t.peerUse.prefilling, f.batch+t.peerUse.requests
	}
	if !valid {
		return f
	}
	requests, tokens := t.changeSinceReport(f.heard)
	f.used = max(f.used, t.load.used+tokens+t.growth(now))
	if !d.Urgent { // an urgent one is admitted before those that wait
		f.used = max(f.used, t.load.used+tokens+t.load.waiting*d.Tokens)
	}
	f.capacity, f.batch, f.window = t.load.capacity, max(f.batch, t.load.running+requests), min(f.window, now-t.load.at)
	if !f.heard {
		f.news = t.load.at
	}
	return f
}

// fits reports whether an engine is forecast to have capacity for a generation.
func (b *Balancer) fits(t *Target, d Demand, capacity int, came queueLoad, now time.Duration) bool {
	f := b.forecastUse(t, d, capacity, now)
	ceiling, prompts := otherMemory, otherPrompts
	if d.Urgent {
		ceiling, prompts = urgentMemory, urgentPrompts
	}
	if !f.heard {
		ceiling -= unheardMemory
	}
	if t.slots > 0 && f.batch >= t.slots || f.prefilling > prompts {
		return false
	}
	free := ceiling*float64(f.capacity) - float64(f.used) - came.ahead
	if free < float64(d.Tokens) {
		return f.used == 0 // no engine will ever have more room
	}
	return d.exempt || b.instances == 1 || d.drawn(t, f, came, free)
}

// drawn reports whether a generation is sent to an engine with so much free memory. Where others may have taken so much
// unseen that not all requests can be sent, each is sent to the engines that it draws, so that all together take a part of
// the free memory.
func (d Demand) drawn(t *Target, f forecast, came queueLoad, free float64) bool {
	draws := 1.0
	if !f.heard { // what waits draws again with each report of the window
		draws = max(1, f.window.Seconds()/reportInterval.Seconds())
	}
	// The first of those that wait here draws for all of them.
	unseen := (draws*came.waiting + came.perSecond*f.window.Seconds()) / float64(max(1, d.Blocked))
	return d.draw(t, f.news)*unseen <= drawnPart*free/float64(d.Tokens)
}

// draw returns a number, uniform in [0, 1), that decides whether a request is sent to an engine of which others may
// have taken much unseen. It is another one for the news of each time, and not for each time that the request is
// considered: the oftener that happened, the more would be sent.
func (d Demand) draw(t *Target, news time.Duration) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.id)) // never fails
	return rand.New(rand.NewPCG(d.Key, h.Sum64()^uint64(news))).Float64()
}

// growth returns the memory that the output of the runs in a report takes until a request that is sent now has
// been admitted and its prompt processed.
func (t *Target) growth(now time.Duration) int {
	return int(growthPerSecond * float64(t.load.running) * (now - t.load.at + admissionTime).Seconds())
}

// changeSinceReport returns by how much the requests at the engine and their memory have changed since the time that
// the report describes, as far as is known: what this instance has sent and what of it has ended, and what others
// were heard to have there before and have now.
func (t *Target) changeSinceReport(heard bool) (requests, tokens int) {
	for _, p := range t.load.recent {
		requests, tokens = requests+p.requests, tokens+p.tokens
	}
	for _, p := range t.load.ended {
		requests, tokens = requests-p.requests, tokens-p.tokens
	}
	if heard && len(t.peerHistory) > 0 {
		before := t.peerHistory[0]
		for _, p := range t.peerHistory {
			if p.at <= t.load.at {
				before = p
			}
		}
		requests, tokens = requests+t.peerUse.requests-before.requests, tokens+t.peerUse.tokens-before.tokens
	}
	return requests, tokens
}

// recordPeerUses keeps what was heard of other instances' uses for as long as reports are old.
func (b *Balancer) recordPeerUses(now time.Duration) {
	for service := range b.queueArrivals {
		for _, t := range b.byService[service] {
			t.peerHistory = slices.DeleteFunc(t.peerHistory, func(p placement) bool { return now-p.at > reportValid })
			t.peerHistory = append(t.peerHistory, placement{at: now, tokens: t.peerUse.tokens, requests: t.peerUse.requests})
		}
	}
}
