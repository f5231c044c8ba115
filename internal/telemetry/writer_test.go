package telemetry_test

import (
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/telemetry"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex // guards text
	text    strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// TestDropsAfterLastLine guards against dropped lines that no line reports, since none followed.
func TestDropsAfterLastLine(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := telemetry.NewWriter(out)
	const lines = 5000 // more than the limit admits at once
	for range lines {
		_, _ = io.WriteString(w, "line\n")
		runtime.Gosched() // lets the line be written before the next one is dropped
	}
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written, reported := 0, int64(0)
	for line := range strings.Lines(out.text.String()) {
		if line == "line\n" {
			written++
			continue
		}
		var report struct {
			Lines int64 `json:"lines"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &report))
		reported += report.Lines
	}
	require.Positive(t, reported)
	require.EqualValues(t, lines, int64(written)+reported)
}

// TestWriterNeverBlocks checks that an output that blocks causes dropped lines but does
// not delay the caller, and that the number of dropped lines is logged with the next line.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := telemetry.NewWriter(out)
	written := make(chan struct{})
	go func() {
		for range 5000 {
			_, _ = io.WriteString(w, "line\n")
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked on a blocked output")
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Contains(t, out.text.String(), "log lines dropped")
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
}
