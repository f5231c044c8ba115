package trace

import (
	"fmt"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// Promise is a point that must always hold.
type Promise string

// Promises.
const (
	// OneGeneration: each token reaches the caller once, in order, and no two
	// runs are mixed beyond what was compared.
	OneGeneration Promise = "each token once, in order, from a single generation"
	// WholeAnswer: every request has exactly one outcome, and a complete one has
	// all tokens of its own run.
	WholeAnswer Promise = "every caller gets the whole answer to its own request"
	// NotRunIsTrue: a request that was refused as not run never ran.
	NotRunIsTrue Promise = "a refusal that says not-run means that the request did not run"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Promise = "a non-idempotent request runs at most once"
	// NoNewWork: a leaving target gets no new work after the bound.
	NoNewWork Promise = "a leaving target receives no new work after a few seconds"
	// GracefulStop: a planned stop cuts no request.
	GracefulStop Promise = "a planned stop cuts no request"
	// NeverReverts: the version at an instance only rises, and an accepted
	// version is in force everywhere in time.
	NeverReverts Promise = "an accepted configuration is in force in time and never reverts"
	// SameDecision: the cores decide as they did when the trace was recorded.
	SameDecision Promise = "a replay decides as recorded"
)

// Bounds of promises.
const (
	// leaveBoundMillis is the time after which a leaving target gets no new work.
	leaveBoundMillis = 3000
	// inForceBoundMillis is the time from acceptance to in force.
	inForceBoundMillis = 12000
)

// Check tests a trace against every promise.
func Check(events []Event) []Violation {
	c := &checker{
		requests: map[string]*requestState{}, runs: map[string]int{}, leaving: map[string]int64{},
		versions: map[string]uint64{}, accepted: map[uint64]*Event{}, stopping: map[string]int{},
	}
	for i := range events {
		c.step(&events[i])
	}
	c.finish(events)
	return c.found
}

type requestState struct {
	instance   string
	delivered  int
	generation int
	compared   map[int]int // tokens withheld as equal, by generation
	total      int
	whole      bool
	ran        bool
	outcome    *Event
	line       int
}

type checker struct {
	requests map[string]*requestState
	order    []string
	runs     map[string]int
	leaving  map[string]int64
	versions map[string]uint64
	accepted map[uint64]*Event
	stopping map[string]int // line of the stop, by instance
	found    []Violation
}

func (c *checker) broken(line int, p Promise, format string, args ...any) {
	c.found = append(c.found, Violation{line: line, promise: p, detail: fmt.Sprintf(format, args...)})
}

func (c *checker) step(e *Event) {
	switch e.Kind {
	case Arrive:
		c.requests[e.Request] = &requestState{instance: e.Instance, whole: e.Whole, line: e.line, total: -1, compared: map[int]int{}}
		c.order = append(c.order, e.Request)
	case Begin:
		c.begin(e)
	case Token:
		c.token(e)
	case Deliver:
		c.deliver(e)
	case Finish:
		c.finishRun(e)
	case Execute:
		c.execute(e)
	case Outcome:
		c.outcome(e)
	case Leave:
		c.leaving[e.Target] = e.AtMillis
	case Stop:
		c.stop(e)
	case Accepted:
		c.accepted[e.Version] = e
	case InForce:
		c.inForce(e)
	}
}

func (c *checker) finishRun(e *Event) {
	if r := c.requests[e.Request]; r != nil && e.Generation == r.latest(e) {
		r.total = e.Total
	}
}

// latest returns the number of the run that an event may belong to.
func (r *requestState) latest(e *Event) int { return max(r.generation, e.Generation) }

func (c *checker) begin(e *Event) {
	if at, ok := c.leaving[e.Target]; ok && e.AtMillis > at+leaveBoundMillis {
		c.broken(e.line, NoNewWork, "target %s began to leave %d ms before", e.Target, e.AtMillis-at)
	}
	if r := c.requests[e.Request]; r != nil && r.whole {
		r.delivered, r.total = 0, -1 // what was held is discarded
	}
}

func (c *checker) token(e *Event) {
	if r := c.requests[e.Request]; r != nil && e.Verdict == VerdictName(delivery.Withhold) {
		r.compared[e.Generation]++
	}
}

func (c *checker) deliver(e *Event) {
	r := c.requests[e.Request]
	if r == nil {
		c.broken(e.line, WholeAnswer, "token for request %s, which did not arrive", e.Request)
		return
	}
	if e.Index != r.delivered {
		c.broken(e.line, OneGeneration, "token %d follows %d tokens", e.Index, r.delivered)
	}
	if !r.whole && r.generation != 0 && e.Generation != r.generation && r.compared[e.Generation] < r.delivered-1 {
		c.broken(e.line, OneGeneration, "run %d follows run %d without comparison of the first %d tokens", e.Generation, r.generation, r.delivered)
	}
	r.generation = e.Generation
	r.delivered = e.Index + 1
	if r.outcome != nil {
		c.broken(e.line, WholeAnswer, "token after the outcome")
	}
}

func (c *checker) execute(e *Event) {
	if e.Key != "" {
		if c.runs[e.Key]++; c.runs[e.Key] > 1 {
			c.broken(e.line, AtMostOnce, "key %s ran %d times", e.Key, c.runs[e.Key])
		}
	}
	r := c.requests[e.Request]
	if r == nil {
		return
	}
	r.ran = true
	if r.outcome != nil && r.outcome.Outcome == "not-run" {
		c.broken(e.line, NotRunIsTrue, "request %s ran after it was refused as not run", e.Request)
	}
}

func (c *checker) outcome(e *Event) {
	r := c.requests[e.Request]
	if r == nil {
		return // refused before it was read
	}
	if r.outcome != nil {
		c.broken(e.line, WholeAnswer, "request %s has a second outcome", e.Request)
		return
	}
	r.outcome = e
	switch e.Outcome {
	case "complete":
		if r.total >= 0 && r.delivered != r.total {
			c.broken(e.line, WholeAnswer, "complete with %d of %d tokens", r.delivered, r.total)
		}
	case "not-run":
		if r.ran {
			c.broken(e.line, NotRunIsTrue, "request %s had run", e.Request)
		}
		if r.delivered > 0 && !r.whole {
			c.broken(e.line, NotRunIsTrue, "the caller has %d tokens of request %s", r.delivered, e.Request)
		}
	}
}

// stop checks that no request of an instance is open when its stop ends.
func (c *checker) stop(e *Event) {
	if e.Note != "end" {
		c.stopping[e.Instance] = e.line
		return
	}
	for _, id := range c.order {
		if r := c.requests[id]; r.instance == e.Instance && r.outcome == nil {
			c.broken(e.line, GracefulStop, "request %s was cut", id)
		}
	}
}

func (c *checker) inForce(e *Event) {
	if before := c.versions[e.Instance]; e.Version < before {
		c.broken(e.line, NeverReverts, "instance %s went from version %d to %d", e.Instance, before, e.Version)
	}
	for version := c.versions[e.Instance] + 1; version <= e.Version; version++ {
		if a := c.accepted[version]; a != nil && e.AtMillis > a.AtMillis+inForceBoundMillis {
			c.broken(e.line, NeverReverts, "version %d was accepted %d ms before", version, e.AtMillis-a.AtMillis)
		}
	}
	c.versions[e.Instance] = max(c.versions[e.Instance], e.Version)
}

// finish checks what is missing at the end of the trace.
func (c *checker) finish(events []Event) {
	for _, id := range c.order {
		if r := c.requests[id]; r.outcome == nil {
			c.broken(r.line, WholeAnswer, "request %s has no outcome", id)
		}
	}
	if len(events) == 0 {
		return
	}
	end := events[len(events)-1].AtMillis
	for version, a := range c.accepted {
		for instance, has := range c.versions {
			if has < version && end > a.AtMillis+inForceBoundMillis {
				c.broken(a.line, NeverReverts, "version %d is not in force at %s after %d ms", version, instance, end-a.AtMillis)
			}
		}
	}
}
