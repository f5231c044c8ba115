package rescue_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/rescue"
)

// TestCopyExists: a continuously updated copy exists once the run has started.
func TestCopyExists(t *testing.T) {
	require.True(t, rescue.CopyExists(false, true))
	require.True(t, rescue.CopyExists(true, false))
	require.False(t, rescue.CopyExists(false, false))
}

// TestNext: a copy is made on demand only for a run that needs one and can have one.
func TestNext(t *testing.T) {
	needs := rescue.View{EngineLeaving: true, Started: true, Movable: true}
	require.Equal(t, rescue.Copy, rescue.Next(needs))
	for name, change := range map[string]func(*rescue.View){
		"its engine is not leaving": func(v *rescue.View) { v.EngineLeaving = false },
		"the run has not started":   func(v *rescue.View) { v.Started = false },
		"a usable copy exists":      func(v *rescue.View) { v.CopyUsable = true },
		"a copy is being made":      func(v *rescue.View) { v.Moving = true },
		"engines do not copy":       func(v *rescue.View) { v.Movable = false },
		"too many copies failed":    func(v *rescue.View) { v.Failures = 3 },
	} {
		v := needs
		change(&v)
		require.Equal(t, rescue.Stay, rescue.Next(v), name)
	}
}
