package trace

import (
	"fmt"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// Limits of delivery.Policy in replays. Traces do not contain them, so they must equal
// those of package entry.
const (
	replayAttempts = 4
	replayResumes  = 6
)

// Violation is a violation of a promise at one event of a trace.
type Violation struct {
	line    int
	promise Promise
	detail  string
}

// Line returns the 1-based line of the event that violates the promise.
func (v Violation) Line() int { return v.line }

// Promise returns the promise that is violated.
func (v Violation) Promise() Promise { return v.promise }

// String formats the violation as "line: promise: detail".
func (v Violation) String() string { return fmt.Sprintf("%d: %s: %s", v.line, v.promise, v.detail) }

// Replay feeds the recorded inputs of each request into a delivery core and
// compares its decisions with the recorded ones.
func Replay(events []Event) []Violation {
	r := &replayer{cores: map[string]*delivery.Core{}}
	for i := range events {
		r.step(&events[i])
	}
	return r.violations
}

type replayer struct {
	cores      map[string]*delivery.Core
	violations []Violation
}

func (r *replayer) step(e *Event) {
	if e.Kind == Arrive {
		r.cores[e.Request] = delivery.New(delivery.Policy{
			Idempotent: e.Idempotent, Buffered: e.Whole, MaxAttempts: replayAttempts,
			MaxResumes: replayResumes,
		})
		return
	}
	core := r.cores[e.Request]
	if core == nil {
		return
	}
	switch e.Kind {
	case Begin:
		if generation := core.Begin(); generation != e.Generation {
			r.reportDifference(e, "run %d begins, recorded is %d", generation, e.Generation)
		}
		core.Sent()
	case Token:
		core.Accepted()
		verdict := VerdictName(core.Token(e.Generation, e.Index, []byte(e.Text)))
		if verdict != e.Verdict {
			r.reportDifference(e, "token %d: verdict %s, recorded is %s", e.Index, verdict, e.Verdict)
		}
	case Finish:
		core.Accepted()
		core.Finished(e.Generation, e.Total)
	case Lost:
		r.lost(e, core)
	case Outcome:
		if !core.End(delivery.Outcome(e.Outcome)) {
			r.reportDifference(e, "the request had outcome %s already", core.Outcome())
		}
	}
}

func (r *replayer) lost(e *Event, core *delivery.Core) {
	loss, ok := lossOf(e.Loss)
	if !ok {
		r.reportDifference(e, "unknown loss %q", e.Loss)
		return
	}
	if e.Step == StepName(delivery.Resume) {
		core.Accepted()
		core.Resumed()
		return
	}
	step, _ := core.Lost(loss, func() bool { return e.MayRetry })
	if StepName(step) != e.Step && step != delivery.Resume {
		r.reportDifference(e, "step %s, recorded is %s", StepName(step), e.Step)
	}
}

func (r *replayer) reportDifference(e *Event, format string, args ...any) {
	r.violations = append(r.violations, Violation{line: e.line, promise: SameDecision, detail: fmt.Sprintf(format, args...)})
}
