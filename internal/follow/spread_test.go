package follow_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/follow"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// applyTime is how soon a confirmed configuration must be in force, and drainTime how soon
	// a target that leaves must be known to.
	applyTime = 2 * time.Second
	drainTime = 3 * time.Second
	// maxIdleChange bounds the bytes for a configuration that differs in its number only, and
	// for what else comes meanwhile.
	maxIdleChange = 4 << 10
	megabit       = 1_000_000 / 8 // bytes
	gatewayHost   = "10.0.1.1"
)

// replica is one of several real control replicas on a network in memory.
type replica struct {
	address   string
	node      *control.Node
	publisher *control.Publisher
	done      <-chan error
}

// deployment is three replicas and one instance that follows them.
type deployment struct {
	network  *peertest.Network
	replicas []*replica
	sink     *recordingSink
	pools    []*peer.Pool
	follower <-chan error
	stop     context.CancelFunc
	ctx      context.Context //nolint:containedctx // of all goroutines
}

// startDeployment starts a deployment whose hosts have links of the given widths in bytes a second.
func startDeployment(t *testing.T, dirs []string, links map[string]int) *deployment {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d := &deployment{network: peertest.New(), ctx: ctx, stop: stop, sink: &recordingSink{clock: timertest.New()}}
	for host, bytesPerSecond := range links {
		d.network.Narrow(ctx, host, bytesPerSecond)
	}
	voters := &wire.Membership{}
	for i := range dirs {
		address := fmt.Sprintf("10.0.0.%d:7000", i+1)
		voters.Replicas = append(voters.Replicas, &wire.Replica{Id: address, Name: address, Address: address})
	}
	for i, dir := range dirs {
		d.startReplica(t, voters, i, dir)
	}
	creds := peer.PlainCredentials(peer.WithDial(d.network.DialFrom(gatewayHost)))
	seeds := func() []string { return []string{d.replicas[0].address} }
	d.follower = follow.New(logr.Discard(), timertest.New(), d.newPool(creds), "i", "d", seeds, d.sink).Run(ctx)
	return d
}

func (d *deployment) startReplica(t *testing.T, voters *wire.Membership, i int, dir string) {
	t.Helper()
	address := voters.GetReplicas()[i].GetAddress()
	host := netip.MustParseAddrPort(address)
	disk, err := storage.NewDir(dir)
	require.NoError(t, err)
	creds, traffic := peer.PlainCredentials(peer.WithDial(d.network.DialFrom(host.Addr().String()))), &peer.Traffic{}
	r := &replica{address: address, publisher: control.NewPublisher(uint64(i + 1))}
	store, clock := config.NewStore(), timertest.New()
	transport := control.NewPeerTransport(d.ctx, logr.Discard(), address, creds, traffic)
	r.node = control.NewNode(logr.Discard(), disk, clock, transport, store, address, uint64(i), control.WithPublisher(r.publisher), control.WithInitialVoters(voters))
	service := control.NewService(d.ctx, r.node, store, clock, d.newPool(creds), inifile.Peer{Name: address, Address: host})
	server := peer.NewServer(logr.Discard(), creds, traffic)
	service.Register(server)
	server.Serve(d.ctx, d.network.Listen(address))
	r.done = r.node.Run(d.ctx)
	d.replicas = append(d.replicas, r)
}

func (d *deployment) newPool(creds *peer.Credentials) *peer.Pool {
	pool := peer.NewPool(creds, &peer.Traffic{})
	d.pools = append(d.pools, pool)
	return pool
}

// end stops everything.
func (d *deployment) end(t *testing.T) {
	t.Helper()
	d.stop()
	require.NoError(t, <-d.follower)
	for _, r := range d.replicas {
		require.NoError(t, <-r.done)
	}
	for _, pool := range d.pools {
		pool.Close()
	}
	time.Sleep(time.Minute) // until all goroutines have ended
}

// offer commits a document at whichever replica leads.
func (d *deployment) offer(t *testing.T, number uint64, body []byte) {
	t.Helper()
	for range 100 {
		for _, r := range d.replicas {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			_, err := r.node.Offer(ctx, &wire.Document{Number: number, Body: body})
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "the document was not committed")
}

// installation is when a document came into force.
type installation struct {
	number uint64
	at     time.Duration
}

// recordingSink records what the instance has and since when.
type recordingSink struct {
	clock timertest.Clock

	mu     sync.Mutex
	number uint64
	at     time.Duration
	body   []byte
	// installed is what came into force, in order
	installed []installation
	leaving   time.Duration // when a leaving target was first seen
	// exchanges is the number of polls of the leader, and evacuation what was last heard of orders.
	exchanges  int
	evacuation evacuationState
}

// evacuationState is the state of the orders for failure domains at an instance.
type evacuationState struct {
	index     uint64
	domains   []string
	exchanges int // polls of the leader until then
}

func (s *recordingSink) Number() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number
}

