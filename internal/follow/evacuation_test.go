package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	unspecified = wire.EvacuationView_EVACUATION_VIEW_UNSPECIFIED
	behind      = wire.EvacuationView_EVACUATION_VIEW_BEHIND
	cutOff      = wire.EvacuationView_EVACUATION_VIEW_CUT_OFF
	current     = wire.EvacuationView_EVACUATION_VIEW_CURRENT
)

// manualClock is a time service whose time a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

func (c *manualClock) Subscribe(context.Context, time.Duration) <-chan time.Duration { return nil }

// evacuationSink records the calls of a follower in order.
type evacuationSink struct {
	sink
	index   uint64
	domains []string
	calls   []string
}

func (s *evacuationSink) UpdateEvacuation(index uint64, orders []*wire.OrderStep) {
	s.index, s.domains = index, nil
	for _, o := range orders {
		s.domains = append(s.domains, control.DomainOf(o))
	}
	s.calls = append(s.calls, "orders")
}

func (s *evacuationSink) UpdateTargets([]*wire.Target) { s.calls = append(s.calls, "targets") }

// newEvacuationFollower returns a follower that is not run, with its clock and sink.
func newEvacuationFollower() (*Follower, *manualClock, *evacuationSink) {
	clock, sink := &manualClock{now: time.Minute}, &evacuationSink{}
	pool := peer.NewPool(peer.PlainCredentials(), &peer.Traffic{})
	return New(logr.Discard(), clock, pool, "i", "d", func() []string { return nil }, sink), clock, sink
}

// stateAt returns the orders in force as of a record, of which each one is about another domain.
func stateAt(index uint64) []*wire.OrderStep {
	if index%4 == 0 {
		return nil // all domains are restored
	}
	return []*wire.OrderStep{control.NewDomainOrder(fmt.Sprint("zone-", index), true, "operator", "")}
}

// answer returns a replica's answer with its first list.
func answer(view wire.EvacuationView, index uint64) *wire.FollowResponse {
	return &wire.FollowResponse{
		Fresh: true, ListEpoch: 1, ListVersion: 1, ListChanged: true, Targets: []*wire.Target{newTarget("t", wire.TargetState_TARGET_STATE_READY)},
		EvacuationView: view, EvacuationIndex: index, Evacuated: stateAt(index),
	}
}

// TestOrdersOfReplicasInAnyOrder guards against an instance going back to older orders when replicas that know
// different parts of the log answer in any order, late answers and replicas that were restarted among them.
func TestOrdersOfReplicasInAnyOrder(t *testing.T) {
	const seeds, answers, replicas = 500, 60, 4
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 23))
		f, _, sink := newEvacuationFollower()
		var known [replicas]uint64
		highest := uint64(0)
		for range answers {
			i := random.IntN(replicas)
			if known[i] += uint64(random.IntN(4)); random.IntN(10) == 0 {
				known[i] /= 2 // restarted, and not caught up
			}
			resp := answer([]wire.EvacuationView{behind, current}[random.IntN(2)], known[i])
			if known[i] <= f.evacuation.index {
				resp.Evacuated = nil // a replica does not send what the instance has
			}
			f.handleResponse(fmt.Sprint("10.0.0.", i+1, ":1"), resp)
			highest = max(highest, known[i])
			require.Equal(t, highest, sink.index, "seed %d", seed)
			if highest%4 == 0 {
				require.Empty(t, sink.domains, "seed %d", seed)
			} else {
				require.Equal(t, []string{fmt.Sprint("zone-", highest)}, sink.domains, "seed %d", seed)
			}
		}
	}
}

// TestListWaitsForOrders guards against an instance that starts and sends requests to an evacuated domain, because the
// first replica that answers has restarted and not applied its log: its state is as of a snapshot from before the
// order, and it may have heard from its leader.
func TestListWaitsForOrders(t *testing.T) {
	f, clock, sink := newEvacuationFollower()
	f.handleResponse("10.0.0.1:1", answer(behind, 0))
	require.Empty(t, sink.calls)
	clock.now += settleTimeout / 2
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, EvacuationView: behind})
	f.handleResponse("10.0.0.2:1", answer(unspecified, 0))
	require.Empty(t, sink.calls, "a replica of an earlier build knows no orders, and another one does")
	f.handleResponse("10.0.0.3:1", answer(behind, 5))
	require.Equal(t, []string{"orders"}, sink.calls)
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, EvacuationView: current, EvacuationIndex: 9, Evacuated: stateAt(9)})
	require.Equal(t, []string{"orders", "orders", "targets"}, sink.calls, "the list that was held back follows the orders")
	require.Equal(t, []string{"zone-9"}, sink.domains)
	f.handleResponse("10.0.0.2:1", answer(behind, 5))
	require.Equal(t, []string{"orders", "orders", "targets"}, sink.calls, "the same list is not passed on again")
	changed := answer(behind, 5)
	clock.now += time.Second // of two lists of the same age either may count as the newest
	changed.ListVersion, changed.Targets = 2, append(changed.Targets, newTarget("u", wire.TargetState_TARGET_STATE_READY))
	f.handleResponse("10.0.0.2:1", changed)
	require.Equal(t, []string{"orders", "orders", "targets", "targets"}, sink.calls)
	require.EqualValues(t, 9, sink.index)
}

// TestListWithoutCurrentReplica guards against an instance that never starts because the replicas have lost their
// majority, for a moment or for good, or are all of an earlier build.
func TestListWithoutCurrentReplica(t *testing.T) {
	for _, c := range []struct {
		view wire.EvacuationView
		wait time.Duration
	}{{behind, settleTimeout}, {cutOff, settleEarly}, {unspecified, settleEarly}} {
		f, clock, sink := newEvacuationFollower()
		f.handleResponse("10.0.0.1:1", answer(c.view, 0))
		clock.now += c.wait - 1
		f.handleResponse("10.0.0.2:1", answer(c.view, 0))
		require.Empty(t, sink.calls)
		clock.now++
		f.handleResponse("10.0.0.2:1", &wire.FollowResponse{EvacuationView: c.view})
		require.Equal(t, []string{"targets"}, sink.calls)
	}
}

// TestStoredOrdersAreBelieved guards against instances that wait for a leader after a restart of everything, and against a
// start on the word of replicas that have lost their disks.
func TestStoredOrdersAreBelieved(t *testing.T) {
	stored := func(index uint64) *wire.FollowResponse {
		out := answer(behind, index)
		out.DocumentNumber = 7
		return out
	}
	f, _, sink := newEvacuationFollower()
	f.handleResponse("10.0.0.1:1", answer(behind, 0))
	f.handleResponse("10.0.0.2:1", answer(behind, 0))
	f.handleResponse("10.0.0.3:1", stored(4))
	f.handleResponse("10.0.0.3:1", stored(4))
	require.Equal(t, []string{"orders"}, sink.calls, "two have no configuration, and one is not enough")
	f.handleResponse("10.0.0.4:1", stored(5))
	require.Equal(t, []string{"orders", "orders", "targets"}, sink.calls)
	require.Equal(t, []string{"zone-5"}, sink.domains)

	alone, clock, sink := newEvacuationFollower()
	alone.handleResponse("10.0.0.3:1", stored(4))
	clock.now += settleEarly
	alone.handleResponse("10.0.0.3:1", stored(4))
	require.Equal(t, []string{"orders", "targets"}, sink.calls, "one that is alone is believed after a while")
}
