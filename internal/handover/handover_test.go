package handover_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/handover"
)

// TestTerms checks that terms are read as they were written, removed from the headers, and that others are
// refused.
func TestTerms(t *testing.T) {
	for _, want := range []handover.Terms{handover.NewTerms(0, 0, false), handover.NewTerms(1<<63, 3, true)} {
		h := http.Header{}
		want.Set(h)
		got, err := handover.ReadTerms(h)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Empty(t, h)
	}
	for _, text := range []string{
		"", "configuration=1", "configuration=1, sent=1", "configuration=x, sent=1, counted=true",
		"configuration=1, sent=-1, counted=true", "configuration=1, sent=99999999999, counted=true", "configuration=1, sent=1, counted=maybe",
	} {
		_, err := handover.ReadTerms(http.Header{"Vanillaward-Handover": {text}})
		require.ErrorIs(t, err, handover.ErrNoTerms, text)
	}
}

// TestAnswer checks that an answer is read as it was written, in place of what a target sent.
func TestAnswer(t *testing.T) {
	want := handover.NewAnswer("request", handover.Declined, "busy", "")
	h := http.Header{"Vanillaward-Handover-Target": {"forged"}, "Other": {"1"}}
	want.Set(h)
	require.Equal(t, want, handover.ReadAnswer(h))
	handover.Strip(h)
	require.Equal(t, http.Header{"Other": {"1"}}, h)
}

// TestHelpersShareTheLoad checks that requests go to the helper with the fewest, and that one that is lost or
// declines is left out for a time.
func TestHelpersShareTheLoad(t *testing.T) {
	var h handover.Helpers
	_, ok := h.Begin(nil, 0)
	require.False(t, ok)
	now := time.Minute
	h.Update([]string{"a", "b", "c"}, now)
	open := map[string]int{}
	for range 30 {
		address, ok := h.Begin(nil, now)
		require.True(t, ok)
		open[address]++
	}
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, open)
	h.End("a", handover.NotReached, now)
	h.End("b", handover.Refused, now)
	address, ok := h.Begin(nil, now)
	require.True(t, ok)
	require.Equal(t, "c", address)
	_, ok = h.Begin([]string{"c"}, now)
	require.False(t, ok, "no other one may be asked now")
	address, ok = h.Begin([]string{"c"}, now+500*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, "b", address)
	address, ok = h.Begin([]string{"b", "c"}, now+time.Second)
	require.True(t, ok)
	require.Equal(t, "a", address)
}

// TestHelperThatTimesOut checks that a helper is taken for lost after requests that timed out there in a row, and
// not after one, nor for a stream that broke off.
func TestHelperThatTimesOut(t *testing.T) {
	var h handover.Helpers
	h.Update([]string{"a"}, 0)
	for _, ends := range [][]handover.End{{handover.TimedOut, handover.Served}, {handover.TimedOut, handover.CutOff}, {handover.TimedOut}, {handover.Abandoned}} {
		for _, end := range ends {
			_, ok := h.Begin(nil, 0)
			require.True(t, ok)
			h.End("a", end, 0)
		}
	}
	_, ok := h.Begin(nil, 0)
	require.True(t, ok)
	h.End("a", handover.TimedOut, 0)
	_, ok = h.Begin(nil, 0)
	require.False(t, ok)
}

// TestHelpersCounts checks that the counts of requests stay right while helpers come and go.
func TestHelpersCounts(t *testing.T) {
	random := rand.New(rand.NewPCG(39, 1))
	var h handover.Helpers
	all := []string{"a", "b", "c", "d", "e"}
	var open []string
	for step := range 5000 {
		now := time.Duration(step) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			h.Update(all[:random.IntN(len(all)+1)], now)
		case 1, 2:
			if address, ok := h.Begin(nil, now); ok {
				open = append(open, address)
			}
		default:
			if len(open) > 0 {
				h.End(open[0], handover.End(random.IntN(7)), now)
				open = open[1:]
			}
		}
	}
	for _, address := range open {
		h.End(address, handover.Served, time.Hour)
	}
	h.Update(all, time.Hour)
	seen := map[string]int{}
	for range 2 * len(all) {
		address, ok := h.Begin(nil, time.Hour)
		require.True(t, ok)
		seen[address]++
	}
	for _, address := range all {
		require.Equal(t, 2, seen[address], "a request that ended still counts at %s", address)
	}
}

// TestOutdated checks that helpers are asked for at once, then rarely, and often while they are needed.
func TestOutdated(t *testing.T) {
	var h handover.Helpers
	require.True(t, h.Outdated(false, 0))
	h.Update([]string{"a"}, time.Second)
	require.False(t, h.Outdated(false, 2*time.Second))
	require.True(t, h.Outdated(true, 2*time.Second))
	require.True(t, h.Outdated(false, 12*time.Second))
	address, ok := h.Begin(nil, 12*time.Second)
	require.True(t, ok)
	require.Equal(t, "a", address)
	_, ok = h.Begin([]string{"a"}, 12*time.Second)
	require.False(t, ok, "there is one helper")
}
