package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const largeService = 400

// newSubsetService returns the service of a replica that lists targets.
func newSubsetService(t *testing.T, targets int) *Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	dir, err := storage.NewDir(t.TempDir())
	require.NoError(t, err)
	node := NewNode(logr.Discard(), dir, timertest.New(), noTransport{}, config.NewStore(), "r", 1, WithPublisher(NewPublisher(7)))
	s := NewService(ctx, node, config.NewStore(), &manualClock{}, peer.NewPool(peer.PlainCredentials(), &peer.Traffic{}), inifile.Peer{})
	s.publisher.PublishTargets(subsetTargets(0, targets), true, 0)
	return s
}

func subsetTargets(from, count int) []*wire.Target {
	var out []*wire.Target
	for i := from; i < from+count; i++ {
		out = append(out, &wire.Target{Id: fmt.Sprint("t", i), Service: "s", Address: "10.0.0.1:1", FailureDomain: benchDomain(i), State: wire.TargetState_TARGET_STATE_READY})
	}
	return out
}

// subsetFollower is what a follower knows of uses and loads.
type subsetFollower struct {
	request *wire.FollowRequest
	uses    map[string]*wire.Use
	loads   map[string]uint32
	told    map[string]bool
}

func newSubsetFollower(instances int) *subsetFollower {
	return &subsetFollower{
		request: &wire.FollowRequest{Instance: "i", FailureDomain: benchDomain(0), Paced: true, SubsetInstances: uint32(instances)},
		uses:    map[string]*wire.Use{}, loads: map[string]uint32{}, told: map[string]bool{},
	}
}

// exchange asks the leader, and receives the answer unless it is lost. It returns its size.
func (f *subsetFollower) exchange(s *Service, bytesPerSecond uint32, lost bool) int {
	answer := &wire.FollowResponse{Leader: true, ListEpoch: 7, BytesPerSecond: bytesPerSecond}
	s.addUsesAndLoadsWithin(f.request, answer)
	if lost {
		return proto.Size(answer)
	}
	if !answer.GetUsesChanges() {
		clear(f.uses)
	}
	for _, u := range answer.GetOthers() {
		f.uses[u.GetTarget()], f.told[u.GetTarget()] = u, true
	}
	for _, l := range answer.GetLoads() {
		f.loads[l.GetTarget()], f.told[l.GetTarget()] = l.GetRunning(), true
	}
	f.request.UsesEpoch, f.request.UsesVersion = answer.GetUsesEpoch(), answer.GetUsesVersion()
	return proto.Size(answer)
}

// TestSubsetUses guards against a follower whose uses and loads stay wrong after answers were lost, targets changed or the
// bound in bytes left some out, and against answers over that bound.
func TestSubsetUses(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 9))
		s := newSubsetService(t, largeService)
		clock := s.timers.(*manualClock)
		f := newSubsetFollower(300)
		bound, received := uint32(2000), 0
		if seed%4 == 0 {
			bound = 0
		}
		other := func() []*wire.Use {
			var out []*wire.Use
			for _, i := range random.Perm(largeService)[:40] {
				out = append(out, &wire.Use{Target: fmt.Sprint("t", i), Requests: 1 + random.Uint32N(3)})
			}
			return out
		}
		step := func(lost bool) {
			clock.now += 300 * time.Millisecond
			received += f.exchange(s, bound, lost)
		}
		for round := range 60 {
			s.uses.update(fmt.Sprint("other", random.IntN(4)), other(), clock.now)
			s.uses.update("i", other()[:5], clock.now)
			s.publisher.PublishLoads([]*wire.Load{{Target: fmt.Sprint("t", random.IntN(largeService)), Running: random.Uint32N(9)}}, clock.now)
			if random.IntN(10) == 0 {
				s.publisher.PublishTargets(subsetTargets(round, largeService), true, clock.now)
			}
			step(random.IntN(5) == 0)
		}
		if bound > 0 {
			answers := 60
			require.LessOrEqual(t, received, int(float64(bound)*(clock.now+maxAllowanceTime).Seconds())+answers*(minAnswerBytes+64), "seed %d", seed)
		}
		settle(t, s, f, step, seed)
	}
}

