package evidence_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
)

const (
	replicaCount = 3
	// toldWithin is how long after the last of several crashes every instance in touch has heard of them.
	toldWithin = 3 * time.Second
	// maxIdleBytes is what an instance may send and receive in a second without news, with all replicas.
	maxIdleBytes = 200
)

// deployment is replicas, and instances that exchange evidence with them, on a network in memory.
type deployment struct {
	t        *testing.T
	network  *peertest.Network
	clock    timertest.Clock
	replicas []inifile.Peer
	epochs   uint64 // number of replicas started so far
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, network: peertest.New(), clock: timertest.New()}
	for i := range replicaCount {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		d.replicas = append(d.replicas, inifile.Peer{Name: fmt.Sprint("r", i+1), Address: address})
	}
	return d
}

// startReplica starts a replica that knows nothing. The returned function stops it.
func (d *deployment) startReplica(i int) func() {
	ctx, stop := context.WithCancel(context.Background())
	d.epochs++
	disk, err := storage.NewDir(d.t.TempDir())
	require.NoError(d.t, err)
	creds, traffic := d.credentials(d.replicas[i].Address.Addr().String()), &peer.Traffic{}
	transport := control.NewPeerTransport(ctx, logr.Discard(), d.replicas[i].Address.String(), creds, traffic)
	store := config.NewStore()
	node := control.NewNode(logr.Discard(), disk, d.clock, transport, store, d.replicas[i].Name, 1, control.WithPublisher(control.NewPublisher(d.epochs)))
	service := control.NewService(ctx, node, store, d.clock, peer.NewPool(creds, traffic), d.replicas[i])
	server := peer.NewServer(logr.Discard(), creds, traffic)
	service.Register(server)
	done := server.Serve(ctx, d.network.Listen(d.replicas[i].Address.String()))
	return func() {
		stop()
		require.NoError(d.t, <-done)
	}
}

func (d *deployment) credentials(host string) *peer.Credentials {
	return peer.PlainCredentials(peer.WithDial(d.network.DialFrom(host)))
}

// instance is one that exchanges evidence.
type instance struct {
	*evidence.Ledger
	traffic *peer.Traffic
}

// startInstance starts an instance. The returned function stops it.
func (d *deployment) startInstance(name string) (*instance, func()) {
	s, findings := settings.Parse("test", []byte("[instance]\nname = "+name+"\n"))
	_ = findings // of the settings that no part of this test needs
	b := base.Base{Log: logr.Discard(), Settings: s, Timers: d.clock, Credentials: d.credentials("10.0.1.1"), Traffic: &peer.Traffic{}}
	i := &instance{evidence.New(b), b.Traffic}
	ctx, stop := context.WithCancel(context.Background())
	done := evidence.NewExchanger(b, i.Ledger, d.replicas).Run(ctx)
	return i, func() {
		stop()
		require.NoError(d.t, <-done)
	}
}

func request(path string) quarantine.Request {
	return quarantine.NewRequest("caller", "GET", "host", path, nil, nil)
}

// crash records crashes under a request.
func (i *instance) crash(path string) {
	for n := range 3 {
		i.RequestCrashed(request(path), fmt.Sprint(path, n), fmt.Sprint("target-", n), 0)
	}
}

// TestExchange guards against instances that do not hear of each other's crashes: while they run, when they
// start, over the loss of replicas, and when replicas that forgot everything take their place; and against
// bytes that are spent while there is no news.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		var stops []func()
		for i := range replicaCount {
			stops = append(stops, d.startReplica(i))
		}
		a, stopA := d.startInstance("a")
		b, stopB := d.startInstance("b")
		time.Sleep(time.Minute)

		a.crash("first")
		time.Sleep(toldWithin)
		require.NotNil(t, b.Check(request("first"), nil))
		require.Nil(t, b.Check(request("other"), nil))

		before := b.traffic.Sent() + b.traffic.Received()
		time.Sleep(time.Minute)
		idle := (b.traffic.Sent() + b.traffic.Received() - before) / 60
		t.Logf("%d bytes a second without news, with %d replicas", idle, replicaCount)
		require.LessOrEqual(t, idle, int64(maxIdleBytes))

		stops[0]()
		stops[1]()
		b.crash("second")
		time.Sleep(toldWithin)
		require.NotNil(t, a.Check(request("second"), nil), "told by the replica that is left")

		stops[2]()
		for i := range replicaCount {
			stops[i] = d.startReplica(i)
		}
		time.Sleep(toldWithin)
		c, stopC := d.startInstance("c")
		time.Sleep(toldWithin)
		require.NotNil(t, c.Check(request("first"), nil), "replicas that forgot were told again")
		require.NotNil(t, c.Check(request("second"), nil))

		for _, stop := range append(stops, stopA, stopB, stopC) {
			stop()
		}
		time.Sleep(time.Minute) // until all goroutines have ended
	})
}
