package migration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/migration"
)

// TestCopyExists: a continuously updated copy exists once the run has sent events for some time, one made
// on demand always.
func TestCopyExists(t *testing.T) {
	const after = 500 * time.Millisecond
	require.True(t, migration.CopyExists(false, true, after, after))
	require.True(t, migration.CopyExists(false, true, 0, 0))
	require.True(t, migration.CopyExists(true, false, 0, after))
	require.False(t, migration.CopyExists(false, true, after-1, after))
	require.False(t, migration.CopyExists(false, false, after, after))
	require.False(t, migration.CopyExists(false, false, 0, 0))
}

// TestNextStep: a copy is made on demand only for a run that needs one and can have one.
func TestNextStep(t *testing.T) {
	needs := migration.RunState{EngineLeaving: true, Started: true, Movable: true}
	require.Equal(t, migration.StepCopy, migration.NextStep(needs))
	for name, change := range map[string]func(*migration.RunState){
		"its engine is not leaving": func(v *migration.RunState) { v.EngineLeaving = false },
		"the run has ended there":   func(v *migration.RunState) { v.Ended = true },
		"the run has not started":   func(v *migration.RunState) { v.Started = false },
		"a usable copy exists":      func(v *migration.RunState) { v.CopyUsable = true },
		"a copy is being made":      func(v *migration.RunState) { v.Moving = true },
		"engines do not copy":       func(v *migration.RunState) { v.Movable = false },
		"too many copies failed":    func(v *migration.RunState) { v.Failures = 3 },
	} {
		v := needs
		change(&v)
		require.Equal(t, migration.StepNone, migration.NextStep(v), name)
	}
}
