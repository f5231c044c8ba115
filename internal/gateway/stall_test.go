package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/route"
)

// newStall returns a gateway whose first engine falls silent after two events of a stream, and the
// channel on which its answer to the caller arrives.
func newStall(t *testing.T, holder string, prepare func(*engines)) (r *rig, first, second *standin, got chan reply) {
	t.Helper()
	first = newStandin(t, "target-0", "stream-paused:2")
	second = newStandin(t, "target-1", holder)
	r = newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	prepare(r.engines)
	got = make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
	return r, first, second, got
}

func requireWholeStream(t *testing.T, got chan reply) {
	t.Helper()
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, fiveEvents, answer.body)
}

// states returns what an engine answers to the question what it runs.
func states(runs vanillaward.EngineRuns) func() (vanillaward.EngineRuns, error) {
	return func() (vanillaward.EngineRuns, error) { return runs, nil }
}

// named is what an engine that runs the request of newStall states.
func named() (vanillaward.EngineRuns, error) {
	return vanillaward.EngineRuns{Requests: []string{"request-1"}, Running: 1}, nil
}

// TestPreemptedRunStaysAtItsEngine guards against a run that goes on at two engines: the first one has
// preempted it, starts it again later and need not notice that its connection was closed.
func TestPreemptedRunStaysAtItsEngine(t *testing.T) {
	const questions = 3
	for name, c := range map[string]struct {
		runs func() (vanillaward.EngineRuns, error)
		stop func(vanillaward.Move) (vanillaward.MoveResult, error)
	}{
		"it waits":            {runs: states(vanillaward.EngineRuns{Waiting: 1})},
		"it is read in again": {runs: states(vanillaward.EngineRuns{Running: 1})},
		"the engine states nothing that can be read": {runs: func() (vanillaward.EngineRuns, error) {
			return vanillaward.EngineRuns{}, errors.Wrap(vanillaward.ErrUnreadable, "status 500")
		}},
		"the engine is silent for a moment": {runs: afterReports(2, silent, states(vanillaward.EngineRuns{Waiting: 1}))},
		"it is preempted when it is to stop": {runs: named, stop: func(vanillaward.Move) (vanillaward.MoveResult, error) {
			return vanillaward.MoveResult{}, vanillaward.ErrNotRunning
		}},
		"the engine refuses to stop it": {runs: named, stop: func(vanillaward.Move) (vanillaward.MoveResult, error) {
			return vanillaward.MoveResult{}, errors.Wrap(vanillaward.ErrMoveRefused, "busy")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, first, second, got := newStall(t, "stream:", func(e *engines) { e.runs, e.stop = c.runs, c.stop })
			require.Eventually(t, func() bool { return r.engines.askedCount() >= questions || second.requestCount() > 0 }, 20*time.Second, time.Millisecond)
			require.Zero(t, second.requestCount(), "the run went on at a second engine")
			close(first.held)
			requireWholeStream(t, got)
			require.Zero(t, second.requestCount())
		})
	}
}

// TestStalledRunIsStoppedFirst checks that a run that its engine works on, though no event arrives,
// is stopped there and goes on from the copy that the engine then made.
func TestStalledRunIsStoppedFirst(t *testing.T) {
	r, first, second, got := newStall(t, "stream:", func(e *engines) { e.runs = named })
	requireWholeStream(t, got)
	require.Equal(t, first.address()+"/handle", second.firstHeader().Get(testResume))
	require.Equal(t, "2", second.firstHeader().Get(testAfter))
	require.Equal(t, []vanillaward.Move{{Source: first.address(), Destination: second.address(), Request: "request-1", Last: true}}, r.engines.moves)
	close(first.held)
}

// TestStoppedRunWithoutCopyReturns guards against a run that is lost since it was stopped and neither
// its copy nor room for a new one was there: its engine has kept it.
func TestStoppedRunWithoutCopyReturns(t *testing.T) {
	_, first, second, got := newStall(t, "refuse", func(e *engines) {
		e.runs = named
		e.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
			return vanillaward.MoveResult{Handle: "kept"}, vanillaward.ErrNotCopied
		}
	})
	require.Eventually(t, func() bool { return second.requestCount() == 1 }, 20*time.Second, time.Millisecond, "the holder of the copy is asked first")
	close(first.held)
	requireWholeStream(t, got)
	require.Equal(t, first.address()+"/kept", first.lastHeader().Get(testResume))
}

// TestGoneRunIsResumed checks that a run which its engine does not have any more goes on from its copy
// at once, though the connection to the engine is open.
func TestGoneRunIsResumed(t *testing.T) {
	r, first, second, got := newStall(t, "stream:", func(e *engines) { e.runs = states(vanillaward.EngineRuns{}) })
	requireWholeStream(t, got)
	require.Equal(t, second.address()+"/request-1", second.firstHeader().Get(testResume))
	require.Zero(t, r.engines.moveCount())
	close(first.held)
}

// TestRunOfDisorderedStreamIsStopped guards against a run that goes on at two engines after the gateway
// has closed the connection to the first one, whose events were not in order.
func TestRunOfDisorderedStreamIsStopped(t *testing.T) {
	for name, waiting := range map[string]bool{"it runs": false, "it may run": true} {
		t.Run(name, func(t *testing.T) {
			first := newStandin(t, "target-0", "stream:skip")
			second := newStandin(t, "target-1", "stream:")
			r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
			r.engines.runs = named
			budget := "30000"
			if waiting {
				r.engines.runs = states(vanillaward.EngineRuns{Waiting: 1})
				budget = "2000" // the engine is asked until the caller's time is over
			}
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: budget})
			if waiting {
				require.Error(t, got.err, "the answer must not look complete")
				require.Zero(t, second.requestCount())
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, fiveEvents, got.body)
			require.Equal(t, first.address()+"/handle", second.firstHeader().Get(testResume))
		})
	}
}
