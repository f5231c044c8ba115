package delivery_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// TestFinished guards against a run being taken as complete when the number of tokens that its
// target counts is not the number received.
func TestFinished(t *testing.T) {
	for total, want := range map[int]delivery.Verdict{
		-1: delivery.Excess, 0: delivery.Excess, 2: delivery.Excess, 3: delivery.Pass, 4: delivery.Gap,
	} {
		core := delivery.New(delivery.Policy{Idempotent: true, MaxAttempts: 1})
		core.Begin()
		for index := range 3 {
			require.Equal(t, delivery.Pass, core.Token(1, index, []byte("a")))
		}
		require.Equal(t, want, core.Finished(1, total), "total %d", total)
		require.Equal(t, delivery.Drop, core.Finished(2, 3), "another generation")
	}
}
