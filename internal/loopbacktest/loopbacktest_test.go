package loopbacktest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReserve checks that networks differ while they are held, also if two processes begin with the same
// number.
func TestReserve(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		seen[Reserve(t)] = true
	}
	require.Len(t, seen, 100)
	const last = subnets*subnets - 1 // the number after it is 0
	for range 3 {
		prefix, listener, err := reserve(last)
		require.NoError(t, err)
		defer func() { _ = listener.Close() }() // the test is over
		require.NotContains(t, seen, prefix)
		seen[prefix] = true
	}
}
