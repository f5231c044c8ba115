package follow

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// heardQueued records what an instance hears of requests that wait elsewhere.
type heardQueued struct {
	noQueueing
	heard [][]*wire.Queued
}

func (q *heardQueued) UpdatePeersQueued(waiting []*wire.Queued) { q.heard = append(q.heard, waiting) }

// TestLeaderOfEarlierBuildSumsNoQueues guards against an instance that takes the answer of a leader which does not know
// queues, or of a replica that does not lead, for a statement that nothing waits elsewhere.
func TestLeaderOfEarlierBuildSumsNoQueues(t *testing.T) {
	q := &heardQueued{}
	f := New(logr.Discard(), timer.New(), peer.NewPool(peer.PlainCredentials(), &peer.Traffic{}), "i", "d", func() []string { return nil }, sink{})
	f.UseQueueing(q)
	waiting := []*wire.Queued{{Service: "s", Requests: 1, Tokens: 1000}}
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, Leader: true})
	f.handleResponse("10.0.0.2:1", &wire.FollowResponse{Fresh: true, SumsQueued: true, OthersQueued: waiting})
	require.Empty(t, q.heard)
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, Leader: true, SumsQueued: true, OthersQueued: waiting})
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, Leader: true, SumsQueued: true})
	require.Equal(t, [][]*wire.Queued{waiting, nil}, q.heard)
}
