package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a Writer.
const (
	// maxQueuedLines is the number of lines that may be queued for writing.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines bound the volume of the log.
	linesPerSecond = 400
	burstLines     = 1200
	// closeTimeout bounds writing the queued lines at Close.
	closeTimeout = 300 * time.Millisecond
)

// Writer writes lines without blocking its caller. Lines beyond its bounds
// are dropped and counted; the count is written with the next line, or at the end.
type Writer struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64 // lines dropped and not yet reported in the log
	total   atomic.Int64 // lines dropped since the start
	done    chan struct{}

	mu     sync.RWMutex // guards closed and the sending to lines
	closed bool
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed || !w.limit.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.reportDropped()
		_, _ = w.out.Write(line) // the error cannot be reported anywhere
	}
	w.reportDropped()
}

// reportDropped writes how many lines were dropped since the last report, if any were.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":0,\"msg\":\"log lines dropped\",\"lines\":%d}\n", n) // the error cannot be reported anywhere
	}
}

// Close writes the queued lines, for at most closeTimeout. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
