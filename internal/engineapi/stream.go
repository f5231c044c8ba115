package engineapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/vanillaward/vanillaward/internal/sse"
)

// Event is one server-sent event of an engine. Its data is valid until the next call
// of Stream.Next.
type Event struct {
	matchesGeneration bool
	index             int
	data              []byte
	done              bool
}

// MatchesGeneration reports whether the event belongs to the expected generation.
func (e Event) MatchesGeneration() bool { return e.matchesGeneration }

// Index returns the index of the event in its generation, or -1 if it has none.
func (e Event) Index() int { return e.index }

// Data returns the data field of the event.
func (e Event) Data() []byte { return e.data }

// Done reports whether this is the final "[DONE]" event of the stream.
func (e Event) Done() bool { return e.done }

// Stream reads the server-sent events of one generation. Their ids have the form
// "generation:index".
type Stream struct {
	body   io.ReadCloser
	reader *sse.Reader
	prefix []byte // "generation:"
	joined []byte // data of an event that has several data lines
}

// NewStream returns a Stream that reads the events of the given generation from body.
func NewStream(body io.ReadCloser, generation string, options ...sse.Option) *Stream {
	return &Stream{body: body, reader: sse.NewReader(body, options...), prefix: []byte(generation + ":")}
}

// DoneData is the data of a stream's final event.
var DoneData = []byte("[DONE]")

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Next returns the next event that has data. It skips comments and fields other than id and
// data. The errors are those of sse.Reader; an event without its end is not returned.
func (s *Stream) Next() (Event, error) {
	for {
		raw, err := s.reader.Next()
		if err != nil {
			return Event{index: -1}, err
		}
		if event := s.parse(raw); event.data != nil {
			return event, nil
		}
	}
}

// parse returns the fields of an event. Its data is nil if there is none.
func (s *Stream) parse(raw []byte) Event {
	event := Event{index: -1}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			event.matchesGeneration, event.index = s.parseID(bytes.TrimLeft(value, " "))
		}
		if value, ok := bytes.CutPrefix(line, fieldData); ok {
			event.data = s.join(event.data, bytes.TrimLeft(value, " "))
		}
	}
	event.done = bytes.Equal(event.data, DoneData)
	return event
}

// join returns an event's data with one more line.
func (s *Stream) join(data, line []byte) []byte {
	if data == nil {
		return line
	}
	s.joined = append(append(append(s.joined[:0], data...), '\n'), line...)
	return s.joined
}

// parseID reports whether an id belongs to the expected generation, and its index.
func (s *Stream) parseID(id []byte) (bool, int) {
	rest, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return false, -1
	}
	index, err := strconv.Atoi(string(rest))
	if err != nil || index < 0 {
		return false, -1
	}
	return true, index
}

// Buffered reports whether the next event has already been received completely.
func (s *Stream) Buffered() bool { return s.reader.Buffered() }

// Close closes the body and discards unread data.
func (s *Stream) Close() {
	s.reader.Close()
	_ = s.body.Close() // unread data is not needed
}

var (
	notFinished  = []byte(`"finish_reason":null`)
	textField    = []byte(`"text":"`)
	contentField = []byte(`"content":"`)
)

// IsFinal reports whether the event ends the generation.
func IsFinal(data []byte) bool {
	if bytes.Contains(data, notFinished) {
		return false
	}
	var e FinalEvent
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return false
	}
	return e.Choices[0].FinishReason != ""
}

// FinalEvent holds the fields that are read from a generation's last event.
type FinalEvent struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// RawText returns the token's text as a JSON string without quotation marks, still
// escaped. It returns nil if the event has none.
func RawText(data []byte, chat bool) []byte {
	field := textField
	if chat {
		field = contentField
	}
	at := bytes.Index(data, field)
	if at < 0 {
		return decodedText(data, chat)
	}
	text := data[at+len(field):]
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return text[:i]
		}
	}
	return nil
}

// decodedText returns the token's text by decoding the JSON, for events in which
// whitespace separates the field's name from its value.
func decodedText(data []byte, chat bool) []byte {
	var e struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return nil
	}
	text := e.Choices[0].Text
	if chat {
		text = e.Choices[0].Delta.Content
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return nil // cannot happen: encoding a string does not fail
	}
	return quoted[1 : len(quoted)-1]
}
