package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

// repeatRig is a gateway with targets that all end in the same way when they begin to run a request.
type repeatRig struct {
	*rig
	targets []*standin
	sent    int
}

func newRepeatRig(t *testing.T, kind route.Kind, attempts, targets int, behaviour string) *repeatRig {
	t.Helper()
	r := &repeatRig{rig: newRig(t, configuration(1, kind, attempts, 20*time.Second))}
	for i := range targets {
		r.targets = append(r.targets, newStandin(t, fmt.Sprint("target-", i), behaviour))
	}
	r.updateTargets(r.targets...)
	return r
}

// repeat sends a request with a path and a body, under another ID each time. Targets that it was sent to
// are down afterwards.
func (r *repeatRig) repeat(t *testing.T, path, body string) reply {
	t.Helper()
	r.sent++
	got := r.send(t, http.MethodPost, path, body, map[string]string{testID: fmt.Sprint("request-", r.sent)})
	var up []*standin
	for _, target := range r.targets {
		if target.requestCount() == 0 {
			up = append(up, target)
		}
	}
	r.updateTargets(up...)
	return got
}

// TestRequestThatCrashesTargetsIsHeldBack guards against a request that comes again and again and ends
// one target after another: any kind of request, wherever in the answer the target ends.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	for _, test := range []struct {
		kind      string
		attempts  int
		behaviour string
	}{
		{"idempotent", 1, "end"},
		{"idempotent", 2, "end"},
		{"idempotent", 2, "reset"},
		{"idempotent", 2, "truncate"},
		{"once", 1, "end"},
		{"once", 1, "reset"},
		{"once", 1, "truncate"},
		{"stream", 1, "end"},
		{"stream", 1, "reset"},
		{"stream", 1, "stream:0"},
		{"stream", 1, "stream:1"},
	} {
		t.Run(fmt.Sprintf("%s-%d-%s", test.kind, test.attempts, test.behaviour), func(t *testing.T) {
			const crashes, allowed = 3, 4 // the last attempt of a request may be under way
			r := newRepeatRig(t, kinds[test.kind], test.attempts, 10, test.behaviour)
			for sentTo(r.targets) < crashes {
				r.repeat(t, "/r/bad", "body")
			}
			for range 3 {
				got := r.repeat(t, "/r/bad", "body")
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Equal(t, "request-held-back", strings.TrimSpace(got.body))
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, 10.0, "the time of the request, not a fixed one")
			}
			before := sentTo(r.targets)
			require.LessOrEqual(t, before, allowed)
			r.repeat(t, "/r/bad", "another body")
			require.Greater(t, sentTo(r.targets), before, "another request is sent on")
		})
	}
}

// TestRequestThatCrashesTargetsLateIsHeldBack guards against the same where targets end later than 500 ms after they have
// begun to answer.
func TestRequestThatCrashesTargetsLateIsHeldBack(t *testing.T) {
	const crashes = 3
	r := newRepeatRig(t, route.Stream, 1, 10, "stream:late-crash")
	r.updateTargets(r.targets[0]) // nobody holds a copy
	for n := range crashes {
		require.Error(t, r.repeat(t, "/r/bad", "body").err, "cut off")
		r.updateTargets(r.targets[n+1])
		r.awaitMetric(t, fmt.Sprintf("vanillaward_target_survival_total{result=\"gone\"} %d\n", n+1))
	}
	got := r.repeat(t, "/r/bad", "body")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "request-held-back", strings.TrimSpace(got.body))
	require.Equal(t, crashes, sentTo(r.targets))
}

// TestRepeatedSoundRequestIsSentOn guards against holding back a request that is served now and then,
// or that ran beside others when their targets ended.
func TestRepeatedSoundRequestIsSentOn(t *testing.T) {
	for _, kind := range []string{"idempotent", "once"} {
		r := newRepeatRig(t, kinds[kind], 1, 4, "end")
		sound := newStandin(t, "sound", "complete")
		for range 2 {
			r.repeat(t, "/r/x", "body")
		}
		r.updateTargets(sound)
		require.Equal(t, http.StatusOK, r.repeat(t, "/r/x", "body").status)
		r.updateTargets(r.targets[2:]...)
		for range 2 {
			require.Equal(t, http.StatusBadGateway, r.repeat(t, "/r/x", "body").status, "sent on, and its target ends")
		}
		r.updateTargets(sound)
		require.Equal(t, http.StatusOK, r.repeat(t, "/r/x", "body").status)
	}
}
