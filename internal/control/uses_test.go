package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestUses: an instance gets the sums of the others. Uses without requests, which
// only tell a suspicion, come and go beside each other (they crashed a replica once).
func TestUses(t *testing.T) {
	u := newUses()
	suspicion := []*wire.Use{{Target: "a", SuspectedMs: 1000}}
	u.take("one", suspicion, 0)
	u.take("two", suspicion, 0)
	u.take("one", nil, time.Millisecond)
	u.take("two", nil, time.Millisecond)
	require.Empty(t, u.others("three", time.Millisecond))

	u.take("one", []*wire.Use{{Target: "a", Requests: 1, Tokens: 100, Prefilling: 50, SuspectedMs: 900}}, time.Second)
	u.take("two", []*wire.Use{{Target: "a", Requests: 2, Tokens: 10}, {Target: "b", Requests: 1}}, time.Second)
	got := map[string]*wire.Use{}
	for _, use := range u.others("three", time.Second+400*time.Millisecond) {
		got[use.GetTarget()] = use
	}
	require.EqualValues(t, 3, got["a"].GetRequests())
	require.EqualValues(t, 110, got["a"].GetTokens())
	require.EqualValues(t, 50, got["a"].GetPrefilling())
	require.EqualValues(t, 500, got["a"].GetSuspectedMs(), "a suspicion gets older")
	require.EqualValues(t, 1, got["b"].GetRequests())
	require.Len(t, u.others("two", time.Second), 1, "not its own")
	require.Empty(t, u.others("three", time.Second+2*useValid), "an instance that is silent has nothing")
}
