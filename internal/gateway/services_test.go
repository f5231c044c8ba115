package gateway

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/retry"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/timer"
)

// TestBudgetsOfRemovedServicesAreForgotten guards against retry budgets that stay for each service
// that a configuration ever had.
func TestBudgetsOfRemovedServicesAreForgotten(t *testing.T) {
	table, found := route.Build(&route.Configuration{Number: 1, Services: []route.ServiceSpec{{Name: "kept"}}})
	require.NoError(t, found.Err())
	budget := retry.New(time.Second, 1, 1)
	g := &Server{base: base.Base{Timers: timer.New()}, budgets: map[string]*retry.Budget{"kept": budget, "removed": budget}}
	g.forgetBudgets(table)
	require.Equal(t, []string{"kept"}, slices.Collect(maps.Keys(g.budgets)))
}

// TestBudgetOfRemovedServiceStaysWhileItCounts guards against a service that leaves the configuration and
// comes back within a window with its whole budget, and against one whose budget then stays for ever.
func TestBudgetOfRemovedServiceStaysWhileItCounts(t *testing.T) {
	table, found := route.Build(&route.Configuration{Number: 1})
	require.NoError(t, found.Err())
	g := &Server{base: base.Base{Timers: timer.New()}, budgets: map[string]*retry.Budget{"brief": retry.New(time.Millisecond, 1, 1), "used": retry.New(time.Hour, 1, 1)}}
	for _, b := range g.budgets {
		require.True(t, b.Allow(g.base.Timers.Now()))
	}
	require.Eventually(t, func() bool {
		g.forgetBudgets(table)
		return len(g.budgets) == 1
	}, 20*time.Second, time.Millisecond)
	require.Contains(t, g.budgets, "used")
}
