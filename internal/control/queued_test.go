package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestQueuedSums guards against requests that are counted after they were sent, for the instance itself, or for an
// instance that is gone: others would leave capacity free for them.
func TestQueuedSums(t *testing.T) {
	q := newQueued()
	waiting := func(rank, requests, tokens uint32) *wire.Queued {
		return &wire.Queued{Service: "s", Rank: rank, Requests: requests, Tokens: tokens}
	}
	sums := func(except string, now time.Duration) (requests, tokens uint32) {
		for _, w := range q.sumsExcluding(except, now) {
			requests, tokens = requests+w.GetRequests(), tokens+w.GetTokens()
		}
		return requests, tokens
	}
	check := func(except string, now time.Duration, requests, tokens uint32) {
		t.Helper()
		gotRequests, gotTokens := sums(except, now)
		require.Equal(t, [2]uint32{requests, tokens}, [2]uint32{gotRequests, gotTokens})
	}
	q.update("a", []*wire.Queued{waiting(0, 2, 4000), waiting(1, 1, 3000)}, 0)
	q.update("b", []*wire.Queued{waiting(0, 1, 2000), waiting(0, 0, 0)}, time.Second)
	check("a", time.Second, 1, 2000)
	check("b", time.Second, 3, 7000)
	check("c", time.Second, 4, 9000)
	q.update("a", []*wire.Queued{waiting(1, 1, 3000)}, 2*time.Second)
	check("c", 2*time.Second, 2, 5000)
	check("c", 4500*time.Millisecond, 1, 3000) // b is gone
	q.update("a", nil, 5*time.Second)
	check("c", 5*time.Second, 0, 0)
	require.Empty(t, q.totals)
}
