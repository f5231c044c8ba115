// Package sse reads streams of server-sent events (text/event-stream).
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/membudget"
)

const (
	// MaxEventBytes bounds one event in bytes.
	MaxEventBytes = 1 << 20
	// bufferBytes is the size of a Reader's buffer in bytes.
	bufferBytes = 4 << 10
)

// Errors of Reader.Next, beside those of the underlying reader.
var (
	// ErrUnfinished means that the stream ended inside an event.
	ErrUnfinished = errors.New("stream ended inside an event")
	// ErrTooLong means that an event has more than MaxEventBytes bytes.
	ErrTooLong = errors.New("event exceeds the size limit")
	// ErrNoMemory means that the budget lacks the memory for an event.
	ErrNoMemory = errors.New("no memory is left for a long event")
)

// Reader reads the events of one stream. It is not safe for concurrent use.
type Reader struct {
	reader *bufio.Reader
	event  []byte
	hold   *membudget.Hold // of the memory of event; nil without a budget
}

// Option configures a Reader.
type Option func(*Reader)

// WithBudget has the memory of long events drawn from a budget, until Close.
func WithBudget(b *membudget.Budget) Option { return func(r *Reader) { r.hold = b.Hold() } }

// NewReader returns a Reader of the stream in r.
func NewReader(r io.Reader, options ...Option) *Reader { return newReader(r, bufferBytes, options...) }

func newReader(r io.Reader, size int, options ...Option) *Reader {
	out := &Reader{reader: bufio.NewReaderSize(r, size)}
	for _, o := range options {
		o(out)
	}
	return out
}

// Close gives the memory of the reader back to its budget. Events that it returned are not valid any more.
func (r *Reader) Close() {
	r.event = nil
	r.hold.Release()
}

// add appends a part to the event that is being read. It reports false if the budget lacks the memory.
func (r *Reader) add(part []byte) bool {
	if need := len(r.event) + len(part); need > cap(r.event) {
		size := max(need, 2*cap(r.event))
		if !r.hold.Grow(size - cap(r.event)) {
			return false
		}
		r.event = append(make([]byte, 0, size), r.event...)
	}
	r.event = append(r.event, part...)
	return true
}

// Next returns the next event unchanged, up to and including the empty line that ends it. A
// comment or an empty line between events is returned as an event of its own. The bytes are
// valid until the next call. The error is io.EOF if the stream ends between two events, and
// ErrUnfinished if it ends anywhere else.
func (r *Reader) Next() ([]byte, error) {
	r.event = r.event[:0]
	lineStart := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		if !r.add(part) {
			return nil, ErrNoMemory
		}
		switch {
		case len(r.event) > MaxEventBytes:
			return nil, ErrTooLong
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the rest of a long line follows
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return nil, ErrUnfinished
		default:
			return nil, err
		}
		if len(bytes.TrimRight(r.event[lineStart:], "\r\n")) == 0 {
			return r.event, nil
		}
		lineStart = len(r.event)
	}
}

// Unfinished returns the number of bytes of the event that was being read when Next failed.
func (r *Reader) Unfinished() int { return len(r.event) }

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\n\r\n")
)

// Buffered reports whether the next event has already been received completely, so that
// Next returns it without waiting.
func (r *Reader) Buffered() bool {
	received, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && (bytes.Contains(received, eventEnd) || bytes.Contains(received, eventEndCRLF))
}
