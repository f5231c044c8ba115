package migration_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/migration"
)

// TestLocate checks what engines' reports tell of a run, one that names none of its runs too.
func TestLocate(t *testing.T) {
	for name, c := range map[string]struct {
		runs vanillaward.EngineRuns
		want migration.Presence
	}{
		"named":                      {vanillaward.EngineRuns{Requests: []string{"a", "r"}, Running: 2}, migration.Running},
		"named while others wait":    {vanillaward.EngineRuns{Requests: []string{"r"}, Running: 1, Waiting: 3}, migration.Running},
		"one waits":                  {vanillaward.EngineRuns{Requests: []string{"a"}, Running: 1, Waiting: 1}, migration.MayReturn},
		"one is read in":             {vanillaward.EngineRuns{Requests: []string{"a"}, Running: 2}, migration.MayReturn},
		"none is named":              {vanillaward.EngineRuns{Running: 1}, migration.MayReturn},
		"all are named, and others":  {vanillaward.EngineRuns{Requests: []string{"a", "b"}, Running: 2}, migration.Gone},
		"the engine has nothing":     {vanillaward.EngineRuns{}, migration.Gone},
		"more are named than it has": {vanillaward.EngineRuns{Requests: []string{"a", "b"}, Running: 1}, migration.Gone},
	} {
		require.Equal(t, c.want, migration.Locate(c.runs, "r"), name)
	}
}
