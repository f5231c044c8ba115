package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallerStopsReading checks that writing to a caller that does not read its
// answer fails, and that the memory buffered for it is released.
func TestCallerStopsReading(t *testing.T) {
	memory := &answerMemory{limit: 1 << 30}
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := &bufferedSink{w: w, memory: memory, maxBytes: 1 << 30, headers: func(http.Header) {}, timeout: 50 * time.Millisecond}
		chunk := []byte(strings.Repeat("x", 1<<20))
		for range 64 { // more than the buffers of both sides hold
			if err := s.token(nil, chunk); err != nil {
				ended <- err
				return
			}
		}
		ended <- s.finish([]byte(`{"choices":[{"finish_reason":"stop"}]}`))
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String()) //nolint:noctx // loopback
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.Error(t, <-ended)
	require.Zero(t, memory.used.Load())
}

// TestBufferedSinkLimit checks that an answer over the size limit is rejected, and
// that its memory is released.
func TestBufferedSinkLimit(t *testing.T) {
	memory := &answerMemory{limit: 100}
	s := &bufferedSink{w: httptest.NewRecorder(), memory: memory, maxBytes: 10, headers: func(http.Header) {}}
	require.NoError(t, s.token(nil, []byte("12345678")))
	require.Positive(t, memory.used.Load())
	require.ErrorIs(t, s.token(nil, []byte("12345678")), errAnswerTooLong)
	s.fail(&problem{status: 502, code: codeAnswerTooLong, outcome: "incomplete"})
	require.Zero(t, memory.used.Load())
}
