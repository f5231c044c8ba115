package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// newEngines returns a balancer with engines that report so many used of 27,000 tokens at 10 s.
func newEngines(seed uint64, used ...uint32) *balance.Balancer {
	b := balance.New("d", rand.New(rand.NewPCG(seed, 1)))
	var list []*wire.Target
	var loads []*wire.Load
	for i, u := range used {
		id := fmt.Sprintf("e%d", i)
		list = append(list, &wire.Target{Id: id, Service: "s", Address: id, FailureDomain: "d", Slots: 24, State: wire.TargetState_TARGET_STATE_READY, Engine: true})
		loads = append(loads, &wire.Load{Target: id, UsedTokens: u, CapacityTokens: 27000})
	}
	b.Update(list, 9*time.Second)
	b.UpdatePeerUses(nil, 1, 9*time.Second)
	b.UpdateLoads(loads, 10*time.Second)
	return b
}

var long = balance.Demand{Tokens: 3376, Prompt: 3000}

// TestRoomForUrgent checks that less urgent requests leave room for urgent ones, and that a full engine is not chosen.
func TestRoomForUrgent(t *testing.T) {
	short := balance.Demand{Tokens: 2204, Prompt: 2200, Urgent: true}
	for _, c := range []struct {
		used        uint32
		long, short bool
	}{{6 * 3376, true, true}, {7 * 3376, false, true}, {26000, false, false}} {
		b := newEngines(1, c.used)
		target, wait := b.ChooseWithRoom("s", long, nil, 10*time.Second)
		require.Equal(t, c.long, target != nil, "used %d", c.used)
		require.Equal(t, !c.long, wait)
		target, _ = b.ChooseWithRoom("s", short, nil, 10*time.Second)
		require.Equal(t, c.short, target != nil, "used %d", c.used)
	}
}

// TestRoomWithoutLeader guards against instances that all send what waits to the same free memory while they do not
// hear of each other.
func TestRoomWithoutLeader(t *testing.T) {
	const instances, engines = 80, 60
	free, sent := 0.0, 0
	for i := range instances {
		var used []uint32
		for e := range engines {
			used = append(used, uint32(10000+300*(e%50)))
		}
		b := newEngines(uint64(i), used...)
		b.UpdatePeerUses(nil, instances, 5*time.Second) // before the reports, and nothing since
		for n := range 5 {                              // the next one is offered capacity after the one before it was sent, as by a queue
			b.CountArrival("s", 10*time.Second)
			d := long
			d.Blocked, d.Key = 5-n, uint64(i*10+n)
			target, _ := b.ChooseWithRoom("s", d, nil, 10*time.Second)
			if target == nil {
				break
			}
			sent++
			b.Begin(target, d.Tokens, 10*time.Second)
		}
		if i == 0 {
			for _, u := range used {
				free += max(0, 27000-float64(u))
			}
		}
	}
	t.Logf("%d sent, room for %.0f", sent, free/float64(long.Tokens))
	require.Less(t, float64(sent*long.Tokens), free)
	require.Greater(t, float64(sent*long.Tokens), free/8, "free memory is used")
}

// TestRoomUnknown guards against requests that wait although nothing is known of the engines.
func TestRoomUnknown(t *testing.T) {
	b := newEngines(1, 27000)
	target, wait := b.ChooseWithRoom("s", long, nil, time.Minute)
	require.NotNil(t, target)
	require.False(t, wait)
	target, wait = b.ChooseWithRoom("s", long, []string{"e0"}, 10*time.Second)
	require.Nil(t, target)
	require.False(t, wait)
}

// TestRoomIsKeptForUrgentRequestsElsewhere guards against less urgent requests that take the capacity for which more urgent
// ones wait at other instances.
func TestRoomIsKeptForUrgentRequestsElsewhere(t *testing.T) {
	for _, c := range []struct {
		rank uint32
		at   time.Duration
		wait bool
	}{{0, 10 * time.Second, true}, {2, 10 * time.Second, false}, {0, 5 * time.Second, false}} {
		b := newEngines(1, 20000, 20000)
		b.UpdatePeersQueued([]*wire.Queued{{Service: "s", Rank: c.rank, Requests: 2, Tokens: 4408}}, c.at)
		d := long
		d.Rank = 2
		_, wait := b.ChooseWithRoom("s", d, nil, 10*time.Second)
		require.Equal(t, c.wait, wait, "rank %d, heard of at %v", c.rank, c.at)
	}
}

// TestRoomOfTargetsThatAskToWait guards against requests that are refused although a target that asked to wait takes
// them in time, and against those that wait for it longer than they may.
func TestRoomOfTargetsThatAskToWait(t *testing.T) {
	b := newEngines(1, 1000)
	e := b.ByIdentity("e0")
	b.StateWait(e, time.Second, 10*time.Second)
	probe, _ := b.ChooseWithRoom("s", long, nil, 10*time.Second)
	require.NotNil(t, probe, "one request may be sent at once")
	b.Begin(probe, long.Tokens, 10*time.Second)
	target, wait := b.ChooseWithRoom("s", long, nil, 10*time.Second)
	require.Nil(t, target)
	require.True(t, wait)
	late := long
	late.Missed = true
	_, wait = b.ChooseWithRoom("s", late, nil, 10*time.Second)
	require.False(t, wait)
}
