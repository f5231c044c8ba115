package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestColdLimitOfConfiguration guards against a limit for cold targets that is in the configuration and counts for
// nothing: a target that appears gets next to nothing while it is not known how many instances share its limit, and
// its part as the next configuration has no limit.
func TestColdLimitOfConfiguration(t *testing.T) {
	cold, warm := newStandin(t, "target-0", "complete"), newStandin(t, "target-1", "complete")
	c := configuration(1, route.Once, 1, handoverTimeout)
	c.Services[0].ColdTime, c.Services[0].ColdPerSecond = time.Hour, 0.5
	r := newRig(t, c, warm)
	r.updateTargets(cold, warm) // the first is in the gateway's failure domain
	for range 20 {
		require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
	}
	require.Zero(t, cold.requestCount())
	require.Equal(t, 20, warm.requestCount())

	*c = *configuration(2, route.Once, 1, handoverTimeout)
	require.NoError(t, r.gateway.Install(&wire.Document{Number: 2}))
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
	require.Equal(t, 1, cold.requestCount())
}

// TestRefusedWhileAllTargetsAreCold guards against callers that are not told when to come back, or later than within
// the time that they have.
func TestRefusedWhileAllTargetsAreCold(t *testing.T) {
	c := configuration(1, route.Once, 1, handoverTimeout)
	c.Services[0].ColdTime, c.Services[0].ColdPerSecond = time.Hour, 0.5
	r := newRig(t, c)
	r.updateTargets(newStandin(t, "target-0", "complete"))
	got := r.send(t, http.MethodPost, "/r/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "1.000", got.header.Get("Retry-After"))
}
