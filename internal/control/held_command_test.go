package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	heldReplicas = 3
	// heldTime is how long a replica is cut off.
	heldTime = 5 * time.Second
	// settleTime is how long after it is not any more the orders in force are looked at.
	settleTime = 3 * time.Second
)

// heldReplica is a control replica on a network in memory.
type heldReplica struct {
	host    string
	address string
	node    *control.Node
	service *control.Service
	done    <-chan error
}

// heldCluster is three replicas.
type heldCluster struct {
	t        *testing.T
	ctx      context.Context //nolint:containedctx // of all goroutines
	network  *peertest.Network
	replicas []*heldReplica
	pools    []*peer.Pool
}

// playHeld starts a cluster under virtual time, and plays a test on it.
func playHeld(t *testing.T, play func(c *heldCluster)) {
	var dirs []*storage.Dir
	for range heldReplicas {
		dir, err := storage.NewDir(t.TempDir())
		require.NoError(t, err)
		dirs = append(dirs, dir)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &heldCluster{t: t, ctx: ctx, network: peertest.New()}
		voters := &wire.Membership{}
		for i := range dirs {
			address := fmt.Sprintf("10.0.0.%d:7000", i+1)
			voters.Replicas = append(voters.Replicas, &wire.Replica{Id: address, Name: address, Address: address})
		}
		for i, dir := range dirs {
			c.start(voters, i, dir)
		}
		defer c.end(cancel)
		time.Sleep(heldTime)
		play(c)
	})
}

// end stops everything, also after a failure.
func (c *heldCluster) end(cancel context.CancelFunc) {
	cancel()
	c.network.Heal()
	for _, r := range c.replicas {
		if err := <-r.done; err != nil {
			c.t.Error(err)
		}
	}
	for _, pool := range c.pools {
		pool.Close()
	}
}

func (c *heldCluster) start(voters *wire.Membership, i int, dir *storage.Dir) {
	address := voters.GetReplicas()[i].GetAddress()
	host := netip.MustParseAddrPort(address)
	creds, traffic := peer.PlainCredentials(peer.WithDial(c.network.DialFrom(host.Addr().String()))), &peer.Traffic{}
	pool := peer.NewPool(creds, traffic)
	c.pools = append(c.pools, pool)
	store, clock := config.NewStore(), timertest.New()
	transport := control.NewPeerTransport(c.ctx, logr.Discard(), address, creds, traffic)
	r := &heldReplica{host: host.Addr().String(), address: address}
	r.node = control.NewNode(logr.Discard(), dir, clock, transport, store, address, uint64(i), control.WithInitialVoters(voters))
	r.service = control.NewService(c.ctx, r.node, store, clock, pool, inifile.Peer{Name: address, Address: host})
	server := peer.NewServer(logr.Discard(), creds, traffic)
	r.service.Register(server)
	server.Serve(c.ctx, c.network.Listen(address))
	r.done = r.node.Run(c.ctx)
	c.replicas = append(c.replicas, r)
}

// split returns the leader and the other replicas.
func (c *heldCluster) split() (leader *heldReplica, others []*heldReplica) {
	for _, r := range c.replicas {
		if _, leads := r.node.Leads(c.ctx); leads {
			leader = r
		} else {
			others = append(others, r)
		}
	}
	require.NotNil(c.t, leader)
	return leader, others
}

// order reports whether a replica acknowledges an order within the second that an operator waits.
func (c *heldCluster) order(r *heldReplica, evacuate bool) bool {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := r.service.OrderDomain(ctx, control.NewDomainOrder("zone", evacuate, "operator", ""))
	return err == nil
}

// requireEvacuated requires that the domain is evacuated, or is not, at each replica.
func (c *heldCluster) requireEvacuated(evacuated bool) {
	c.t.Helper()
	for _, r := range c.replicas {
		orders := 0
		require.NoError(c.t, r.node.Read(c.ctx, false, func(_ *replog.Core, s *control.State) { orders = len(s.Evacuation().Orders()) }))
		require.Equal(c.t, evacuated, orders == 1, r.address)
	}
}

