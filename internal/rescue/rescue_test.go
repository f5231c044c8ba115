package rescue_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/rescue"
)

// TestCopyExists: a copy that grows with its run is there once the run has started.
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
		"its engine stays":         func(v *rescue.View) { v.EngineLeaving = false },
		"there is nothing to copy": func(v *rescue.View) { v.Started = false },
		"a copy is there":          func(v *rescue.View) { v.CopyUsable = true },
		"one is being made":        func(v *rescue.View) { v.Moving = true },
		"engines do not copy":      func(v *rescue.View) { v.Movable = false },
		"it failed too often":      func(v *rescue.View) { v.Failures = 3 },
	} {
		v := needs
		change(&v)
		require.Equal(t, rescue.Stay, rescue.Next(v), name)
	}
}
