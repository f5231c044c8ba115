package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// listSink records the merged list.
type listSink struct {
	sink
	list []*wire.Target
}

func (s *listSink) UpdateTargets(list []*wire.Target) { s.list = list }

// TestListChanges guards against a list that differs from the published one because changes were applied to another
// version than the one they belong to: responses get lost, replicas restart, lists are odd, and a follower may be
// any number of versions behind.
func TestListChanges(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		size := []int{3, 80, 400}[seed%3]
		now := func() time.Duration { return 0 }
		out := &listSink{}
		f := New(logr.Discard(), timertest.New(), nil, "i", "d", nil, out)
		f.evacuation.settled = true // lists are passed on at once
		p, list := control.NewPublisher(1), map[string]*wire.Target{}
		for step := range 200 {
			changes := random.IntN(4)
			if step == 0 {
				changes = size
			}
			for range changes {
				changeList(random, list, 2*size)
			}
			published := listed(random, list)
			if random.IntN(60) == 0 {
				p = control.NewPublisher(uint64(step + 2)) // the replica has restarted
			}
			p.PublishTargets(published, changes > 0, 0)
			if random.IntN(3) == 0 {
				continue // the follower does not ask
			}
			request := &wire.FollowRequest{}
			f.addVersions("replica", request)
			answer := p.Await(context.Background(), request, 0, now)
			if random.IntN(4) == 0 {
				continue // the response is lost
			}
			f.updateList("replica", answer)
			require.Equal(t, described(published), described(f.lists["replica"].targets), "seed %d step %d", seed, step)
			require.Equal(t, described(published), described(out.list), "seed %d step %d", seed, step)
		}
	}
}

func changeList(random *rand.Rand, list map[string]*wire.Target, ids int) {
	id := fmt.Sprint("t", random.IntN(ids))
	switch t := list[id]; {
	case t == nil:
		list[id] = newTarget(id, wire.TargetState_TARGET_STATE_READY)
	case random.IntN(2) == 0:
		delete(list, id)
	default:
		list[id] = newTarget(id, wire.TargetState_TARGET_STATE_LEAVING)
	}
}

// listed returns a list, with an identity at a second address now and then.
func listed(random *rand.Rand, list map[string]*wire.Target) []*wire.Target {
	var out []*wire.Target
	for _, t := range list {
		out = append(out, t)
	}
	if random.IntN(5) == 0 && len(out) > 0 {
		odd := newTarget(out[0].GetId(), wire.TargetState_TARGET_STATE_READY)
		odd.Address = "10.0.0.2:1"
		out = append(out, odd)
	}
	return out
}

func described(list []*wire.Target) []string {
	out := make([]string, 0, len(list))
	for _, t := range list {
		out = append(out, fmt.Sprint(t.GetId(), t.GetAddress(), t.GetState()))
	}
	slices.Sort(out)
	return out
}

// TestListChangesToAnotherList checks that changes to a version that is not held lead to a request for the whole
// list.
func TestListChangesToAnotherList(t *testing.T) {
	f := New(logr.Discard(), timertest.New(), nil, "i", "d", nil, &listSink{})
	f.updateList("replica", &wire.FollowResponse{ListEpoch: 1, ListVersion: 9, ListChanged: true, ChangesSince: 8})
	request := &wire.FollowRequest{}
	f.addVersions("replica", request)
	require.Zero(t, request.GetListVersion())
}

// TestWarmUpOfChangedLists checks that the warm-up time of a target goes on to shrink while only other targets
// change: each change passes the merged list on.
func TestWarmUpOfChangedLists(t *testing.T) {
	clock := timertest.New()
	out := &listSink{}
	f := New(logr.Discard(), clock, nil, "i", "d", nil, out)
	f.evacuation.settled = true // lists are passed on at once
	cold := newTarget("cold", wire.TargetState_TARGET_STATE_READY)
	cold.ColdMs = 9000
	f.updateList("replica", &wire.FollowResponse{ListEpoch: 1, ListVersion: 1, ListChanged: true, Targets: []*wire.Target{cold}})
	f.lists["replica"].readAt -= 4 * time.Second
	f.lists["replica"].warmAt -= 4 * time.Second
	f.updateList("replica", &wire.FollowResponse{
		ListEpoch: 1, ListVersion: 2, ListChanged: true, ChangesSince: 1, Targets: []*wire.Target{newTarget("b", wire.TargetState_TARGET_STATE_READY)},
	})
	require.InDelta(t, 5000, out.list[0].GetColdMs(), 200)
}
