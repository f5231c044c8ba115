package membudget_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/membudget"
)

const free = 16 << 10

// TestHold checks that a hold first has bytes for nothing, then draws on the budget, is refused what the
// budget lacks, and gives all back.
func TestHold(t *testing.T) {
	b := membudget.New(1000)
	first, second := b.Hold(), b.Hold()
	require.True(t, first.Grow(free-10))
	require.Zero(t, b.Used())
	require.True(t, first.Grow(610))
	require.EqualValues(t, 600, b.Used())
	require.True(t, second.Grow(free))
	require.False(t, second.Grow(401))
	require.EqualValues(t, 600, b.Used(), "a refused growth takes nothing")
	require.True(t, second.Grow(400))
	require.False(t, first.Grow(1))
	second.Release()
	require.True(t, first.Grow(400))
	first.Release()
	require.Zero(t, b.Used())
	require.True(t, first.Grow(free))
	require.Zero(t, b.Used(), "what is had for nothing is there again")
	var none *membudget.Hold
	require.True(t, none.Grow(1<<30))
	none.Release()
}

// TestHoldsAreBoundedTogether checks that many holds at the same time never have more than the budget.
func TestHoldsAreBoundedTogether(t *testing.T) {
	const limit = 1 << 20
	b := membudget.New(limit)
	var holds sync.WaitGroup
	for seed := range uint64(16) {
		holds.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			h := b.Hold()
			had := 0
			for range 2000 {
				n := random.IntN(64 << 10)
				if h.Grow(n) {
					had += n
				}
				if had-free > limit {
					t.Errorf("seed %d: one hold has %d bytes", seed, had)
				}
				if random.IntN(8) == 0 {
					h.Release()
					had = 0
				}
			}
			h.Release()
		})
	}
	holds.Wait()
	require.Zero(t, b.Used())
}
