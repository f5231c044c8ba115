package entry

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

// engineEvent is one server-sent event of an engine. Its bytes are valid until
// the next read.
type engineEvent struct {
	own   bool // belongs to the expected generation
	index int
	data  []byte
	done  bool // the closing "[DONE]"
}

// engineStream reads the server-sent events of one generation. Their id is
// "generation:index".
type engineStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	prefix []byte // "generation:"
	long   []byte
}

func newEngineStream(body io.ReadCloser, generation string) *engineStream {
	return &engineStream{body: body, reader: bufio.NewReader(body), prefix: []byte(generation + ":")}
}

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneData  = []byte("[DONE]")
)

// next returns the next event. Fields other than id and data are skipped, and so
// are comments.
func (s *engineStream) next() (engineEvent, error) {
	event := engineEvent{index: -1}
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
			event.done = bytes.Equal(event.data, doneData)
			// The engines send one data line an event, so the event ends here;
			// its blank line is skipped before the next one.
			return event, nil
		}
	}
}

// line returns a line without its end.
func (s *engineStream) line() ([]byte, error) {
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

func (s *engineStream) parseID(id []byte) (bool, int) {
	rest, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return false, -1
	}
	index, err := strconv.Atoi(string(rest))
	return err == nil, index
}

// buffered reports whether more was received already.
func (s *engineStream) buffered() bool { return s.reader.Buffered() > 1 }

func (s *engineStream) close() { _ = s.body.Close() } // nothing is left to read

var (
	notFinished  = []byte(`"finish_reason":null`)
	textField    = []byte(`"text":"`)
	contentField = []byte(`"content":"`)
)

// isFinal reports whether the event ends the generation.
func isFinal(data []byte) bool {
	if bytes.Contains(data, notFinished) {
		return false
	}
	var e finalEvent
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return false
	}
	return e.Choices[0].FinishReason != ""
}

// finalEvent is what is read of a generation's last event.
type finalEvent struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// rawText returns the token's text as it stands in the JSON, still escaped.
func rawText(data []byte, chat bool) []byte {
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
