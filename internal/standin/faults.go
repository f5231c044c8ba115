package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the switchable faults of a target.
type Faults struct {
	// Dead aborts every connection and refuses new ones.
	Dead bool `json:"dead,omitempty"`
	// Frozen stops all progress and keeps connections open.
	Frozen bool `json:"frozen,omitempty"`
	// Refuse answers new requests with 503, which means "not executed".
	Refuse bool `json:"refuse,omitempty"`
	// Leaving announces the end in load reports and refuses new requests.
	Leaving bool `json:"leaving,omitempty"`
	// StallAfter stalls the next stream's link once it has sent this many
	// tokens; the engine goes on. 0 stalls none.
	StallAfter int `json:"stall-after,omitempty"`
	// AbortAfter aborts the next stream's connection after this many tokens.
	AbortAfter int `json:"abort-after,omitempty"`
	// Crossed mixes tokens of another generation into every stream.
	Crossed bool `json:"crossed,omitempty"`
	// Nondeterministic makes a second run of a request differ from the first.
	Nondeterministic bool `json:"nondeterministic,omitempty"`
	// LateMillis delays the answers of a plain service.
	LateMillis int `json:"late-millis,omitempty"`
	// ResetAfterRun makes a plain service run requests and then abort the
	// connection without an answer.
	ResetAfterRun bool `json:"reset-after-run,omitempty"`
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if e.state.Leaving != f.Leaving {
		e.state.Leaving = f.Leaving
		e.state.reported = time.Time{}
	}
	if f.Dead {
		for id, g := range e.generations {
			e.core.Cancel(id)
			g.wake()
			delete(e.generations, id)
		}
	}
}

// Asked returns how many requests for a generation arrived.
func (e *Engine) Asked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

// Version returns the version of the model that is loaded.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.ModelVersion
}

// Written returns how many tokens the open generations have.
func (e *Engine) Written() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, g := range e.generations {
		if !g.done {
			n += g.written
		}
	}
	return n
}

// Open returns how many generations the engine holds.
func (e *Engine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, g := range e.generations {
		if !g.done {
			n++
		}
	}
	return n
}

func (e *Engine) dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead
}

// stalls holds a link that is due to stall until its reader leaves, and reports
// whether a link is due to be aborted.
func (e *Engine) stalls(ctx context.Context, sent int) bool {
	e.mu.Lock()
	abort := e.faults.AbortAfter > 0 && sent >= e.faults.AbortAfter
	if abort {
		e.faults.AbortAfter = 0
	}
	stall := e.faults.StallAfter > 0 && sent >= e.faults.StallAfter
	if stall {
		e.faults.StallAfter = 0
	}
	e.mu.Unlock()
	if stall {
		<-ctx.Done()
	}
	return abort || stall
}

func (e *Engine) crosses(index int) bool {
	const each = 5
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Crossed && index%each == each-1
}

// refuse writes a problem in the OpenAI error shape.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, err := json.Marshal(map[string]map[string]string{"error": {"code": code, "message": code, "type": "stand-in"}})
	if err == nil {
		_, _ = w.Write(body) // the reader may be gone
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may be gone
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
