package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// applyOrder applies an order to a state as the record of an index.
func applyOrder(t *testing.T, s *control.State, index uint64, step *wire.OrderStep) {
	t.Helper()
	data, err := proto.Marshal(&wire.Command{OrderStep: step})
	require.NoError(t, err)
	_, err = s.Apply(index, data)
	require.NoError(t, err)
}

// evacuated returns the evacuated failure domains of a state.
func evacuated(s *control.State) []string {
	out := []string{}
	for _, o := range s.Evacuation().Orders() {
		out = append(out, control.DomainOf(o))
	}
	return out
}

// restored returns a state after a snapshot and its restoration.
func restored(t *testing.T, s *control.State) *control.State {
	t.Helper()
	data, err := s.Snapshot()
	require.NoError(t, err)
	out, err := control.RestoreState(data)
	require.NoError(t, err)
	return out
}

// TestDomainOrders guards against an order that is not the last one for its failure domain being in force, against a
// repeated order that changes who evacuated the domain, and against orders that a snapshot loses.
func TestDomainOrders(t *testing.T) {
	s := control.NewState()
	applyOrder(t, s, 3, &wire.OrderStep{Target: "target-1", State: "role serve", Issuer: "replica"})
	applyOrder(t, s, 4, control.NewDomainOrder("b", false, "x", ""))
	require.Zero(t, s.Evacuation().Index(), "a domain without an order is in use")
	applyOrder(t, s, 5, control.NewDomainOrder("b", true, "first", "power"))
	applyOrder(t, s, 7, control.NewDomainOrder("b", true, "second", "network"))
	applyOrder(t, s, 8, control.NewDomainOrder("a", true, "first", ""))
	for _, state := range []*control.State{s, restored(t, s)} {
		require.Equal(t, []string{"a", "b"}, evacuated(state))
		require.EqualValues(t, 8, state.Evacuation().Index())
		order := state.Evacuation().Orders()[1]
		require.Equal(t, "first", order.GetIssuer())
		require.Equal(t, "power", order.GetNote())
		require.EqualValues(t, 5, order.GetFence())
		require.Len(t, state.TargetOrders(), 1, "orders of targets do not show those for domains")
	}
	applyOrder(t, s, 9, control.NewDomainOrder("b", false, "second", ""))
	applyOrder(t, s, 10, control.NewDomainOrder("a", false, "second", ""))
	for _, state := range []*control.State{s, restored(t, s)} {
		require.Empty(t, evacuated(state))
		require.EqualValues(t, 10, state.Evacuation().Index(), "the index does not go back when the last domain is restored")
	}
	applyOrder(t, s, 11, control.NewDomainOrder("a", true, "third", ""))
	require.Equal(t, []string{"a"}, evacuated(s))
}

// TestDomainOrdersInAnyOrder guards against a state that depends on where snapshots were taken, against an index that
// goes back, and against records of restored domains that pile up. The oracle is the last order for each domain.
func TestDomainOrdersInAnyOrder(t *testing.T) {
	const seeds, records, domains, kept = 200, 600, 300, 128
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 17))
		whole, snapshots := control.NewState(), control.NewState()
		want := map[string]bool{}
		for index := range uint64(records) {
			domain, evacuate := fmt.Sprint("d", random.IntN(domains)), random.IntN(8) == 0
			if len(want) >= 64 {
				evacuate = false
			}
			before := whole.Evacuation().Index()
			step := control.NewDomainOrder(domain, evacuate, "operator", "")
			applyOrder(t, whole, index+1, step)
			if random.IntN(20) == 0 {
				snapshots = restored(t, snapshots)
			}
			applyOrder(t, snapshots, index+1, step)
			if delete(want, domain); evacuate {
				want[domain] = true
			}
			require.GreaterOrEqual(t, whole.Evacuation().Index(), before, "seed %d", seed)
			require.Equal(t, whole.Evacuation().Index(), snapshots.Evacuation().Index(), "seed %d", seed)
		}
		require.Len(t, evacuated(whole), len(want), "seed %d", seed)
		for _, domain := range evacuated(snapshots) {
			require.True(t, want[domain], "seed %d: %s", seed, domain)
		}
		require.LessOrEqual(t, len(whole.Orders()), kept, "seed %d", seed)
	}
}

// orderDomain gives an order repeatedly until it is acknowledged or refused.
func orderDomain(t *testing.T, node *control.Node, domain string, evacuate bool) *wire.DomainOrderResult {
	t.Helper()
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		result, err := node.OrderDomain(ctx, control.NewDomainOrder(domain, evacuate, "operator", ""))
		cancel()
		if err == nil {
			return result
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "the order was not committed after 200 attempts")
	return nil
}

// TestRepeatedOrderCommitsNothing guards against orders that are resent filling the log, against more evacuated domains
// than allowed when many orders arrive at once, and against orders that a restart loses.
func TestRepeatedOrderCommitsNothing(t *testing.T) {
	dir, err := storage.NewDir(t.TempDir())
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		node, end := startNode(ctx, dir)
		lastIndex := func() (last uint64) {
			require.NoError(t, node.Read(ctx, true, func(core *replog.Core, _ *control.State) { last = core.LastIndex() }))
			return last
		}
		first := orderDomain(t, node, "zone", true)
		last := lastIndex()
		require.Equal(t, first.GetIndex(), orderDomain(t, node, "zone", true).GetIndex())
		require.Equal(t, last, lastIndex())
		orderDomain(t, node, "other", false)
		require.Equal(t, last, lastIndex(), "it was in use")

		const orders = 100
		results := make(chan *wire.DomainOrderResult, orders)
		for i := range orders {
			go func() { results <- orderDomain(t, node, fmt.Sprint("zone-", i), true) }()
		}
		refused := 0
		for range orders {
			if r := <-results; r.GetTooMany() {
				refused++
			}
		}
		require.Equal(t, orders-63, refused, "64 may be evacuated at once")
		require.True(t, orderDomain(t, node, "one-more", true).GetTooMany())
		cancel()
		require.NoError(t, <-end)

		ctx, cancel = context.WithCancel(context.Background())
		node, end = startNode(ctx, dir)
		require.False(t, orderDomain(t, node, "zone", false).GetTooMany(), "it leads again")
		require.NoError(t, node.Read(ctx, true, func(_ *replog.Core, s *control.State) { require.Len(t, evacuated(s), 63) }))
		cancel()
		require.NoError(t, <-end)
	})
}

