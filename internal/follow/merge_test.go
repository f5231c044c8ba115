package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

func listed(id string, state wire.TargetState) *wire.Target {
	return &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", State: state, Engine: true, Slots: 3}
}

// TestMerge: the newest list tells which targets there are; any list of about its age
// can tell that one is leaving, and one that is much older cannot.
func TestMerge(t *testing.T) {
	const ready, leaving = wire.TargetState_TARGET_STATE_READY, wire.TargetState_TARGET_STATE_LEAVING
	old := &list{readAt: 0, targets: []*wire.Target{listed("a", leaving), listed("b", leaving)}}
	recent := &list{readAt: 9 * time.Second, targets: []*wire.Target{listed("a", ready), listed("b", leaving), listed("gone", ready)}}
	newest := &list{readAt: 10 * time.Second, targets: []*wire.Target{listed("a", ready), listed("b", ready)}}
	got := merge(map[string]*list{"1": old, "2": recent, "3": newest})
	require.Len(t, got, 2)
	require.Equal(t, ready, got[0].GetState())
	require.Equal(t, leaving, got[1].GetState())
	require.True(t, got[1].GetEngine())
	require.EqualValues(t, 3, got[1].GetSlots())
	require.Equal(t, ready, newest.targets[1].GetState(), "the lists themselves stay as they are")
}
