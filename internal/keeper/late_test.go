package keeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestLateAnswerToRecall guards against a restarted keeper that votes by records which were read while a claim
// that counts a vote of its earlier incarnation was undecided, because they arrived after that. A
// non-idempotent request could run twice.
func TestLateAnswerToRecall(t *testing.T) {
	const epoch = 1
	c := keeper.New("a", "second", 10, 0)
	c.Configure(0, keeper.Epoch{Number: epoch, Members: []string{"a", "b", "c"}, Lifetime: time.Minute})
	answer := &wire.RecallResponse{HeldEpoch: epoch, Epoch: epoch}
	for _, from := range []string{"b", "c"} {
		c.Recalled(keeper.ClaimBound/2, keeper.ClaimBound+time.Second, from, epoch, answer)
	}
	require.False(t, c.Voting(), "asked too early")
	for _, from := range []string{"b", "c"} {
		c.Recalled(keeper.ClaimBound, keeper.ClaimBound+time.Second, from, epoch, answer)
	}
	require.True(t, c.Voting())
}
