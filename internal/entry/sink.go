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

// errInvalidAnswer ends an answer whose text is no valid JSON string.
var errInvalidAnswer = errors.New("the engine's answer cannot be encoded")

// errAnswerTooLong ends an answer that exceeds the size limit of buffered answers.
var errAnswerTooLong = errors.New("answer is over the bound of held answers")

// setWriteTimeout bounds how long the caller may take to read what is written next.
// A timeout of 0 removes the deadline, so that it does not affect a later request on
// the same connection.
func setWriteTimeout(w http.ResponseWriter, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return http.NewResponseController(w).SetWriteDeadline(deadline)
}

// sink receives the tokens of one answer.
type sink interface {
	// token receives an event's data and the token's text as escaped in the data.
	token(data, text []byte) error
	// flush sends the received tokens, unless the sink sends only complete answers.
	flush() error
	// restart discards what has not been sent.
	restart()
	// finish ends a complete answer with the generation's last event.
	finish(final []byte) error
	// fail ends the answer with a problem.
	fail(p *problem)
}

// streamSink forwards each token as a server-sent event.
type streamSink struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	timeout       time.Duration
	started       bool
	deadlineSetAt time.Time // when the write deadline was last set
	headers       func(http.Header)
}

// deadlineRefresh is the interval after which the write deadline is set again.
const deadlineRefresh = time.Second

func newStreamSink(w http.ResponseWriter, timeout time.Duration, headers func(http.Header)) *streamSink {
	return &streamSink{w: w, controller: http.NewResponseController(w), timeout: timeout, headers: headers}
}

func (s *streamSink) writeHeader() {
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
	s.writeHeader()
	if now := time.Now(); now.Sub(s.deadlineSetAt) > deadlineRefresh {
		s.deadlineSetAt = now
		if err := setWriteTimeout(s.w, s.timeout); err != nil {
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

func (s *streamSink) flush() error { return s.controller.Flush() }

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
		_ = s.flush() // the caller may have disconnected
	}
}

// answerMemory counts the bytes of all answers that are buffered until complete.
type answerMemory struct {
	used  atomic.Int64 // in bytes
	limit int64        // in bytes
}

func (m *answerMemory) full() bool { return m.used.Load() >= m.limit }

// bufferedSink buffers an answer until it is complete. A caller that asked for a
// stream then receives all events at once; others receive one JSON object.
type bufferedSink struct {
	w            http.ResponseWriter
	memory       *answerMemory
	maxBytes     int // largest length of the buffer
	stream       bool
	chat         bool
	buffer       []byte
	countedBytes int64 // bytes of the buffer that memory includes
	headers      func(http.Header)
	timeout      time.Duration // for writing the answer
}

func (s *bufferedSink) token(data, text []byte) error {
	if s.stream {
		s.buffer = append(append(append(s.buffer, eventStart...), data...), eventEnd...)
	} else {
		s.buffer = append(s.buffer, text...)
	}
	s.updateMemory()
	if len(s.buffer) > s.maxBytes {
		return errAnswerTooLong
	}
	return nil
}

// updateMemory updates the shared counter to the buffer's current capacity.
func (s *bufferedSink) updateMemory() {
	if grown := int64(cap(s.buffer)) - s.countedBytes; grown != 0 {
		s.memory.used.Add(grown)
		s.countedBytes += grown
	}
}

func (s *bufferedSink) release() {
	s.buffer = nil
	s.updateMemory()
}

func (s *bufferedSink) flush() error { return nil }

func (s *bufferedSink) restart() { s.buffer = s.buffer[:0] }

func (s *bufferedSink) finish(final []byte) error {
	defer s.release()
	if s.stream {
		return s.finishStream(final)
	}
	return s.finishObject(final)
}

// writeHead sends the head of a complete answer.
func (s *bufferedSink) writeHead(contentType string) error {
	if err := setWriteTimeout(s.w, s.timeout); err != nil {
		return err
	}
	h := s.w.Header()
	s.headers(h)
	h.Set(headerOutcome, string(delivery.Complete))
	h.Set("Content-Type", contentType)
	return nil
}

func (s *bufferedSink) finishStream(final []byte) error {
	if err := s.writeHead("text/event-stream"); err != nil {
		return err
	}
	for _, part := range [][]byte{s.buffer, eventStart, final, eventEnd, eventStart, engineapi.DoneData, eventEnd} {
		if _, err := s.w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// finishObject sends the answer as one JSON object. It returns errInvalidAnswer, with nothing
// sent, if the answer cannot be encoded.
func (s *bufferedSink) finishObject(final []byte) error {
	body, err := s.encodeObject(final)
	if err != nil {
		return errors.Wrap(errInvalidAnswer, err.Error())
	}
	if err := s.writeHead("application/json"); err != nil {
		return err
	}
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = s.w.Write(body)
	return err
}

func (s *bufferedSink) fail(p *problem) {
	s.release()
	s.headers(s.w.Header())
	p.write(s.w)
}

// completion is the JSON object that answers a request without a stream.
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

func (s *bufferedSink) encodeObject(final []byte) ([]byte, error) {
	var last engineapi.FinalEvent
	if err := json.Unmarshal(final, &last); err != nil {
		return nil, errors.Wrap(err, "cannot decode the engine's last event")
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
