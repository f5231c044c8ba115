package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestDemandIsForgotten guards against state that stays for each service of which a target ever stated
// a limit.
func TestDemandIsForgotten(t *testing.T) {
	b := New("home", rand.New(rand.NewPCG(1, 1)))
	list := []*wire.Target{
		{Id: "a", Service: "one", Address: "10.0.0.1:1", State: wire.TargetState_TARGET_STATE_READY}, {Id: "b", Service: "two", Address: "10.0.0.2:1"}, {Id: "c", Service: "three", Address: "10.0.0.3:1"},
	}
	b.Update(list, 0)
	require.NotNil(t, b.best("one", 0, nil, 0, (*Target).accepts))
	require.Empty(t, b.demand, "nothing is counted without a limit")
	for _, target := range b.targets {
		b.StateLimit(target, true, 1, 0)
	}
	require.Len(t, b.demand, 3)
	b.StateLimit(b.byID["b"][0], false, 0, time.Second)
	b.Update(list[:2], time.Second)
	require.Len(t, b.demand, 1)
	require.Contains(t, b.demand, "one")
}
