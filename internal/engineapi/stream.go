package engineapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventLineBytes is the largest length of a line of an engine's stream in bytes.
const maxEventLineBytes = 1 << 20

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
	body     io.ReadCloser
	reader   *bufio.Reader
	prefix   []byte // "generation:"
	longLine []byte // line that is longer than the reader's buffer
}

// NewStream returns a Stream that reads the events of the given generation from body.
func NewStream(body io.ReadCloser, generation string) *Stream {
	return &Stream{body: body, reader: bufio.NewReader(body), prefix: []byte(generation + ":")}
}

// DoneData is the data of a stream's final event.
var DoneData = []byte("[DONE]")

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Next returns the next event. It skips comments and fields other than id and data.
// The error is io.EOF at the end of the body, even within a line, or describes a line
// that is too long or a failed read.
func (s *Stream) Next() (Event, error) {
	event := Event{index: -1}
	for {
		line, err := s.readLine()
		if err != nil {
			return event, err
		}
		switch {
		case len(line) == 0:
			if event.data != nil {
				return event, nil
			}
		case bytes.HasPrefix(line, fieldID):
			event.matchesGeneration, event.index = s.parseID(bytes.TrimLeft(line[len(fieldID):], " "))
		case bytes.HasPrefix(line, fieldData):
			event.data = bytes.TrimLeft(line[len(fieldData):], " ")
			event.done = bytes.Equal(event.data, DoneData)
			// Engines send one data line per event, so the event ends here. The
			// blank line after it is skipped by the next call.
			return event, nil
		}
	}
}

// readLine returns the next line without its terminator.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(s.longLine) > maxEventLineBytes {
				return nil, errors.New("line of an engine's event stream exceeds the length limit")
			}
			line, err = s.reader.ReadSlice('\n')
			s.longLine = append(s.longLine, line...)
		}
		line = s.longLine
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// parseID reports whether an id belongs to the expected generation, and its index.
func (s *Stream) parseID(id []byte) (bool, int) {
	rest, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return false, -1
	}
	index, err := strconv.Atoi(string(rest))
	return err == nil, index
}

// Buffered reports whether data beyond the blank line of the last event is already
// buffered.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 1 }

// Close closes the body and discards unread data.
func (s *Stream) Close() { _ = s.body.Close() } // unread data is not needed

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
