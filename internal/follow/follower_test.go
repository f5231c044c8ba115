package follow

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// replica is a stub of one of several control replicas, of which one leads.
type replica struct {
	address  string
	mu       *sync.Mutex // guards the state that the replicas share
	leader   *string
	all      *[]string
	reported map[string]int // number of polls with uses that were sent to the leader, by instance
	polls    map[string]int // number of polls, by instance
}

func (r *replica) Follow(request *wire.FollowRequest, resp *wire.FollowResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls[request.GetInstance()]++
	resp.Replicas = *r.all
	resp.Fresh = true
	resp.LeaderAddress, resp.Leader = *r.leader, *r.leader == r.address
	if resp.GetLeader() && len(request.GetUses()) > 0 {
		r.reported[request.GetInstance()]++
	}
	return nil
}

type sink struct{}

func (sink) Number() uint64                             { return 0 }
func (sink) Install(*wire.Document) error               { return nil }
func (sink) UpdateTargets([]*wire.Target)               {}
func (sink) UpdateEvacuation(uint64, []*wire.OrderStep) {}
func (sink) UpdateLoads([]*wire.Load)                   {}
func (sink) LocalUses() []*wire.Use                     { return []*wire.Use{{Target: "t"}} }
func (sink) UpdatePeerUses([]*wire.Use, int)            {}
func (sink) Evidence(uint64) (*wire.Evidence, uint64)   { return nil, 0 }
func (sink) MergeEvidence(*wire.Evidence)               {}

// TestLeaderIsFollowed checks that the leader is always among the three followed of eight
// replicas, also after a change of leader, because only the leader receives the uses of all
// instances. In a test run with enlarged sites, half of the instances did not follow the
// leader.
func TestLeaderIsFollowed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var all []string
	leader := ""
	reported, polls := map[string]int{}, map[string]int{}
	credentials, traffic := peer.PlainCredentials(), &peer.Traffic{}
	for range 8 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &replica{address: listener.Addr().String(), mu: &mu, leader: &leader, all: &all, reported: reported, polls: polls}
		all = append(all, r.address)
		server := peer.NewServer(logr.Discard(), credentials, traffic)
		server.Register("Control", func(peer.Caller) any { return r })
		server.Serve(ctx, listener)
	}
	for _, next := range []string{all[7], all[0], all[4]} {
		mu.Lock()
		leader = next
		clear(reported)
		mu.Unlock()
		if next == all[7] {
			for i := range 4 {
				f := New(logr.Discard(), timer.New(), peer.NewPool(credentials, traffic), fmt.Sprint("i", i), "d", func() []string { return all[:3] }, sink{})
				f.Run(ctx)
			}
		}
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(reported) == 4
		}, 20*time.Second, 10*time.Millisecond)
	}
}

// TestLeaderUnreachable checks that an unreachable leader, which the other replicas still
// name, does not keep an instance from following the other replicas. In TestDeployment, after
// the loss of a leader, all three goroutines of a follower kept retrying the lost replica.
func TestLeaderUnreachable(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const minPolls = 2000 // not reached in time if each poll is followed by a failed call
	var mu sync.Mutex
	all := []string{"127.0.0.1:1"} // nothing listens there
	leader := all[0]
	polls := map[string]int{}
	credentials, traffic := peer.PlainCredentials(), &peer.Traffic{}
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &replica{address: listener.Addr().String(), mu: &mu, leader: &leader, all: &all, reported: map[string]int{}, polls: polls}
		all = append(all, r.address)
		server := peer.NewServer(logr.Discard(), credentials, traffic)
		server.Register("Control", func(peer.Caller) any { return r })
		server.Serve(ctx, listener)
	}
	f := New(logr.Discard(), timer.New(), peer.NewPool(credentials, traffic), "i", "d", func() []string { return all }, sink{})
	f.Run(ctx)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return polls["i"] >= minPolls
	}, 20*time.Second, 10*time.Millisecond)
}

// TestLeaderBehind checks that no goroutine releases a current replica to follow a leader
// that is cut off: such a leader responds at once that it is behind, and the other replicas
// still name it as the leader. In the test run hunt-c641-15 (deployment kupa), a gateway had an
// old configuration 3.5 s after a new one was acknowledged, because all three goroutines
// polled the old leader in turn.
func TestLeaderBehind(t *testing.T) {
	pool := peer.NewPool(peer.PlainCredentials(), &peer.Traffic{})
	f := New(logr.Discard(), timer.New(), pool, "i", "d", func() []string { return nil }, sink{})
	current := &wire.FollowResponse{Fresh: true, Replicas: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, LeaderAddress: "10.0.0.1:1"}
	f.handleResponse("10.0.0.2:1", current)
	require.Equal(t, "10.0.0.1:1", f.claim(0), "the leader is followed first")
	require.Equal(t, "10.0.0.2:1", f.claim(0))
	require.Equal(t, "10.0.0.3:1", f.claim(0))
	require.False(t, f.needsLeader())

	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{})
	f.release("10.0.0.1:1")
	require.False(t, f.needsLeader(), "the replica no longer leads")
	f.handleResponse("10.0.0.2:1", current)
	require.False(t, f.needsLeader(), "the other replicas have not detected the change yet")
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Leader: true, LeaderAddress: "10.0.0.1:1"})
	require.False(t, f.needsLeader(), "a claim to lead without a lease is ignored")

	f.release("10.0.0.3:1")
	f.handleResponse("10.0.0.2:1", &wire.FollowResponse{Fresh: true, LeaderAddress: "10.0.0.3:1"})
	require.True(t, f.needsLeader())
	require.Equal(t, "10.0.0.3:1", f.claim(0))
}