func (s *recordingSink) Install(d *wire.Document) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.GetNumber() > s.number {
		s.number, s.at, s.body = d.GetNumber(), s.clock.Now(), d.GetBody()
		s.installed = append(s.installed, installation{s.number, s.at})
	}
	return nil
}

func (s *recordingSink) UpdateTargets(list []*wire.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range list {
		if target.GetState() == wire.TargetState_TARGET_STATE_LEAVING && s.leaving == 0 {
			s.leaving = s.clock.Now()
		}
	}
}

// LocalUses is called once for each poll of the leader.
func (s *recordingSink) LocalUses() []*wire.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges++
	return nil
}

func (s *recordingSink) UpdateEvacuation(index uint64, orders []*wire.OrderStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuation = evacuationState{index: index, exchanges: s.exchanges}
	for _, o := range orders {
		s.evacuation.domains = append(s.evacuation.domains, control.DomainOf(o))
	}
}

func (s *recordingSink) UpdateLoads([]*wire.Load)                 {}
func (s *recordingSink) UpdatePeerUses([]*wire.Use, int)          {}
func (s *recordingSink) Evidence(uint64) (*wire.Evidence, uint64) { return nil, 0 }
func (s *recordingSink) MergeEvidence(*wire.Evidence)             {}

// awaitNumber returns when the document with a number came into force, 0 if it did not within a minute.
func (s *recordingSink) awaitNumber(number uint64) time.Duration {
	for range time.Minute / (10 * time.Millisecond) {
		s.mu.Lock()
		has, at := s.number, s.at
		s.mu.Unlock()
		if has >= number {
			return at
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0
}

// awaitLeaving returns when a leaving target was first seen, 0 if none was until a time. The configuration may be in
// force before the next exchange with the leader.
func (s *recordingSink) awaitLeaving(until time.Duration) time.Duration {
	for {
		s.mu.Lock()
		at := s.leaving
		s.mu.Unlock()
		if at != 0 || s.clock.Now() > until {
			return at
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newDocument returns a configuration with a number and a number of routes. Two of them have the
// routes of the smaller one in common.
func newDocument(number uint64, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		var out strings.Builder
		for range n {
			out.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)])
		}
		return out.String()
	}
	var out strings.Builder
	fmt.Fprintf(&out, `{"version":%d,"routes":[`, number)
	for range routes {
		fmt.Fprintf(&out, `{"name":"r-%s","host":"%s.example","path_prefix":"/%s/","kind":"safe","timeout_ms":1500,"service":"s","max_attempts":2},`, word(7), word(6), word(7))
	}
	out.WriteString(`],"services":[{"name":"s","health_path":"/health"}]}`)
	return []byte(out.String())
}

// TestLargeConfigurationOverNarrowLink guards against a change that was confirmed and never comes
// into force, and against a leaving target that stays unknown, because an instance's link is full of
// configurations that are begun again and again. Seen from callers: CONFIG, DRAIN and late answers.
func TestLargeConfigurationOverNarrowLink(t *testing.T) {
	const routesBefore, routesMore = 2800, 1400
	for _, megabits := range []float64{10, 2, 0.6} {
		t.Run(fmt.Sprint(megabits), func(t *testing.T) {
			dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
			synctest.Test(t, func(t *testing.T) {
				d := startDeployment(t, dirs, map[string]int{gatewayHost: int(megabits * megabit)})
				defer d.end(t)
				d.offer(t, 1, newDocument(1, routesBefore))
				require.NotZero(t, d.sink.awaitNumber(1), "the first configuration")

				received := d.network.Received(gatewayHost)
				d.offer(t, 2, newDocument(2, routesBefore+routesMore))
				confirmed := d.sink.clock.Now()
				d.replicas[0].publisher.PublishTargets([]*wire.Target{{Id: "t", Service: "s", Address: "10.0.0.1:1", State: wire.TargetState_TARGET_STATE_LEAVING}}, true, confirmed)
				at := d.sink.awaitNumber(2)
				t.Logf("%d bytes for %d of which %d are new", d.network.Received(gatewayHost)-received, len(newDocument(2, routesBefore+routesMore)), len(newDocument(2, routesMore)))
				require.NotZero(t, at, "never in force")
				require.LessOrEqual(t, at-confirmed, applyTime)
				leaving := d.sink.awaitLeaving(confirmed + drainTime)
				require.NotZero(t, leaving, "leaving target not known")
				require.LessOrEqual(t, leaving-confirmed, drainTime)

				time.Sleep(5 * time.Second)
				received = d.network.Received(gatewayHost)
				d.offer(t, 3, newDocument(3, routesBefore+routesMore))
				confirmed = d.sink.clock.Now()
				at = d.sink.awaitNumber(3)
				require.NotZero(t, at, "never in force")
				require.LessOrEqual(t, at-confirmed, applyTime)
				require.LessOrEqual(t, d.network.Received(gatewayHost)-received, maxIdleChange)
				require.Equal(t, newDocument(3, routesBefore+routesMore), d.sink.body)
			})
		})
	}
}

// TestReplicaBehindNarrowLinkCatchesUp guards against a replica that never gets a large document because
// a message that takes long is given up and sent again.
func TestReplicaBehindNarrowLinkCatchesUp(t *testing.T) {
	const host, routes = "10.0.0.3", 4200
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		d := startDeployment(t, dirs, map[string]int{host: 2 * megabit})
		defer d.end(t)
		d.offer(t, 1, newDocument(1, 1))
		d.offer(t, 2, newDocument(2, routes))
		time.Sleep(20 * time.Second)
		t.Logf("%d bytes received for %d", d.network.Received(host), len(newDocument(2, routes)))
		piece, err := d.replicas[2].publisher.Fetch(&wire.FetchRequest{})
		require.NoError(t, err)
		require.EqualValues(t, 2, piece.GetNumber())
		require.Less(t, d.network.Received(host), 2*len(newDocument(2, routes)), "received more than once")
	})
}

