package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/route"
)

// requireStopped waits until a former run was stopped at one engine, and what that engine kept was freed.
func requireStopped(t *testing.T, r *rig, at, destination *standin) {
	t.Helper()
	require.Eventually(t, func() bool { return len(r.engines.dropped()) > 0 }, 20*time.Second, time.Millisecond, "the run goes on at two engines")
	want := vanillaward.Move{Source: at.address(), Destination: destination.address(), Request: "request-1", Last: true}
	for _, got := range r.engines.movesMade() {
		require.Equal(t, want, got)
	}
	require.Equal(t, []string{"handle"}, r.engines.dropped())
}

// TestReturnedEngineIsStopped guards against a run that goes on at two engines: the first one could not be
// reached, and has worked on.
func TestReturnedEngineIsStopped(t *testing.T) {
	for name, refusals := range map[string]int32{"at once": 0, "it is preempted at first": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
			r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
			r.engines.runs = afterReports(3, func() (vanillaward.EngineRuns, error) {
				return vanillaward.EngineRuns{}, vanillaward.ErrUnreachable
			}, named)
			var stops atomic.Int32
			r.engines.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
				if stops.Add(1) <= refusals {
					return vanillaward.MoveResult{}, vanillaward.ErrNotRunning
				}
				return vanillaward.MoveResult{Handle: "handle"}, vanillaward.ErrNotCopied
			}
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
			require.NoError(t, got.err)
			require.Equal(t, fiveEvents, got.body)
			requireStopped(t, r, first, second)
		})
	}
}

// TestFormerRunIsFollowedUntilItsDeadline guards against questions without end to an engine that is gone for good.
func TestFormerRunIsFollowedUntilItsDeadline(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "2000"})
	require.Equal(t, fiveEvents, got.body)
	require.Eventually(t, func() bool { return r.engines.askedCount() > 2 }, 20*time.Second, time.Millisecond, "the engine is followed")
	asked := -1
	require.Eventually(t, func() bool {
		before := asked
		asked = r.engines.askedCount()
		return asked == before
	}, 20*time.Second, time.Second, "the questions end")
}

// TestGivenUpResumptionIsEnded guards against a run that goes on at two engines: the holder of the copy was asked
// to resume it, has not said that it does not, and the run goes on at its engine.
func TestGivenUpResumptionIsEnded(t *testing.T) {
	for _, holder := range []string{"mute", "error"} {
		t.Run(holder, func(t *testing.T) {
			t.Parallel()
			first, second := newStandin(t, "target-0", "stream-paused:2"), newStandin(t, "target-1", holder)
			r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
			r.engines.runsOf = func(address string) (vanillaward.EngineRuns, error) {
				if address == second.address() {
					return named()
				}
				return vanillaward.EngineRuns{}, vanillaward.ErrUnreachable
			}
			got := make(chan reply, 1)
			go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
			require.Eventually(t, func() bool { return second.requestCount() == 1 }, 20*time.Second, time.Millisecond)
			close(first.held)
			requireWholeStream(t, got)
			requireStopped(t, r, second, first)
		})
	}
}

// TestRunIsNotKeptAndResumed guards against a run that goes on at two engines: the holder of the copy was asked to
// resume it and has not said that it does not, and the engine that had stopped and kept it was asked then.
func TestRunIsNotKeptAndResumed(t *testing.T) {
	_, first, second, got := newStall(t, "error", func(e *engines) {
		e.runs = named
		e.stop = func(m vanillaward.Move) (vanillaward.MoveResult, error) {
			return vanillaward.MoveResult{Handle: "kept"}, vanillaward.ErrNotCopied
		}
	})
	require.Eventually(t, func() bool { return second.requestCount() == 1 }, 20*time.Second, time.Millisecond, "the holder of the copy is asked first")
	close(first.held)
	answer := <-got
	require.Error(t, answer.err, "the answer must not look complete")
	require.Equal(t, 1, first.requestCount())
}

// TestRunFromItsBeginningIsNoResumption guards against a request that runs again at one engine after another: each
// holder has no copy, runs the request from its beginning, and the run goes on from the next copy.
func TestRunFromItsBeginningIsNoResumption(t *testing.T) {
	first, second, third := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:restart"), newStandin(t, "target-2", "stream:restart")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second, third)
	r.engines.runsOf = func(address string) (vanillaward.EngineRuns, error) {
		if address == first.address() {
			return vanillaward.EngineRuns{}, vanillaward.ErrUnreachable
		}
		return named()
	}
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
	require.Error(t, got.err, "the answer must not look complete")
	require.Equal(t, 1, second.requestCount()+third.requestCount())
	holder := second
	if third.requestCount() > 0 {
		holder = third
	}
	requireStopped(t, r, holder, first)
}
