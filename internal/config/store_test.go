package config_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/wire"
)

func edit(urgency int) []*wire.SectionEdit {
	return []*wire.SectionEdit{{Id: "class c", Text: fmt.Sprintf("[class c]\nidempotent = true\nurgency = %d\n", urgency)}}
}

// TestNeverLower checks that no response of a source makes a store revert to an older
// version, skip a version or apply one partially.
func TestNeverLower(t *testing.T) {
	s := config.NewStore()
	require.NoError(t, s.Reset(5, edit(5)))
	require.ErrorIs(t, s.Reset(5, edit(9)), config.ErrRevert)
	require.ErrorIs(t, s.Reset(4, edit(9)), config.ErrRevert)
	require.ErrorIs(t, s.Advance(&wire.Delta{Version: 5, Edits: edit(9)}), config.ErrRevert)
	require.ErrorIs(t, s.Advance(&wire.Delta{Version: 7, Edits: edit(9)}), config.ErrGap)
	broken := []*wire.SectionEdit{{Id: "class d", Text: "[class d]\nidempotent = true\n"}, {Id: "service s", Text: "[service s]\nkind = nothing\n"}}
	require.Error(t, s.Advance(&wire.Delta{Version: 6, Edits: broken}))
	require.EqualValues(t, 5, s.Version())
	_, partial := s.Current().Class("d")
	require.False(t, partial, "no part of a version with findings is applied")
	require.NoError(t, config.Apply(s, &wire.WatchResponse{Version: 3, Full: true, Sections: edit(3)}))
	class, _ := s.Current().Class("c")
	require.Equal(t, 5, class.Urgency())
}

// TestWatch checks that a follower receives deltas if the store holds them and the full
// configuration if not, and that a watch waits for the next version.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := config.NewStore()
		require.NoError(t, s.Reset(1, edit(1)))
		for v := 2; v <= 600; v++ {
			require.NoError(t, s.Advance(&wire.Delta{Version: uint64(v), Edits: edit(v)}))
		}
		for _, from := range []uint64{0, 1, 87, 88, 599} {
			follower := config.NewStore()
			if from > 0 {
				require.NoError(t, follower.Reset(from, edit(int(from))))
			}
			resp := s.Watch(context.Background(), from, 0)
			require.Equal(t, from < 88, resp.GetFull(), "from %d", from)
			require.NoError(t, config.Apply(follower, resp))
			class, _ := follower.Current().Class("c")
			require.Equal(t, 600, class.Urgency())
		}
		start := time.Now()
		require.EqualValues(t, 600, s.Watch(context.Background(), 600, 4*time.Second).GetVersion())
		require.Equal(t, 4*time.Second, time.Since(start))
		go func() {
			time.Sleep(time.Second)
			_ = s.Advance(&wire.Delta{Version: 601, Edits: edit(601)})
		}()
		require.EqualValues(t, 601, s.Watch(context.Background(), 600, 4*time.Second).GetVersion())
		require.Equal(t, 5*time.Second, time.Since(start))
	})
}
