package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// soundBudget is a request's time in milliseconds. Its answers take more than half of it, and are then not to be cut off.
	soundBudget = "6000"
	soundEvents = 24
	eventPause  = 160 * time.Millisecond
)

// newSlowEngine returns an engine that sends the events of a stream with pauses, and falls silent for a time after the
// fifth.
func newSlowEngine(t *testing.T, id string, silence time.Duration) *standin {
	t.Helper()
	return newRawStandin(t, id, func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testID, request.Header.Get(testID))
		for n := 1; n <= soundEvents; n++ {
			time.Sleep(eventPause)
			if n == 5 {
				time.Sleep(silence)
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(plannedEvent(n)), plannedEvent(n)); err != nil {
				return
			}
		}
		_, _ = conn.Write([]byte("0\r\n\r\n")) // a failure shows in the caller's answer
	})
}

// TestSoundStreamIsNotCutAtHalfOfItsTime guards against a stream of a resumable route that is taken from its engine at
// half of the request's time, in the middle of its events, and cut off where no other engine could go on with it.
func TestSoundStreamIsNotCutAtHalfOfItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		engines int
		silence time.Duration
	}{"only engine": {1, 0}, "two engines": {2, 0}, "only engine, silent for a moment": {1, 1200 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets := []*standin{newSlowEngine(t, "target-0", c.silence)}
			for i := 1; i < c.engines; i++ {
				targets = append(targets, newSlowEngine(t, fmt.Sprint("target-", i), c.silence))
			}
			r := newContinued(t, targets...)
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: soundBudget})
			require.NoError(t, got.err)
			require.Equal(t, plannedEvents(1, soundEvents), got.body)
			require.Equal(t, 1, targets[0].requestCount())
			for _, other := range targets[1:] {
				require.Zero(t, other.requestCount(), "the stream was taken from a sound engine")
			}
		})
	}
}

// TestSlowAnswerIsAwaitedWithoutAnotherTarget guards against an idempotent request that is taken at half of its time from
// the only target that could answer it, and against an answer that is cut off then though its caller has a part of it.
func TestSlowAnswerIsAwaitedWithoutAnotherTarget(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, c := range map[string]struct {
		targets       int
		before, after time.Duration // pauses before the head and in the middle of the body
		body          string
	}{
		"only target":                     {1, 3800 * time.Millisecond, 0, "answer"},
		"long answer that has been begun": {2, 0, 3800 * time.Millisecond, long},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := func(conn net.Conn, request *http.Request) {
				time.Sleep(c.before)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", testID, request.Header.Get(testID), len(c.body), c.body[:len(c.body)/2])
				time.Sleep(c.after)
				_, _ = conn.Write([]byte(c.body[len(c.body)/2:])) // a failure shows in the caller's answer
			}
			var targets []*standin
			for i := range c.targets {
				targets = append(targets, newRawStandin(t, fmt.Sprint("target-", i), answer))
			}
			r := newRig(t, configuration(1, route.Idempotent, 2, handoverTimeout), targets...)
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: soundBudget})
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, c.body, got.body)
		})
	}
}

// TestStreamGoesOnAfterEngineHasStopped guards against a stream that another engine begins while the one before, silent
// for a moment, still works on it.
func TestStreamGoesOnAfterEngineHasStopped(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	r := newContinued(t, first, second)
	r.engines.runs = named
	var stopped atomic.Bool
	r.engines.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
		time.Sleep(time.Second)
		stopped.Store(true)
		return vanillaward.MoveResult{Handle: "handle"}, vanillaward.ErrNotCopied
	}
	var early atomic.Bool
	second.begins = func() { early.Store(!stopped.Load()) }
	got := r.sendPatiently(t, "request-1")
	require.NoError(t, got.err)
	require.Equal(t, fiveEvents, got.body)
	require.False(t, early.Load(), "the second engine began before the first had stopped")
}