// TestHeldUpOrderIsNotCommittedLater guards against an order that a partition holds up between two replicas, and that the
// leader commits when the partition heals, after newer orders of the operator, who has long given it again elsewhere.
func TestHeldUpOrderIsNotCommittedLater(t *testing.T) {
	for _, evacuate := range []bool{true, false} {
		t.Run(fmt.Sprint("evacuate ", evacuate), func(t *testing.T) {
			playHeld(t, func(c *heldCluster) {
				leader, others := c.split()
				cut, other := others[0], others[1]
				require.True(t, c.order(cut, !evacuate))
				c.network.Separate(cut.host, leader.host)
				c.network.Separate(cut.host, other.host)
				time.Sleep(50 * time.Millisecond)
				require.False(t, c.order(cut, evacuate))
				require.True(t, c.order(other, evacuate))
				time.Sleep(time.Second)
				require.True(t, c.order(other, !evacuate))
				time.Sleep(heldTime)
				c.network.Heal()
				time.Sleep(settleTime)
				c.requireEvacuated(!evacuate)
				require.True(t, c.order(cut, evacuate), "a new order is taken, also by the replica that was cut off")
				time.Sleep(settleTime)
				c.requireEvacuated(evacuate)
			})
		})
	}
}

// TestLatePermitIsNotValid guards against a command that is held up after its permit was issued, as by a process that is
// frozen between the two, and against a permit of another leader.
func TestLatePermitIsNotValid(t *testing.T) {
	playHeld(t, func(c *heldCluster) {
		leader, others := c.split()
		client, err := c.pools[0].Client(leader.address)
		require.NoError(t, err)
		permit := func() *wire.Permit {
			p := &wire.Permit{}
			require.NoError(t, client.Call(c.ctx, "Control.Permit", &wire.Empty{}, p))
			return p
		}
		// carriedOut reports whether the leader carries out an order with a permit that is some time old.
		carriedOut := func(p *wire.Permit, age time.Duration, evacuate bool) bool {
			time.Sleep(age)
			result := &wire.ForwardedResult{}
			command := &wire.ForwardedCommand{Permit: p, WaitMs: 900, DomainOrder: control.NewDomainOrder("zone", evacuate, "operator", "")}
			require.NoError(t, client.Call(c.ctx, "Control.Forwarded", command, result))
			return !result.GetExpired()
		}
		require.True(t, carriedOut(permit(), 0, true))
		require.True(t, carriedOut(permit(), 200*time.Millisecond, false))
		require.False(t, carriedOut(permit(), 400*time.Millisecond, true))
		foreign, earlier := permit(), permit()
		foreign.Leader = others[0].address
		earlier.Term--
		require.False(t, carriedOut(foreign, 0, true))
		require.False(t, carriedOut(earlier, 0, true))
		require.False(t, carriedOut(nil, 0, true))
		time.Sleep(settleTime)
		c.requireEvacuated(false)
	})
}

// TestLateJoinDoesNotSupersede guards against a request to join that was held up while its replica lost its disk, and that
// makes the leader take the replica now at the address for one that has lost its disk.
func TestLateJoinDoesNotSupersede(t *testing.T) {
	playHeld(t, func(c *heldCluster) {
		leader, others := c.split()
		for _, r := range []*heldReplica{leader, others[0]} {
			require.Error(t, leader.node.Join(c.ctx, &wire.Replica{Id: "of-before", Address: r.address}))
		}
		require.NoError(t, leader.node.Join(c.ctx, &wire.Replica{Id: "new", Address: "10.0.0.9:7000"}))
		status, err := leader.node.LogStatus(c.ctx)
		require.NoError(t, err)
		require.Equal(t, heldReplicas, status.Voters())
		require.Equal(t, 1, status.Learners())
	})
}
