package entry

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/delivery"
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

// recorder is a response recorder that accepts write deadlines.
type recorder struct{ *httptest.ResponseRecorder }

func (recorder) SetWriteDeadline(time.Time) error { return nil }

// TestAnswerThatCannotBeEncoded guards against an answer whose text is no valid JSON reaching
// its caller as a complete answer without a body.
func TestAnswerThatCannotBeEncoded(t *testing.T) {
	for text, want := range map[string]int{`a`: http.StatusOK, `a\q`: http.StatusBadGateway, "a\x01": http.StatusBadGateway} {
		w := recorder{httptest.NewRecorder()}
		g := &generation{
			exchange:   &exchange{core: delivery.New(delivery.Policy{Buffered: true}), class: &declaration.Class{}},
			sink:       &bufferedSink{w: w, memory: &answerMemory{limit: 100}, maxBytes: 100, headers: func(http.Header) {}},
			finalEvent: []byte(`{"choices":[{"finish_reason":"stop"}]}`),
		}
		g.core.Begin()
		g.core.Sent()
		require.NoError(t, g.sink.token(nil, []byte(text)))
		outcome := g.complete()
		require.Equal(t, want, w.Code, text)
		require.Equal(t, string(outcome), w.Header().Get(headerOutcome), text)
		require.Equal(t, want == http.StatusOK, outcome == delivery.Complete, text)
		require.True(t, json.Valid(w.Body.Bytes()), text)
	}
}
