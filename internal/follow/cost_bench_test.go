package follow

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// BenchmarkListChange measures what a change of two entries of a long list, which each of three replicas reports, costs an
// instance without its balancer.
func BenchmarkListChange(b *testing.B) {
	for _, size := range []int{300, 3000, 7400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := New(logr.Discard(), timertest.New(), nil, "i", "d", nil, sink{})
			replicas := []string{"a", "b", "c"}
			var list []*wire.Target
			for i := range size {
				list = append(list, newTarget(fmt.Sprint("engine-", i), wire.TargetState_TARGET_STATE_READY))
			}
			for _, r := range replicas {
				f.updateList(r, &wire.FollowResponse{ListEpoch: 1, ListVersion: 1, ListChanged: true, Targets: list})
			}
			version := uint64(1)
			for b.Loop() {
				version++
				id := fmt.Sprint("engine-", int(version)%size)
				state := wire.TargetState_TARGET_STATE_LEAVING
				if version/uint64(size)%2 == 1 {
					state = wire.TargetState_TARGET_STATE_READY
				}
				for _, r := range replicas {
					f.updateList(r, &wire.FollowResponse{
						ListEpoch: 1, ListVersion: version, ListChanged: true, ChangesSince: version - 1, Targets: []*wire.Target{newTarget(id, state)},
					})
				}
			}
		})
	}
}
