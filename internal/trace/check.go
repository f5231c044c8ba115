package trace

import (
	"fmt"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// Promise is a guarantee of the system that every trace must satisfy.
type Promise string

// Promises.
const (
	// OneGeneration means that each token reaches the caller once and in order, and
	// that a later run continues an earlier one only after the delivered tokens were
	// compared.
	OneGeneration Promise = "each token once, in order, from a single generation"
	// CompleteAnswer means that every request has exactly one outcome, and that a
	// complete answer has all tokens of its own run.
	CompleteAnswer Promise = "every caller gets the whole answer to its own request"
	// NotRunNeverRuns means that a request refused as not run never runs.
	NotRunNeverRuns Promise = "a refusal that says not-run means that the request did not run"
	// AtMostOnce means that a non-idempotent request runs at most once.
	AtMostOnce Promise = "a non-idempotent request runs at most once"
	// NoNewWork means that a leaving target receives no new run later than
	// leaveBoundMillis after it began to leave.
	NoNewWork Promise = "a leaving target receives no new work after a few seconds"
	// GracefulStop means that a planned stop of an instance leaves no request without
	// an outcome.
	GracefulStop Promise = "a planned stop cuts no request"
	// NeverReverts means that an instance's configuration version never decreases,
	// and that an accepted version is in force at all instances within
	// inForceBoundMillis.
	NeverReverts Promise = "an accepted configuration is in force in time and never reverts"
	// SameDecision means that the cores decide as recorded in the trace.
	SameDecision Promise = "a replay decides as recorded"
)

// Time limits of the promises.
const (
	// leaveBoundMillis is the time in milliseconds after which a leaving target must
	// receive no new run.
	leaveBoundMillis = 3000
	// inForceBoundMillis is the longest time in milliseconds from the acceptance of a
	// configuration version until it is in force.
	inForceBoundMillis = 12000
)

// Check returns the violations of all promises except SameDecision, which Replay
// checks.
func Check(events []Event) []Violation {
	c := &checker{
		requests: map[string]*requestState{}, runsByKey: map[string]int{}, leaving: map[string]int64{},
		versions: map[string]uint64{}, accepted: map[uint64]*Event{},
	}
	for i := range events {
		c.step(&events[i])
	}
	c.finish(events)
	return c.violations
}

type requestState struct {
	instance   string
	delivered  int
	generation int
	compared   map[int]int // number of withheld tokens, by generation
	total      int         // tokens of the latest finished run, or -1
	buffered   bool
	ran        bool // whether its target counted a run
	outcome    *Event
	line       int
}

type checker struct {
	requests   map[string]*requestState
	arrivals   []string
	runsByKey  map[string]int
	leaving    map[string]int64  // time in milliseconds at which a target began to leave
	versions   map[string]uint64 // version in force, by instance
	accepted   map[uint64]*Event
	violations []Violation
}

func (c *checker) report(line int, p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{line: line, promise: p, detail: fmt.Sprintf(format, args...)})
}

func (c *checker) step(e *Event) {
	switch e.Kind {
	case Arrive:
		c.requests[e.Request] = &requestState{instance: e.Instance, buffered: e.Whole, line: e.line, total: -1, compared: map[int]int{}}
		c.arrivals = append(c.arrivals, e.Request)
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

// latest returns the highest run number among the event and the delivered tokens.
func (r *requestState) latest(e *Event) int { return max(r.generation, e.Generation) }

func (c *checker) begin(e *Event) {
	if at, ok := c.leaving[e.Target]; ok && e.AtMillis > at+leaveBoundMillis {
		c.report(e.line, NoNewWork, "target %s began to leave %d ms before", e.Target, e.AtMillis-at)
	}
	if r := c.requests[e.Request]; r != nil && r.buffered {
		r.delivered, r.total = 0, -1 // the buffered answer is discarded
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
		c.report(e.line, CompleteAnswer, "token for request %s, which did not arrive", e.Request)
		return
	}
	if e.Index != r.delivered {
		c.report(e.line, OneGeneration, "token %d follows %d tokens", e.Index, r.delivered)
	}
	if !r.buffered && r.generation != 0 && e.Generation != r.generation && r.compared[e.Generation] < r.delivered {
		c.report(e.line, OneGeneration, "run %d follows run %d without comparison of the first %d tokens", e.Generation, r.generation, r.delivered)
	}
	r.generation = e.Generation
	r.delivered = e.Index + 1
	if r.outcome != nil {
		c.report(e.line, CompleteAnswer, "token after the outcome")
	}
}

func (c *checker) execute(e *Event) {
	if e.Key != "" {
		if c.runsByKey[e.Key]++; c.runsByKey[e.Key] > 1 {
			c.report(e.line, AtMostOnce, "key %s ran %d times", e.Key, c.runsByKey[e.Key])
		}
	}
	r := c.requests[e.Request]
	if r == nil {
		return
	}
	r.ran = true
	if r.outcome != nil && r.outcome.Outcome == "not-run" {
		c.report(e.line, NotRunNeverRuns, "request %s ran after it was refused as not run", e.Request)
	}
}

func (c *checker) outcome(e *Event) {
	r := c.requests[e.Request]
	if r == nil {
		return // refused before it was read
	}
	if r.outcome != nil {
		c.report(e.line, CompleteAnswer, "request %s has a second outcome", e.Request)
		return
	}
	r.outcome = e
	switch e.Outcome {
	case "complete":
		if r.total >= 0 && r.delivered != r.total {
			c.report(e.line, CompleteAnswer, "complete with %d of %d tokens", r.delivered, r.total)
		}
	case "not-run":
		if r.ran {
			c.report(e.line, NotRunNeverRuns, "request %s had run", e.Request)
		}
		if r.delivered > 0 && !r.buffered {
			c.report(e.line, NotRunNeverRuns, "the caller has %d tokens of request %s", r.delivered, e.Request)
		}
	}
}

// stop checks that every request of an instance has an outcome when its stop ends.
func (c *checker) stop(e *Event) {
	if e.Note != "end" {
		return
	}
	for _, id := range c.arrivals {
		if r := c.requests[id]; r.instance == e.Instance && r.outcome == nil {
			c.report(e.line, GracefulStop, "request %s was cut", id)
		}
	}
}

func (c *checker) inForce(e *Event) {
	if previous := c.versions[e.Instance]; e.Version < previous {
		c.report(e.line, NeverReverts, "instance %s went from version %d to %d", e.Instance, previous, e.Version)
	}
	for version := c.versions[e.Instance] + 1; version <= e.Version; version++ {
		if a := c.accepted[version]; a != nil && e.AtMillis > a.AtMillis+inForceBoundMillis {
			c.report(e.line, NeverReverts, "version %d was accepted %d ms before", version, e.AtMillis-a.AtMillis)
		}
	}
	c.versions[e.Instance] = max(c.versions[e.Instance], e.Version)
}

// finish reports outcomes and configuration versions that are missing at the end of
// the trace.
func (c *checker) finish(events []Event) {
	for _, id := range c.arrivals {
		if r := c.requests[id]; r.outcome == nil {
			c.report(r.line, CompleteAnswer, "request %s has no outcome", id)
		}
	}
	if len(events) == 0 {
		return
	}
	end := events[len(events)-1].AtMillis
	for version, a := range c.accepted {
		for instance, inForce := range c.versions {
			if inForce < version && end > a.AtMillis+inForceBoundMillis {
				c.report(a.line, NeverReverts, "version %d is not in force at %s after %d ms", version, instance, end-a.AtMillis)
			}
		}
	}
}
