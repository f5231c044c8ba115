package follow

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestBackoff guards against instances that all connect again and again to a replica that is saturated.
func TestBackoff(t *testing.T) {
	c := &contact{patience: responseMargin}
	for failures := range 20 {
		c.fail(true, 0.5, maxBackoff, 0)
		require.LessOrEqual(t, c.notBefore, maxBackoff)
		if failures > 5 {
			require.Equal(t, maxBackoff, c.notBefore)
		}
	}
	require.Equal(t, maxPatience, c.patience)
	for range 60 {
		c.succeed(5 * time.Millisecond)
	}
	require.Zero(t, c.notBefore)
	require.InDelta(t, responseMargin, c.patience, float64(10*time.Millisecond))
	c.succeed(time.Second)
	require.Equal(t, patienceFactor*time.Second, c.patience, "a replica that has become slow is waited for")
}

// TestPacedRefresher guards against more exchanges than the leader grants: those asked for and the periodic ones together
// stay within one in an interval.
func TestPacedRefresher(t *testing.T) {
	const interval, duration = 300 * time.Millisecond, 30 * time.Second
	r := newRefresher()
	r.setInterval(interval)
	asked := 0
	for now := time.Duration(0); now < duration; now += 10 * time.Millisecond {
		if r.ask(now); len(r.asked) > 0 {
			<-r.asked
			asked++
		}
	}
	require.LessOrEqual(t, asked, int(duration/interval)/periodicShare+maxCredit)
	require.GreaterOrEqual(t, asked, int(duration/interval)/periodicShare-1)
}

// subsetSink records what a follower with subsets is told.
type subsetSink struct {
	sink
	whole, changed int
	instances      []int
}

func (s *subsetSink) UpdatePeerUses([]*wire.Use, int) { s.whole++ }
func (s *subsetSink) ChangePeerUses([]*wire.Use, int) { s.changed++ }
func (s *subsetSink) UpdateSubsets(instances int)     { s.instances = append(s.instances, instances) }

func newSubsetFollower() (*Follower, *subsetSink) {
	out := &subsetSink{}
	f := New(logr.Discard(), timertest.New(), nil, "i", "d", nil, out)
	f.UseSubsets(out)
	return f, out
}

// TestChangesOfUses guards against changes of uses that are applied to the uses that another leader told.
func TestChangesOfUses(t *testing.T) {
	f, out := newSubsetFollower()
	first := &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "a", Followers: 300, UsesEpoch: 1, UsesVersion: 1, IntervalMs: 300}
	f.handleResponse("a", first)
	require.Equal(t, []int{288}, out.instances)
	request := &wire.FollowRequest{}
	f.addVersions("a", request)
	require.EqualValues(t, 1, request.GetUsesVersion())
	require.True(t, request.GetPaced())
	f.handleResponse("b", &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "b", Followers: 300, UsesEpoch: 2, UsesVersion: 1})
	require.Equal(t, 2, out.whole)
	f.handleResponse("a", &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "a", Followers: 300, UsesEpoch: 1, UsesVersion: 2, UsesChanges: true})
	require.Zero(t, out.changed)
	request = &wire.FollowRequest{}
	f.addVersions("a", request)
	require.Zero(t, request.GetUsesVersion(), "all is to be told again")
	f.handleResponse("b", &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "b", Followers: 300, UsesEpoch: 2, UsesVersion: 2, UsesChanges: true})
	require.Equal(t, 1, out.changed)
}

// TestShedKeepsUses checks that a response without uses because the replica is behind leaves what is known in place.
func TestShedKeepsUses(t *testing.T) {
	f, out := newSubsetFollower()
	f.handleResponse("a", &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "a", Followers: 300, Shed: true, IntervalMs: 2000})
	require.Zero(t, out.whole)
	require.Equal(t, periodicShare*2*time.Second, f.usesInterval)
}

// TestLeaderOfEarlierBuild checks that uses from a leader that does not know of changes replace all, at the interval that
// followers choose themselves.
func TestLeaderOfEarlierBuild(t *testing.T) {
	f, out := newSubsetFollower()
	list := []*wire.Target{newTarget("a", wire.TargetState_TARGET_STATE_READY)}
	for range 3 {
		f.handleResponse("a", &wire.FollowResponse{Fresh: true, Leader: true, LeaderAddress: "a", Followers: 300, ListEpoch: 1, ListVersion: 1, ListChanged: true, Targets: list})
	}
	require.Equal(t, 3, out.whole)
	require.Equal(t, 300*time.Millisecond, f.usesInterval)
	require.Len(t, f.lists["a"].targets, 1)
}