// linkTransport delivers messages between replicas in this process, unless the link is cut.
type linkTransport struct {
	ctx   context.Context //nolint:containedctx // bounds deliveries
	nodes map[string]*control.Node
	cut   *atomic.Bool
}

func (l *linkTransport) Send(address string, m *wire.Message) {
	if l.cut.Load() {
		return
	}
	message := proto.CloneOf(m)
	go func() { _ = l.nodes[address].Deliver(l.ctx, []*wire.Message{message}) }() // it may have stopped
}

// TestOrderWithoutMajority guards against an acknowledgement of an order, also of one that changes nothing, by a replica
// that cannot show that its state is current, and against such a replica passing for one whose orders are.
func TestOrderWithoutMajority(t *testing.T) {
	const first, second = "127.0.0.1:1", "127.0.0.1:2"
	dirs := map[string]*storage.Dir{}
	for _, address := range []string{first, second} {
		dir, err := storage.NewDir(t.TempDir())
		require.NoError(t, err)
		dirs[address] = dir
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		link := &linkTransport{ctx: ctx, nodes: map[string]*control.Node{}, cut: &atomic.Bool{}}
		voters := &wire.Membership{Replicas: []*wire.Replica{{Id: first, Address: first}, {Id: second, Address: second}}}
		for i, address := range []string{first, second} {
			link.nodes[address] = control.NewNode(logr.Discard(), dirs[address], timertest.New(), link, config.NewStore(), address, uint64(i), control.WithInitialVoters(voters))
		}
		var ends []<-chan error
		for _, node := range link.nodes {
			ends = append(ends, node.Run(ctx))
		}
		// order returns whether a replica acknowledges an order.
		order := func(node *control.Node, domain string) bool {
			called, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			_, err := node.OrderDomain(called, control.NewDomainOrder(domain, true, "operator", ""))
			return err == nil
		}
		var leader *control.Node
		for range 100 {
			for _, node := range link.nodes {
				if leader == nil && order(node, "zone") {
					leader = node
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.NotNil(t, leader)
		for _, node := range link.nodes {
			require.Equal(t, node == leader, order(node, "zone"), "only the leader acknowledges")
			status, err := node.LogStatus(ctx)
			require.NoError(t, err)
			require.Equal(t, wire.EvacuationView_EVACUATION_VIEW_CURRENT, status.EvacuationView())
			require.Len(t, status.Evacuation().Orders(), 1)
		}
		link.cut.Store(true)
		time.Sleep(replog.DefaultTiming().Election) // its lease is over, and it does not know yet that it no longer leads
		require.False(t, order(leader, "zone"), "another one may lead")
		require.False(t, order(leader, "other"), "it is not committed")
		time.Sleep(2 * replog.DefaultTiming().Election)
		for _, node := range link.nodes {
			require.False(t, order(node, "zone"), "it changes nothing, as far as this replica knows")
			status, err := node.LogStatus(ctx)
			require.NoError(t, err)
			require.Equal(t, wire.EvacuationView_EVACUATION_VIEW_CUT_OFF, status.EvacuationView())
			require.Len(t, status.Evacuation().Orders(), 1, "what is not committed is not in force")
		}
		time.Sleep(time.Minute)
		for _, node := range link.nodes {
			status, err := node.LogStatus(ctx)
			require.NoError(t, err)
			require.Equal(t, wire.EvacuationView_EVACUATION_VIEW_BEHIND, status.EvacuationView())
		}
		cancel()
		for _, end := range ends {
			require.NoError(t, <-end)
		}

		ctx, cancel = context.WithCancel(context.Background())
		restarted := control.NewNode(logr.Discard(), dirs[second], timertest.New(), link, config.NewStore(), second, 1)
		end := restarted.Run(ctx)
		time.Sleep(time.Second)
		status, err := restarted.LogStatus(ctx)
		require.NoError(t, err)
		require.Equal(t, wire.EvacuationView_EVACUATION_VIEW_BEHIND, status.EvacuationView(), "it has not heard from a leader since")
		cancel()
		require.NoError(t, <-end)
	})
}

// TestOrderEndsLongPoll guards against instances that hear of an order only at the end of a long poll, and against
// instances of an earlier build, which cannot state what they hold, being answered at once again and again.
func TestOrderEndsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := control.NewPublisher(1)
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		waited := func(r *wire.FollowRequest) time.Duration {
			before := now()
			p.Await(context.Background(), r, time.Second, now)
			return now() - before
		}
		time.AfterFunc(300*time.Millisecond, func() { p.PublishEvacuation(7) })
		require.Equal(t, 300*time.Millisecond, waited(&wire.FollowRequest{EvacuationIndex: proto.Uint64(0)}))
		require.Zero(t, waited(&wire.FollowRequest{EvacuationIndex: proto.Uint64(6)}))
		require.Equal(t, time.Second, waited(&wire.FollowRequest{EvacuationIndex: proto.Uint64(7)}))
		require.Equal(t, time.Second, waited(&wire.FollowRequest{}), "of an earlier build")
	})
}