// TestChangesInQuickSuccession guards against a change that is confirmed and not in force in time while others
// come 20 a second, because each one begins again what the one before had begun.
func TestChangesInQuickSuccession(t *testing.T) {
	const routes, changes, interval = 4200, 200, 50 * time.Millisecond
	for _, megabits := range []float64{0.6} {
		t.Run(fmt.Sprint(megabits), func(t *testing.T) {
			dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
			synctest.Test(t, func(t *testing.T) {
				d := startDeployment(t, dirs, map[string]int{gatewayHost: int(megabits * megabit)})
				defer d.end(t)
				d.offer(t, 1, newDocument(1, routes))
				require.NotZero(t, d.sink.awaitNumber(1))
				received := d.network.Received(gatewayHost)
				confirmed := map[uint64]time.Duration{}
				for number := uint64(2); number < changes+2; number++ {
					body := newDocument(number, routes-int(number%3)) // routes come and go
					d.offer(t, number, body)
					confirmed[number] = d.sink.clock.Now()
					time.Sleep(interval)
				}
				require.NotZero(t, d.sink.awaitNumber(changes+1))
				for number, at := range confirmed {
					require.LessOrEqual(t, d.sink.inForce(number)-at, applyTime, "change %d", number)
				}
				t.Logf("%d bytes a change", (d.network.Received(gatewayHost)-received)/changes)
				require.Equal(t, newDocument(changes+1, routes-(changes+1)%3), d.sink.body)
			})
		})
	}
}

// inForce returns when the document with a number, or a later one, came into force.
func (s *recordingSink) inForce(number uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, installed := range s.installed {
		if installed.number >= number {
			return installed.at
		}
	}
	return math.MaxInt64
}

// order has an order for a failure domain committed at whichever replica leads, and returns its index.
func (d *deployment) order(t *testing.T, domain string, evacuate bool) uint64 {
	t.Helper()
	for range 100 {
		for _, r := range d.replicas {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			result, err := r.node.OrderDomain(ctx, control.NewDomainOrder(domain, evacuate, "operator", ""))
			cancel()
			if err == nil {
				return result.GetIndex()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "the order was not committed")
	return 0
}

// TestOrderIsInForceAfterTwoPolls guards against an order that an instance hears of later than with the poll of the
// leader after the one that was under way when the order was acknowledged.
func TestOrderIsInForceAfterTwoPolls(t *testing.T) {
	const maxPolls, orders = 2, 20
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		d := startDeployment(t, dirs, nil)
		d.offer(t, 1, []byte("body"))
		require.NotZero(t, d.sink.awaitNumber(1))
		for i := range orders {
			index := d.order(t, fmt.Sprint("zone-", i/2), i%2 == 0)
			d.sink.mu.Lock()
			before := d.sink.exchanges
			d.sink.mu.Unlock()
			var got evacuationState
			for range 1000 {
				d.sink.mu.Lock()
				got = d.sink.evacuation
				d.sink.mu.Unlock()
				if got.index >= index {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, index, got.index)
			require.LessOrEqual(t, got.exchanges-before, maxPolls, "order %d", i)
			if i%2 == 0 {
				require.Equal(t, []string{fmt.Sprint("zone-", i/2)}, got.domains)
			} else {
				require.Empty(t, got.domains)
			}
		}
		d.end(t)
	})
}
