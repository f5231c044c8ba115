package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/retry"
)

// TestNeverOver: in no window are more requests repeated than the ratio and the spare
// ones allow, whatever the load does.
func TestNeverOver(t *testing.T) {
	const window, ratio, spare = 10 * time.Second, 0.2, 3.0
	random := rand.New(rand.NewPCG(20261204, 1))
	b := retry.New(window, ratio, spare)
	var requests, repeats []time.Duration
	now := time.Duration(0)
	for range 20000 {
		pace := 5 + random.IntN(200)
		now += time.Duration(random.IntN(pace)) * time.Millisecond
		requests = append(requests, now)
		b.Request(now)
		if random.IntN(3) > 0 && b.Allow(now) {
			repeats = append(repeats, now)
		}
	}
	require.NotEmpty(t, repeats)
	for i, first := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at < first+window {
				n++
			}
		}
		// Requests of the window or of the one before it may be the reason.
		asked := 0
		for _, at := range requests {
			if at >= first-window && at < first+window {
				asked++
			}
		}
		require.LessOrEqual(t, float64(n), ratio*float64(asked)+2*spare, "window from %s", first)
	}
}

// TestSickFleet: when every request fails, the load grows by the ratio only.
func TestSickFleet(t *testing.T) {
	b := retry.New(10*time.Second, 0.18, 2)
	sent := 0
	for i := range 10000 {
		now := time.Duration(i) * 10 * time.Millisecond
		b.Request(now)
		sent++
		if b.Allow(now) {
			sent++
		}
	}
	require.Less(t, sent, 12000)
	require.Greater(t, sent, 11500)
}

// TestIdle: after a long silence nothing of before counts.
func TestIdle(t *testing.T) {
	b := retry.New(10*time.Second, 0.5, 0)
	for range 100 {
		b.Request(0)
	}
	require.True(t, b.Allow(time.Second))
	require.False(t, b.Allow(time.Hour))
}
