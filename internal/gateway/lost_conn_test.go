package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/route"
)

// afterReports answers the first n questions what an engine runs by before, and the others by after.
func afterReports(n int64, before, after func() (vanillaward.EngineRuns, error)) func() (vanillaward.EngineRuns, error) {
	var asked atomic.Int64
	return func() (vanillaward.EngineRuns, error) {
		if asked.Add(1) <= n {
			return before()
		}
		return after()
	}
}

func silent() (vanillaward.EngineRuns, error) {
	return vanillaward.EngineRuns{}, errors.New("time limit exceeded")
}

// TestRunIsEndedAfterLostConnection guards against a run that goes on at two engines: the connection to the
// first one was lost on the way, and the engine, which has not noticed that, works on.
func TestRunIsEndedAfterLostConnection(t *testing.T) {
	notRunning := func(vanillaward.Move) (vanillaward.MoveResult, error) {
		return vanillaward.MoveResult{}, vanillaward.ErrNotRunning
	}
	for name, c := range map[string]struct {
		runs   func() (vanillaward.EngineRuns, error)
		stop   func(vanillaward.Move) (vanillaward.MoveResult, error)
		asked  int    // the least number of questions before the run goes on
		handle string // with which the run goes on
	}{
		"it runs": {runs: named, asked: 1, handle: "first/handle"},
		"the engine drops it, and its report lags": {
			runs: afterReports(2, named, states(vanillaward.EngineRuns{})), stop: notRunning, asked: 3, handle: "second/request-1",
		},
		"others wait for a moment": {
			runs: afterReports(2, states(vanillaward.EngineRuns{Waiting: 1}), states(vanillaward.EngineRuns{})), asked: 3, handle: "second/request-1",
		},
		"the report is unreadable for a moment": {
			runs:  afterReports(1, func() (vanillaward.EngineRuns, error) { return vanillaward.EngineRuns{}, vanillaward.ErrUnreadable }, states(vanillaward.EngineRuns{})),
			asked: 2, handle: "second/request-1",
		},
		"the engine is silent for a moment": {runs: afterReports(1, silent, named), asked: 2, handle: "first/handle"},
		"the engine stays silent":           {runs: silent, asked: 2, handle: "second/request-1"},
		"the engine cannot be reached":      {asked: 1, handle: "second/request-1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newStandin(t, "target-0", "stream:2")
			var r *rig
			var asked atomic.Int64
			second := newStandin(t, "target-1", "stream:")
			second.begins = func() { asked.Store(int64(r.engines.askedCount())) }
			r = newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
			r.engines.runs, r.engines.stop = c.runs, c.stop
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
			require.NoError(t, got.err)
			require.Equal(t, fiveEvents, got.body)
			handles := map[string]string{"first/handle": first.address() + "/handle", "second/request-1": second.address() + "/request-1"}
			require.Equal(t, handles[c.handle], second.firstHeader().Get(testResume))
			require.GreaterOrEqual(t, asked.Load(), int64(c.asked), "the engine is asked before the run goes on")
		})
	}
}

// TestLostConnectionToWorkingEngine guards against an answer that looks complete, and against a second run,
// while the engine may work on the run until the caller's time is over.
func TestLostConnectionToWorkingEngine(t *testing.T) {
	for name, runs := range map[string]func() (vanillaward.EngineRuns, error){
		"it may wait": states(vanillaward.EngineRuns{Waiting: 1}),
		"the engine states nothing that can be read": func() (vanillaward.EngineRuns, error) {
			return vanillaward.EngineRuns{}, vanillaward.ErrUnreadable
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
			r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
			r.engines.runs = runs
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "2000"})
			require.Error(t, got.err, "the answer must not look complete")
			require.Zero(t, second.requestCount())
			require.Greater(t, r.engines.askedCount(), 1)
		})
	}
}

// TestOneUnansweredQuestionIsNoProof guards against a run that goes on at two engines: the first one, which has
// stated for seconds that the run may be there, does not answer one question in time.
func TestOneUnansweredQuestionIsNoProof(t *testing.T) {
	const answered = 20 // questions, one each 0.2 s
	waits := states(vanillaward.EngineRuns{Waiting: 1})
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	asked := 0
	r.engines.runs = func() (vanillaward.EngineRuns, error) { // called with a lock held
		if asked++; asked == answered {
			return silent()
		}
		return waits()
	}
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "5000"})
	require.Error(t, got.err, "the answer must not look complete")
	require.Greater(t, r.engines.askedCount(), answered)
	require.Zero(t, second.requestCount(), "the run went on at a second engine")
}

// TestStopInVainFreesItsCopy guards against copies that stay at engines: one was made by a stop whose answer came
// when the caller's time was over.
func TestStopInVainFreesItsCopy(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	r.engines.runs = named
	r.engines.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
		time.Sleep(1500 * time.Millisecond) // longer than the caller waits
		return vanillaward.MoveResult{Handle: "handle"}, nil
	}
	r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "1000"})
	require.Eventually(t, func() bool { return len(r.engines.dropped()) > 0 }, 20*time.Second, time.Millisecond)
	require.Zero(t, second.requestCount())
}

// TestRunIsNotMovedToItsOwnEngine guards against a stop that names the run's own engine as the destination: the
// engine has kept the run and does not say whether it resumes it.
func TestRunIsNotMovedToItsOwnEngine(t *testing.T) {
	over := make(chan struct{})
	first := newRawStandin(t, "target-0", func(conn net.Conn, request *http.Request) {
		if request.Header.Get(testResume) != "" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 X\r\n%s: request-1\r\nContent-Length: 0\r\n\r\n", testID) // the gateway may have left
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: request-1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: event 1\n\n", testID)
		<-over
	})
	second := newStandin(t, "target-1", "refuse")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	r.engines.runs = named
	r.engines.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
		return vanillaward.MoveResult{Handle: "kept"}, vanillaward.ErrNotCopied
	}
	r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "8000"})
	require.Equal(t, 2, first.requestCount(), "the engine that has kept the run is asked to resume it")
	require.Eventually(t, func() bool { return r.engines.moveCount() > 1 }, 20*time.Second, time.Millisecond)
	close(over)
	for _, m := range r.engines.movesMade() {
		require.NotEqual(t, m.Source, m.Destination)
	}
}
