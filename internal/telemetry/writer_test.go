package telemetry_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/telemetry"
)

// stuck is a reader of logs that does not read.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex // guards text
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// TestWriterNeverBlocks: a reader that stops reading costs lines, not time, and the
// number of lost lines is told with the next one.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
		t.Fatal("a line waited for its reader")
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
