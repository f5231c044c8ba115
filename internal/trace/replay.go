package trace

import (
	"fmt"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// Bounds that replays use in place of a configuration's.
const (
	replayAttempts = 4
	replayResumes  = 6
)

// Violation is a broken promise, or a decision that differs from the recorded
// one.
type Violation struct {
	line    int
	promise Promise
	detail  string
}

// Line returns the 1-based line of the event that breaks the promise.
func (v Violation) Line() int { return v.line }

// Promise returns the promise that is broken.
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
	return r.found
}

type replayer struct {
	cores map[string]*delivery.Core
	found []Violation
}

func (r *replayer) step(e *Event) {
	if e.Kind == Arrive {
		r.cores[e.Request] = delivery.New(delivery.Policy{
			Idempotent: e.Idempotent, Whole: e.Whole, MaxAttempts: replayAttempts,
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
			r.differ(e, "run %d begins, recorded is %d", generation, e.Generation)
		}
		core.Sent()
	case Token:
		core.Accepted()
		verdict := VerdictName(core.Token(e.Generation, e.Index, []byte(e.Text)))
		if verdict != e.Verdict {
			r.differ(e, "token %d: verdict %s, recorded is %s", e.Index, verdict, e.Verdict)
		}
	case Finish:
		core.Accepted()
		core.Finished(e.Generation, e.Total)
	case Lost:
		r.lost(e, core)
	case Outcome:
		if !core.End(delivery.Outcome(e.Outcome)) {
			r.differ(e, "the request had outcome %s already", core.Outcome())
		}
	}
}

func (r *replayer) lost(e *Event, core *delivery.Core) {
	loss, ok := lossOf(e.Loss)
	if !ok {
		r.differ(e, "unknown loss %q", e.Loss)
		return
	}
	if e.Step == StepName(delivery.Resume) {
		core.Accepted()
		core.Resumed()
		return
	}
	step, _ := core.Lost(loss, func() bool { return e.MayRetry })
	if StepName(step) != e.Step && step != delivery.Resume {
		r.differ(e, "step %s, recorded is %s", StepName(step), e.Step)
	}
}

func (r *replayer) differ(e *Event, format string, args ...any) {
	r.found = append(r.found, Violation{line: e.line, promise: SameDecision, detail: fmt.Sprintf(format, args...)})
}
