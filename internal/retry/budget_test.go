package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/retry"
)

// TestRetryLimitInEveryWindow checks that no window has more retries than the ratio and
// the reserve retries allow, however the load changes.
func TestRetryLimitInEveryWindow(t *testing.T) {
	const window, ratio, reserve = 10 * time.Second, 0.2, 3.0
	random := rand.New(rand.NewPCG(20261204, 1))
	b := retry.New(window, ratio, reserve)
	var requests, retries []time.Duration
	now := time.Duration(0)
	for range 20000 {
		pace := 5 + random.IntN(200)
		now += time.Duration(random.IntN(pace)) * time.Millisecond
		requests = append(requests, now)
		b.Request(now)
		if random.IntN(3) > 0 && b.Allow(now) {
			retries = append(retries, now)
		}
	}
	require.NotEmpty(t, retries)
	for i, first := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at < first+window {
				n++
			}
		}
		// A retry may be allowed because of requests of this window or of the previous one.
		requestCount := 0
		for _, at := range requests {
			if at >= first-window && at < first+window {
				requestCount++
			}
		}
		require.LessOrEqual(t, float64(n), ratio*float64(requestCount)+2*reserve, "window from %s", first)
	}
}

// TestAllRequestsFail checks that the load grows only by the ratio when every request fails.
func TestAllRequestsFail(t *testing.T) {
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

// TestCountsExpireWhenIdle checks that earlier requests no longer count after a long time
// without requests.
func TestCountsExpireWhenIdle(t *testing.T) {
	b := retry.New(10*time.Second, 0.5, 0)
	for range 100 {
		b.Request(0)
	}
	require.True(t, b.Allow(time.Second))
	require.False(t, b.Allow(time.Hour))
}
