package engineapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventLine bounds one line of an engine's stream.
const maxEventLine = 1 << 20

// Event is one server-sent event of an engine. Its bytes are valid until
// the next read.
type Event struct {
	own   bool
	index int
	data  []byte
	done  bool
}

// Own reports whether the event belongs to the expected generation.
func (e Event) Own() bool { return e.own }

// Index returns the number of the event in its generation, -1 without one.
func (e Event) Index() int { return e.index }

// Data returns the bytes of the event.
func (e Event) Data() []byte { return e.data }

// Done reports whether this is the closing "[DONE]".
func (e Event) Done() bool { return e.done }

// Stream reads the server-sent events of one generation. Their id is
// "generation:index".
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	prefix []byte // "generation:"
	long   []byte
}

// NewStream returns the reader of a generation's stream.
func NewStream(body io.ReadCloser, generation string) *Stream {
	return &Stream{body: body, reader: bufio.NewReader(body), prefix: []byte(generation + ":")}
}

// DoneData is the data of a stream's closing event.
var DoneData = []byte("[DONE]")

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Next returns the next event. Fields other than id and data are skipped, and so
// are comments.
func (s *Stream) Next() (Event, error) {
	event := Event{index: -1}
	for {
		line, err := s.line()
		if err != nil {
			return event, err
		}
		switch {
		case len(line) == 0:
			if event.data != nil {
				return event, nil
			}
		case bytes.HasPrefix(line, fieldID):
			event.own, event.index = s.parseID(bytes.TrimLeft(line[len(fieldID):], " "))
		case bytes.HasPrefix(line, fieldData):
			event.data = bytes.TrimLeft(line[len(fieldData):], " ")
			event.done = bytes.Equal(event.data, DoneData)
			// The engines send one data line an event, so the event ends here;
			// its blank line is skipped before the next one.
			return event, nil
		}
	}
}

// line returns a line without its end.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(s.long) > maxEventLine {
				return nil, errors.New("line of an engine's stream is over the bound")
			}
			line, err = s.reader.ReadSlice('\n')
			s.long = append(s.long, line...)
		}
		line = s.long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) parseID(id []byte) (bool, int) {
	rest, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return false, -1
	}
	index, err := strconv.Atoi(string(rest))
	return err == nil, index
}

// Buffered reports whether more was received already.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 1 }

// Close gives up what was not read.
func (s *Stream) Close() { _ = s.body.Close() } // nothing is left to read

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

// FinalEvent is what is read of a generation's last event.
type FinalEvent struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// RawText returns the token's text as it stands in the JSON, still escaped.
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

// decodedText handles events whose JSON is spaced otherwise.
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
		return nil // strings always encode
	}
	return quoted[1 : len(quoted)-1]
}
