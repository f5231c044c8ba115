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
	// Leaving announces the shutdown in load reports and refuses new requests.
	Leaving bool `json:"leaving,omitempty"`
	// StallAfter stalls the connection of the next stream that has sent this many
	// tokens; the engine continues to generate. 0 stalls none.
	StallAfter int `json:"stall-after,omitempty"`
	// AbortAfter aborts the connection of the next stream that has sent this many
	// tokens. 0 aborts none.
	AbortAfter int `json:"abort-after,omitempty"`
	// Crossed mixes tokens of another generation into every stream.
	Crossed bool `json:"crossed,omitempty"`
	// Nondeterministic makes a second run of a request differ from the first.
	Nondeterministic bool `json:"nondeterministic,omitempty"`
	// LateMillis delays the answers of a plain service by this many milliseconds.
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
		e.state.reportedAt = time.Time{}
	}
	if f.Dead {
		for id, g := range e.generations {
			e.core.Cancel(id)
			g.notifyReaders()
			delete(e.generations, id)
		}
	}
}

// Arrivals returns how many requests for a new generation arrived, including refused
// ones.
func (e *Engine) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// ModelVersion returns the version of the loaded model, or an empty string while a
// model is being loaded.
func (e *Engine) ModelVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.ModelVersion
}

// GeneratedTokens returns how many tokens have been generated for the open generations.
func (e *Engine) GeneratedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, g := range e.generations {
		if !g.done {
			n += g.generated
		}
	}
	return n
}

// OpenGenerations returns how many unfinished generations the engine has.
func (e *Engine) OpenGenerations() int {
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

// applyStreamFaults applies the faults StallAfter and AbortAfter to a stream that
// has sent this many tokens. A stall blocks until the reader disconnects. It
// reports whether the connection is to be aborted; a stalled one is aborted as
// well.
func (e *Engine) applyStreamFaults(ctx context.Context, sent int) bool {
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

// isCrossed reports whether a token of another generation is to be sent before the
// token at this index.
func (e *Engine) isCrossed(index int) bool {
	const period = 5
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Crossed && index%period == period-1
}

// writeError writes an error response in the OpenAI format.
func writeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, err := json.Marshal(map[string]map[string]string{"error": {"code": code, "message": code, "type": "stand-in"}})
	if err == nil {
		_, _ = w.Write(body) // the caller may have disconnected
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
