package follow

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

func newTarget(id string, state wire.TargetState) *wire.Target {
	return &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", State: state, Engine: true, Slots: 3}
}

// TestMerge checks that the newest list determines which targets exist, that any list which
// is at most maxListLag older can mark a target as leaving, and that an older list cannot.
func TestMerge(t *testing.T) {
	const ready, leaving = wire.TargetState_TARGET_STATE_READY, wire.TargetState_TARGET_STATE_LEAVING
	old := &targetList{readAt: 0, targets: []*wire.Target{newTarget("a", leaving), newTarget("b", leaving)}}
	recent := &targetList{readAt: 9 * time.Second, targets: []*wire.Target{newTarget("a", ready), newTarget("b", leaving), newTarget("gone", ready)}}
	newest := &targetList{readAt: 10 * time.Second, targets: []*wire.Target{newTarget("a", ready), newTarget("b", ready)}}
	got := mergeLists(map[string]*targetList{"1": old, "2": recent, "3": newest})
	require.Len(t, got, 2)
	require.Equal(t, ready, got[0].GetState())
	require.Equal(t, leaving, got[1].GetState())
	require.True(t, got[1].GetEngine())
	require.EqualValues(t, 3, got[1].GetSlots())
	require.Equal(t, ready, newest.targets[1].GetState(), "the input lists are not modified")
}

// TestMergeOddEntry checks that an entry with the identity of a sound target, at another address, does not
// make that one look as if it were leaving, and that a list is checked again when it is received.
func TestMergeOddEntry(t *testing.T) {
	const ready, leaving = wire.TargetState_TARGET_STATE_READY, wire.TargetState_TARGET_STATE_LEAVING
	odd := newTarget("a", leaving)
	odd.Address = "10.0.0.9:1"
	got := mergeLists(map[string]*targetList{"1": {readAt: time.Second, targets: []*wire.Target{newTarget("a", ready), odd}}})
	require.Equal(t, ready, got[0].GetState())
	require.Equal(t, leaving, got[1].GetState())
	unusable := newTarget("b", ready)
	unusable.Address = "10.0.0.1:0"
	f := &Follower{log: logr.Discard()}
	require.Len(t, f.checkTargets("replica", []*wire.Target{newTarget("a", ready), unusable, newTarget("c", ready)}), 2)
}
