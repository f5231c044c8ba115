package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	statedLeaving = testLeaving + ": 1\r\n"
	// refusedHead is the beginning of a refusal by a target that closes the connection then.
	refusedHead = "HTTP/1.1 503 X\r\nConnection: close\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n"
)

// TestLeavingStatedInAnyAnswer guards against requests to a target that has stated, in whatever
// kind of answer, that it is leaving.
func TestLeavingStatedInAnyAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		kind   route.Kind
		answer string
	}{
		"complete answer":              {route.Once, "HTTP/1.1 200 X\r\n" + statedLeaving + "Content-Length: 2\r\n\r\nok"},
		"answer without a length":      {route.Once, "HTTP/1.1 200 X\r\n" + statedLeaving + "\r\nok"},
		"error":                        {route.Once, "HTTP/1.1 500 X\r\n" + statedLeaving + "Content-Length: 0\r\n\r\n"},
		"refusal":                      {route.Once, refusedHead + statedLeaving + "\r\n"},
		"truncated answer":             {route.Once, "HTTP/1.1 200 X\r\n" + statedLeaving + "Content-Length: 9\r\n\r\nok"},
		"interim answer, then nothing": {route.Once, "HTTP/1.1 103 X\r\n" + statedLeaving + "\r\n"},
		"answer to another request":    {route.Once, "HTTP/1.1 200 X\r\n" + testID + ": other\r\n" + statedLeaving + "Content-Length: 2\r\n\r\nok"},
		"stream":                       {route.Stream, "HTTP/1.1 200 X\r\n" + statedLeaving + "\r\n" + fiveEvents},
		"stream cut before its events": {route.Stream, "HTTP/1.1 200 X\r\n" + statedLeaving + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaving := newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte(c.answer)) })
			other := newRawStandin(t, "target-1", func(conn net.Conn, _ *http.Request) {
				// Without a length, since it closes the connection, which must not be used again.
				_, _ = conn.Write([]byte("HTTP/1.1 200 X\r\n\r\n" + fiveEvents))
			})
			config := configuration(1, c.kind, 1, 3*time.Second)
			config.Services[0].ContinuousCopies, config.Services[0].Moves = false, false
			r := newRig(t, config, leaving, other)
			for range 4 {
				_ = r.send(t, http.MethodPost, "/r/x", "", nil)
			}
			require.Equal(t, 1, leaving.requestCount())
			require.Equal(t, 3, other.requestCount())
		})
	}
}

// TestLeavingStatedByRunningStream guards against the statement being read only once the stream
// has ended.
func TestLeavingStatedByRunningStream(t *testing.T) {
	held := make(chan struct{})
	leaving := newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 X\r\n" + statedLeaving + "\r\n"))
		<-held
		_, _ = conn.Write([]byte(fiveEvents))
	})
	other := newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), leaving, other)
	running := make(chan reply, 1)
	go func() { running <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
	require.Eventually(t, func() bool {
		uses := r.gateway.LocalUses()
		return len(uses) > 0 && uses[0].GetSuspectedMs() > 0
	}, 20*time.Second, time.Millisecond)
	require.Equal(t, fiveEvents, r.send(t, http.MethodPost, "/r/x", "", nil).body)
	require.Equal(t, 1, leaving.requestCount())
	close(held)
	require.Equal(t, fiveEvents, (<-running).body, "what runs there ends there")
}

// TestAskedToWait guards against requests to a target that refused one and asked to get none for
// a time, and against callers that are not told when to come back.
func TestAskedToWait(t *testing.T) {
	asks := func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(refusedHead + testWait + ": 20000\r\n\r\n"))
	}
	t.Run("another target serves", func(t *testing.T) {
		waiting, other := newRawStandin(t, "target-0", asks), newStandin(t, "target-1", "complete")
		r := newRig(t, configuration(1, route.Once, 2, 3*time.Second), waiting, other)
		for i := range 6 {
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: fmt.Sprint("request-", i)})
			require.Equal(t, completeBody, got.body)
		}
		require.Equal(t, 1, waiting.requestCount())
	})
	t.Run("no target is left", func(t *testing.T) {
		waiting := newRawStandin(t, "target-0", asks)
		r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), waiting)
		for range 6 {
			got := r.send(t, http.MethodPost, "/r/x", "", nil)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, "targets-wait", strings.TrimSpace(got.body))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Greater(t, after, 1.0, "the time that the target asked for, not a fixed one")
			require.LessOrEqual(t, after, 20.0)
		}
		require.Equal(t, 2, waiting.requestCount(), "the first request and one probe")
	})
	t.Run("times are bounded", func(t *testing.T) {
		waiting := newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Write([]byte(refusedHead + testWait + ": 999999999\r\n\r\n"))
		})
		r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), waiting)
		got := r.send(t, http.MethodPost, "/r/x", "", nil)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, 60.0)
	})
}
