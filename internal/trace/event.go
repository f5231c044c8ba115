// Package trace records events of requests, replays recorded traces through the
// decision cores and checks them against the system's promises.
//
// A trace is a file of JSON lines, one event each. Running instances write the
// same format as tests.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// Arrive is the arrival of a caller's request at an instance.
	Arrive Kind = "arrive"
	// Begin is the start of a run at a target.
	Begin Kind = "begin"
	// Token is a token that was received from a target, with the verdict on it.
	Token Kind = "token"
	// Deliver is a token that was passed to the caller.
	Deliver Kind = "deliver"
	// Finish is the end of a run after its last token.
	Finish Kind = "finish"
	// Lost is a run that ended early, with the step that followed.
	Lost Kind = "lost"
	// Execute is a run of a non-idempotent request, as counted by its target.
	Execute Kind = "execute"
	// Outcome is the final answer to the caller.
	Outcome Kind = "outcome"
	// Leave is the time at which a target begins to leave.
	Leave Kind = "leave"
	// Stop is the beginning of a planned stop of an instance, or its end if the note
	// is "end".
	Stop Kind = "stop"
	// Accepted is a configuration version that was committed.
	Accepted Kind = "accepted"
	// InForce is a configuration version that takes effect at an instance.
	InForce Kind = "in-force"
)

// Event is one line of a trace. AtMillis is the time in milliseconds since the
// recorder was created. Whole is true if the answer is buffered until it is complete.
type Event struct {
	AtMillis   int64  `json:"at-ms"`
	Kind       Kind   `json:"event"`
	Instance   string `json:"instance,omitempty"`
	Request    string `json:"request,omitempty"`
	Target     string `json:"target,omitempty"`
	Generation int    `json:"generation,omitempty"`
	Index      int    `json:"index,omitempty"`
	Text       string `json:"text,omitempty"`
	Total      int    `json:"total,omitempty"`
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Whole      bool   `json:"whole,omitempty"`
	Verdict    string `json:"verdict,omitempty"`
	Loss       string `json:"loss,omitempty"`
	MayRetry   bool   `json:"may-retry,omitempty"`
	Step       string `json:"step,omitempty"`
	Outcome    string `json:"outcome,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Note       string `json:"note,omitempty"`

	line int
}

// Line returns the 1-based line of the event in its file.
func (e *Event) Line() int { return e.line }

// maxLineBytes is the largest length of a line of a trace in bytes.
const maxLineBytes = 1 << 20

// Read reads a trace. Empty lines and lines that start with # are skipped. The error
// for a malformed event contains the line number; other errors are those of reading,
// or of a line that is too long.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 || text[0] == '#' {
			continue
		}
		e := Event{line: n}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&e); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		e.line = n
		out = append(out, e)
	}
	return out, errors.Wrap(lines.Err(), "trace")
}

// Recorder writes the events of a running instance. A nil Recorder writes nothing.
// It is safe for concurrent use.
type Recorder struct {
	instance string
	start    time.Time

	mu sync.Mutex // guards w
	w  *json.Encoder
}

// NewRecorder returns a recorder for the named instance.
func NewRecorder(w io.Writer, instance string) *Recorder {
	return &Recorder{instance: instance, start: time.Now(), w: json.NewEncoder(w)}
}

// Record writes an event with the instance's name and the time since the recorder was
// created. Write errors are ignored.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Instance = r.instance
	e.AtMillis = time.Since(r.start).Milliseconds()
	_ = r.w.Encode(e) // a full disk must not stop requests
}
