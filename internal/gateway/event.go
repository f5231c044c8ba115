package gateway

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// errLongEvent is returned for an event of more than maxEvent bytes.
var errLongEvent = errors.New("event exceeds the size limit")

// readEvent reads up to and including the empty line that ends an event. At the
// end of the stream it returns io.EOF with the remaining bytes, and for an event of more
// than maxEvent bytes errLongEvent.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEvent:
			return nil, errLongEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventBuffered reports whether another complete event has already been received, so that
// both can be sent together. A partial event does not count.
func eventBuffered(r *bufio.Reader) bool {
	received, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n")))
}

// eventNumber returns the number in the field id of an event. It reports false if the event
// has no such field or the field is not a number.
func eventNumber(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
