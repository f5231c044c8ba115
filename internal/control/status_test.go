package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestListWhileLogIsLate guards against a leaving target that stays unknown because the log does not answer, such as while
// a disk is slow: the list is answered, at first with the leader as before and then without one.
func TestListWhileLogIsLate(t *testing.T) {
	dir, err := storage.NewDir(t.TempDir())
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		const address = "127.0.0.1:1"
		voters := &wire.Membership{Replicas: []*wire.Replica{{Id: address, Name: address, Address: address}}}
		clock := timertest.New()
		node := NewNode(logr.Discard(), dir, clock, noTransport{}, config.NewStore(), address, 1, WithInitialVoters(voters), WithPublisher(NewPublisher(1)))
		done := node.Run(ctx)
		s := NewService(ctx, node, config.NewStore(), clock, peer.NewPool(peer.PlainCredentials(), &peer.Traffic{}), inifile.Peer{Name: address})
		s.self = address
		time.Sleep(5 * time.Second)
		follow := func() *wire.FollowResponse {
			answer := &wire.FollowResponse{}
			require.NoError(t, s.follow(&wire.FollowRequest{Instance: "i"}, answer))
			return answer
		}
		require.True(t, follow().GetLeader())

		release := make(chan struct{})
		blocked := make(chan error, 1)
		go func() { blocked <- node.Read(ctx, false, func(*replog.Core, *State) { <-release }) }()
		synctest.Wait()
		s.publisher.PublishTargets([]*wire.Target{newLeaving()}, true, clock.Now())
		time.Sleep(2 * statusValid)
		first := follow()
		require.True(t, first.GetLeader(), "a short delay is no reason to leave the leader")
		require.Len(t, first.GetTargets(), 1)
		time.Sleep(lateStatusValid)
		later := follow()
		require.False(t, later.GetFresh())
		require.False(t, later.GetLeader())
		require.Len(t, later.GetTargets(), 1)

		close(release)
		require.NoError(t, <-blocked)
		time.Sleep(lateValid)
		require.NotEmpty(t, follow().GetReplicas())
		stop()
		require.NoError(t, <-done)
		time.Sleep(time.Second)
	})
}

func newLeaving() *wire.Target {
	return &wire.Target{Id: "t", Service: "s", Address: "10.0.0.1:1", State: wire.TargetState_TARGET_STATE_LEAVING}
}
