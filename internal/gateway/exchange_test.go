package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// recordedExchange records what a gateway uses when uses are exchanged.
type recordedExchange struct {
	rig *rig

	mu       sync.Mutex // guards the fields below
	refresh  func()
	atAsking [][]*wire.Use // at each announcement
}

func (e *recordedExchange) Refresh(context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh()
}

func (e *recordedExchange) Announce() {
	uses := e.rig.gateway.LocalUses()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.atAsking = append(e.atAsking, uses)
}

// TestGenerationIsPlacedByFreshUses: a generation goes where no other instance has begun one until then,
// as the exchange before the choice shows, and the choice is announced with its prompt.
func TestGenerationIsPlacedByFreshUses(t *testing.T) {
	targets := []*standin{newStandin(t, "target-0", "stream:"), newStandin(t, "target-1", "stream:"), newStandin(t, "target-2", "stream:")}
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), targets...)
	e := &recordedExchange{rig: r}
	e.refresh = func() {
		r.gateway.UpdatePeerUses([]*wire.Use{{Target: "target-0", Prefilling: 9000}, {Target: "target-2", Prefilling: 9000}}, 2)
	}
	r.gateway.UseExchange(e)
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
	require.Equal(t, 1, targets[1].requestCount())
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Len(t, e.atAsking, 2, "after the choice, and when the prompt was processed")
	require.EqualValues(t, 1000, e.atAsking[0][0].GetPrefilling())
	require.Zero(t, e.atAsking[1][0].GetPrefilling())
}

// TestPlainRequestsWaitForNoExchange: requests that no engine runs are sent at once.
func TestPlainRequestsWaitForNoExchange(t *testing.T) {
	r := newRig(t, configuration(1, route.Once, 1, 30*time.Second), newStandin(t, "target-0", "complete"))
	e := &recordedExchange{rig: r, refresh: func() { require.Fail(t, "a plain request waited") }}
	r.gateway.UseExchange(e)
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
	require.Empty(t, e.atAsking)
}
