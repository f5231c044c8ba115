package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/engineapi"
)

// errAnswerTooLong ends an answer that is over the bound of held answers.
var errAnswerTooLong = errors.New("answer is over the bound of held answers")

// boundWrite gives the caller this long to read what is written next. A timeout of
// 0 takes the bound away, so that it does not hit a later request on the same
// connection.
func boundWrite(w http.ResponseWriter, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return http.NewResponseController(w).SetWriteDeadline(deadline)
}

// sink takes the tokens of one answer.
type sink interface {
	// token takes an event's data and the token's text as it stands in it.
	token(data, text []byte) error
	// flush sends what was taken, where the sink sends at all before the end.
	flush() error
	// restart discards what was not sent.
	restart()
	// finish ends a complete answer with the generation's last event.
	finish(final []byte) error
	// fail ends the answer with a problem.
	fail(p *problem)
}

// streamSink sends each token on as a server-sent event.
type streamSink struct {
	w       http.ResponseWriter
	out     *http.ResponseController
	timeout time.Duration
	started bool
	bounded time.Time // when the write deadline was last set
	headers func(http.Header)
}

const deadlineRefresh = time.Second

func newStreamSink(w http.ResponseWriter, timeout time.Duration, headers func(http.Header)) *streamSink {
	return &streamSink{w: w, out: http.NewResponseController(w), timeout: timeout, headers: headers}
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	s.headers(h)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", headerOutcome)
	s.w.WriteHeader(http.StatusOK)
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
)

func (s *streamSink) token(data, _ []byte) error {
	s.start()
	if now := time.Now(); now.Sub(s.bounded) > deadlineRefresh {
		s.bounded = now
		if err := boundWrite(s.w, s.timeout); err != nil {
			return err
		}
	}
	_, err := s.w.Write(eventStart)
	if err == nil {
		_, err = s.w.Write(data)
	}
	if err == nil {
		_, err = s.w.Write(eventEnd)
	}
	return err
}

func (s *streamSink) flush() error { return s.out.Flush() }

func (s *streamSink) restart() {}

func (s *streamSink) finish(final []byte) error {
	if err := s.token(final, nil); err != nil {
		return err
	}
	s.w.Header().Set(headerOutcome, string(delivery.Complete))
	if err := s.token(engineapi.DoneData, nil); err != nil {
		return err
	}
	return s.flush()
}

func (s *streamSink) fail(p *problem) {
	if !s.started {
		s.headers(s.w.Header())
		p.write(s.w)
		return
	}
	s.w.Header().Set(headerOutcome, string(p.outcome))
	if s.token(p.body(), nil) == nil {
		_ = s.flush() // the caller may be gone
	}
}

// heldMemory counts the bytes of all answers that are held until they are whole.
type heldMemory struct {
	used  atomic.Int64
	limit int64
}

func (m *heldMemory) full() bool { return m.used.Load() >= m.limit }

// heldSink keeps an answer until it is complete. A caller that asked for a
// stream gets all events at once; others get one JSON object.
type heldSink struct {
	w       http.ResponseWriter
	memory  *heldMemory
	maximum int
	stream  bool
	chat    bool
	buffer  []byte
	counted int64
	headers func(http.Header)
	timeout time.Duration // for writing the answer
}

func (s *heldSink) token(data, text []byte) error {
	if s.stream {
		s.buffer = append(append(append(s.buffer, eventStart...), data...), eventEnd...)
	} else {
		s.buffer = append(s.buffer, text...)
	}
	s.count()
	if len(s.buffer) > s.maximum {
		return errAnswerTooLong
	}
	return nil
}

// count keeps the shared counter equal to the buffer's memory.
func (s *heldSink) count() {
	if grown := int64(cap(s.buffer)) - s.counted; grown != 0 {
		s.memory.used.Add(grown)
		s.counted += grown
	}
}

func (s *heldSink) release() {
	s.buffer = nil
	s.count()
}

func (s *heldSink) flush() error { return nil }

func (s *heldSink) restart() { s.buffer = s.buffer[:0] }

func (s *heldSink) finish(final []byte) error {
	defer s.release()
	if err := boundWrite(s.w, s.timeout); err != nil {
		return err
	}
	s.headers(s.w.Header())
	s.w.Header().Set(headerOutcome, string(delivery.Complete))
	if s.stream {
		s.w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range [][]byte{s.buffer, eventStart, final, eventEnd, eventStart, engineapi.DoneData, eventEnd} {
			if _, err := s.w.Write(part); err != nil {
				return err
			}
		}
		return nil
	}
	body, err := s.object(final)
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = s.w.Write(body)
	return err
}

func (s *heldSink) fail(p *problem) {
	s.release()
	s.headers(s.w.Header())
	p.write(s.w)
}

// completion is the object that answers a request without a stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Text         json.RawMessage `json:"text,omitempty"`
	Message      *chatMessage    `json:"message,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (s *heldSink) object(final []byte) ([]byte, error) {
	var last engineapi.FinalEvent
	if err := json.Unmarshal(final, &last); err != nil {
		return nil, errors.Wrap(err, "last event of the engine")
	}
	text := make(json.RawMessage, 0, len(s.buffer)+2)
	text = append(append(append(text, '"'), s.buffer...), '"')
	choice := completionChoice{Text: text, FinishReason: last.Choices[0].FinishReason}
	object := "text_completion"
	if s.chat {
		choice.Text, choice.Message = nil, &chatMessage{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	return json.Marshal(completion{
		ID: last.ID, Object: object, Created: last.Created, Model: last.Model,
		Choices: []completionChoice{choice}, Usage: last.Usage,
	})
}
