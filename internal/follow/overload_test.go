package follow_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/follow"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// slowReplica answers polls late and without uses while it is behind.
type slowReplica struct {
	behind atomic.Bool
	polls  atomic.Int64
}

const slowAnswer = 2500 * time.Millisecond

func (r *slowReplica) Follow(request *wire.FollowRequest, resp *wire.FollowResponse) error {
	r.polls.Add(1)
	resp.Fresh, resp.Leader, resp.LeaderAddress, resp.Followers, resp.IntervalMs = true, true, "10.0.0.1:7000", 300, 300
	resp.ListEpoch, resp.ListVersion = 1, 1
	if request.GetListVersion() == 0 {
		resp.ListChanged = true
	}
	if r.behind.Load() {
		resp.Shed, resp.IntervalMs = true, 2000
		time.Sleep(slowAnswer)
		return nil
	}
	resp.UsesEpoch, resp.UsesVersion, resp.UsesChanges = 1, 1, request.GetUsesVersion() > 0
	return nil
}

// countingSink counts the answers with uses.
type countingSink struct {
	recordingSink
	uses atomic.Int64
}

func (s *countingSink) UpdatePeerUses([]*wire.Use, int) { s.uses.Add(1) }
func (s *countingSink) ChangePeerUses([]*wire.Use, int) { s.uses.Add(1) }
func (s *countingSink) UpdateSubsets(int)               {}

// TestRecoveryFromShedding guards against the collapse at 300 instances: polls of a saturated replica ran into their time
// limit, connections were broken and made anew, which cost the replica more than the answers. The instance must keep its
// connection, ask less often, and have uses again soon after the replica has recovered.
func TestRecoveryFromShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const overload, recovery = 60 * time.Second, 5 * time.Second
		ctx, stop := context.WithCancel(context.Background())
		network := peertest.New()
		r := &slowReplica{}
		server := peer.NewServer(logr.Discard(), peer.PlainCredentials(), &peer.Traffic{})
		server.Register("Control", func(peer.Caller) any { return r })
		serverDone := server.Serve(ctx, network.Listen("10.0.0.1:7000"))
		var dials atomic.Int64
		dial := network.DialFrom("10.0.1.1")
		pool := peer.NewPool(peer.PlainCredentials(peer.WithDial(func(ctx context.Context, kind, address string) (net.Conn, error) {
			dials.Add(1)
			return dial(ctx, kind, address)
		})), &peer.Traffic{})
		sink := &countingSink{recordingSink: recordingSink{clock: timertest.New()}}
		f := follow.New(logr.Discard(), timertest.New(), pool, "i", "d", func() []string { return []string{"10.0.0.1:7000"} }, sink)
		f.UseSubsets(sink)
		done := f.Run(ctx)
		time.Sleep(5 * time.Second)
		require.NotZero(t, sink.uses.Load())

		r.behind.Store(true)
		time.Sleep(5 * time.Second) // until what was in progress has ended
		dials.Store(0)
		polls := r.polls.Load()
		time.Sleep(overload)
		require.LessOrEqual(t, dials.Load(), int64(4), "connections")
		require.LessOrEqual(t, r.polls.Load()-polls, int64(overload/slowAnswer)+1, "polls")

		r.behind.Store(false)
		uses := sink.uses.Load()
		time.Sleep(slowAnswer + recovery)
		require.Greater(t, sink.uses.Load(), uses)
		stop()
		require.NoError(t, <-done)
		require.NoError(t, <-serverDone)
		pool.Close()
		time.Sleep(time.Minute)
	})
}