// settle lets the follower be told of everything and compares. Uses that nobody reports any more expire meanwhile.
func settle(t *testing.T, s *Service, f *subsetFollower, step func(bool), seed uint64) {
	t.Helper()
	clock := s.timers.(*manualClock)
	reported := []*wire.Use{{Target: "t100", Requests: 5}, {Target: "t200", Requests: 2}}
	for range 60 {
		s.uses.update("other0", reported, clock.now)
		step(false)
	}
	want := map[string]uint32{}
	members := map[string]bool{}
	for _, m := range s.subsets.byInstance["i"].targets {
		members[m.id] = true
	}
	for _, u := range reported {
		if members[u.GetTarget()] {
			want[u.GetTarget()] = u.GetRequests()
		}
	}
	got := map[string]uint32{}
	for id, u := range f.uses {
		if members[id] && u.GetRequests() > 0 {
			got[id] = u.GetRequests()
		}
	}
	require.Equal(t, want, got, "seed %d", seed)
	for id, r := range s.publisher.loads {
		if members[id] {
			require.Equal(t, r.load.GetRunning(), f.loads[id], "seed %d", seed)
		}
	}
}

// TestFollowerOfEarlierBuild checks that a request without the new fields gets the whole list, and the uses and loads of
// all targets, each time.
func TestFollowerOfEarlierBuild(t *testing.T) {
	s := newSubsetService(t, largeService)
	s.uses.update("other", []*wire.Use{{Target: "t1", Requests: 1}, {Target: "t2", Requests: 1}}, 0)
	s.publisher.PublishLoads([]*wire.Load{{Target: "t1"}, {Target: "t399"}}, 0)
	for range 2 {
		request := &wire.FollowRequest{Instance: "i", ListEpoch: 7}
		answer := s.publisher.Await(context.Background(), request, 0, s.timers.Now)
		answer.Leader = true
		s.addUsesAndLoads(request, answer)
		require.Len(t, answer.GetTargets(), largeService)
		require.Len(t, answer.GetOthers(), 2)
		require.Len(t, answer.GetLoads(), 2)
		require.Zero(t, answer.GetChangesSince())
		require.Empty(t, answer.GetCompressedList())
		require.Zero(t, answer.GetIntervalMs())
		require.False(t, answer.GetUsesChanges())
	}
}

// TestSmallServicesWhole checks that with services of up to 96 targets an instance gets uses and loads of all targets.
func TestSmallServicesWhole(t *testing.T) {
	s := newSubsetService(t, 96)
	s.uses.update("other", []*wire.Use{{Target: "t1", Requests: 1}}, 0)
	s.publisher.PublishLoads([]*wire.Load{{Target: "t1"}, {Target: "t95"}}, 0)
	for range 2 {
		answer := &wire.FollowResponse{Leader: true, Followers: 100}
		s.addUsesAndLoads(&wire.FollowRequest{Instance: "i", Paced: true, SubsetInstances: 96}, answer)
		require.Len(t, answer.GetOthers(), 1)
		require.Len(t, answer.GetLoads(), 2)
		require.Zero(t, answer.GetIntervalMs())
		require.False(t, answer.GetUsesChanges())
	}
}

// TestShed checks that a replica that is behind leaves out uses and loads and says so, that a follower gets some now and
// then, and that the list is not affected.
func TestShed(t *testing.T) {
	s := newSubsetService(t, largeService)
	clock := s.timers.(*manualClock)
	for range 100 {
		s.pace.observe(time.Second)
	}
	f := newSubsetFollower(300)
	told := 0
	for range 100 {
		clock.now += 100 * time.Millisecond
		answer := &wire.FollowResponse{Leader: true, ListEpoch: 7, Followers: 300}
		s.addUsesAndLoads(f.request, answer)
		require.NotZero(t, answer.GetIntervalMs())
		if !answer.GetShed() {
			told++
			f.request.UsesEpoch, f.request.UsesVersion = answer.GetUsesEpoch(), answer.GetUsesVersion()
		}
	}
	require.InDelta(t, 10*time.Second/shedInterval, told, 2)
	require.EqualValues(t, 100-told, s.Shed())
	changed := s.publisher.Await(context.Background(), &wire.FollowRequest{Paced: true, TakesChanges: true}, 0, clock.Now)
	require.True(t, changed.GetListChanged())
}
