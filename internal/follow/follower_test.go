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

// replica answers questions as one of several, of which one leads.
type replica struct {
	address string
	mu      *sync.Mutex // guards what the replicas share
	leader  *string
	all     *[]string
	told    map[string]int // uses that instances told the leader
	asked   map[string]int // questions of instances
}

func (r *replica) Follow(request *wire.FollowRequest, answer *wire.FollowResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[request.GetInstance()]++
	answer.Replicas = *r.all
	answer.Fresh = true
	answer.LeaderAddress, answer.Leader = *r.leader, *r.leader == r.address
	if answer.GetLeader() && len(request.GetUses()) > 0 {
		r.told[request.GetInstance()]++
	}
	return nil
}

type sink struct{}

func (sink) Number() uint64                { return 0 }
func (sink) Install(*wire.Document) error  { return nil }
func (sink) UpdateTargets([]*wire.Target)  {}
func (sink) UpdateLoads([]*wire.Load)      {}
func (sink) Uses() []*wire.Use             { return []*wire.Use{{Target: "t"}} }
func (sink) UpdateOthers([]*wire.Use, int) {}

// TestLeaderIsFollowed: of eight replicas, of which three are followed, the leader is
// always one, also after another one leads: it alone learns what all instances have at
// engines. Half of the instances did not follow it once (grown sites).
func TestLeaderIsFollowed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var all []string
	leader := ""
	told, asked := map[string]int{}, map[string]int{}
	credentials, traffic := peer.PlainCredentials(), &peer.Traffic{}
	for range 8 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &replica{address: listener.Addr().String(), mu: &mu, leader: &leader, all: &all, told: told, asked: asked}
		all = append(all, r.address)
		server := peer.NewServer(logr.Discard(), credentials, traffic)
		server.Register("Control", func(peer.Caller) any { return r })
		server.Serve(ctx, listener)
	}
	for _, next := range []string{all[7], all[0], all[4]} {
		mu.Lock()
		leader = next
		clear(told)
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
			return len(told) == 4
		}, 20*time.Second, 10*time.Millisecond)
	}
}

// TestLeaderGone: a leader that is gone does not keep an instance from following the
// others, which still name it: once all three places were busy with the dead one
// (TestDeployment, after a leader was lost).
func TestLeaderGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const questions = 2000 // more than one at a time between failures
	var mu sync.Mutex
	all := []string{"127.0.0.1:1"} // nobody is there
	leader := all[0]
	asked := map[string]int{}
	credentials, traffic := peer.PlainCredentials(), &peer.Traffic{}
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &replica{address: listener.Addr().String(), mu: &mu, leader: &leader, all: &all, told: map[string]int{}, asked: asked}
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
		return asked["i"] >= questions
	}, 20*time.Second, 10*time.Millisecond)
}

// TestLeaderBehind: a leader that is cut off from the other replicas answers at once that
// it is behind, and the others still name it. No follower may give up one of the others
// for it (hunt-c641-15, kupa: a gateway had an old configuration 3.5 s after a new one was
// acknowledged, since all three followers asked the old leader in turn).
func TestLeaderBehind(t *testing.T) {
	pool := peer.NewPool(peer.PlainCredentials(), &peer.Traffic{})
	f := New(logr.Discard(), timer.New(), pool, "i", "d", func() []string { return nil }, sink{})
	current := &wire.FollowResponse{Fresh: true, Replicas: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, LeaderAddress: "10.0.0.1:1"}
	f.learn("10.0.0.2:1", current)
	require.Equal(t, "10.0.0.1:1", f.take(0), "the leader goes first")
	require.Equal(t, "10.0.0.2:1", f.take(0))
	require.Equal(t, "10.0.0.3:1", f.take(0))
	require.False(t, f.lacksLeader())

	f.learn("10.0.0.1:1", &wire.FollowResponse{})
	f.release("10.0.0.1:1")
	require.False(t, f.lacksLeader(), "it leads no more")
	f.learn("10.0.0.2:1", current)
	require.False(t, f.lacksLeader(), "the others have not noticed")
	f.learn("10.0.0.1:1", &wire.FollowResponse{Leader: true, LeaderAddress: "10.0.0.1:1"})
	require.False(t, f.lacksLeader(), "its own word without a lease does not count")

	f.release("10.0.0.3:1")
	f.learn("10.0.0.2:1", &wire.FollowResponse{Fresh: true, LeaderAddress: "10.0.0.3:1"})
	require.True(t, f.lacksLeader())
	require.Equal(t, "10.0.0.3:1", f.take(0))
}
