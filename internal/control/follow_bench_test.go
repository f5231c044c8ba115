package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/subset"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// manualClock is a time service whose time is set.
type manualClock struct {
	timertest.Clock
	now time.Duration
}

func (c *manualClock) Now() time.Duration { return c.now }

type noTransport struct{}

func (noTransport) Send(string, *wire.Message) {}

// followLoad is a leader with its followers, of which each second takes the processor as long as the replica
// computes and encodes.
type followLoad struct {
	service   *Service
	clock     *manualClock
	random    *rand.Rand
	targets   []*wire.Target
	next      int // number of the next target
	followers []*benchFollower
	bytes     int
}

// benchFollower is what a follower has of the leader.
type benchFollower struct {
	request  *wire.FollowRequest
	due      time.Duration
	interval time.Duration
}

const (
	benchTick    = 10 * time.Millisecond
	benchDomains = 3
	// benchUses is the number of targets that an instance uses at a time.
	benchUses = 12
)

func newFollowLoad(b *testing.B, instances int, earlier bool) *followLoad {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	dir, err := storage.NewDir(b.TempDir())
	require.NoError(b, err)
	const address = "127.0.0.1:1"
	voters := &wire.Membership{Replicas: []*wire.Replica{{Id: address, Name: address, Address: address}}}
	store := config.NewStore()
	node := NewNode(logr.Discard(), dir, timertest.New(), noTransport{}, store, address, 1, WithInitialVoters(voters), WithPublisher(NewPublisher(1)))
	node.Run(ctx)
	clock := &manualClock{}
	traffic := &peer.Traffic{}
	service := NewService(ctx, node, store, clock, peer.NewPool(peer.PlainCredentials(), traffic), inifile.Peer{Name: address})
	service.self = address
	require.Eventually(b, func() bool {
		status, err := node.LogStatus(ctx)
		return err == nil && status.Leader() == address
	}, 10*time.Second, 10*time.Millisecond)
	l := &followLoad{service: service, clock: clock, random: rand.New(rand.NewPCG(1, uint64(instances)))}
	for range 10 * instances {
		l.addTarget()
	}
	for i := range instances {
		request := &wire.FollowRequest{Instance: fmt.Sprint("gateway-", i), FailureDomain: benchDomain(i), FetchesDocuments: true}
		if !earlier {
			request.TakesChanges, request.SubsetInstances, request.Paced = true, uint32(subset.Round(instances)), true
		}
		f := &benchFollower{request: request, interval: max(50*time.Millisecond, time.Duration(instances)*time.Millisecond)}
		f.due = time.Duration(l.random.Int64N(int64(f.interval)))
		l.followers = append(l.followers, f)
	}
	return l
}

func benchDomain(i int) string { return fmt.Sprint("domain-", i%benchDomains) }

func (l *followLoad) addTarget() {
	i := l.next
	l.next++
	l.targets = append(l.targets, &wire.Target{
		Id: fmt.Sprint("engine-", i), Service: "generations", FailureDomain: benchDomain(i), Slots: 24, Engine: true,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), State: wire.TargetState_TARGET_STATE_READY,
	})
}

// second lets a second pass: the list is read four times, eight of its entries change, and each engine's report is read
// twice.
func (l *followLoad) second(b *testing.B) {
	b.Helper()
	for tick := range int(time.Second / benchTick) {
		l.clock.now += benchTick
		if tick%25 == 0 {
			l.changeList()
		}
		if tick%50 == 0 {
			l.readLoads()
		}
		for _, f := range l.followers {
			if f.due <= l.clock.now {
				f.due += f.interval
				l.exchange(b, f)
			}
		}
	}
}

func (l *followLoad) changeList() {
	l.targets = append([]*wire.Target{}, l.targets[1:]...)
	l.addTarget()
	l.service.publisher.PublishTargets(l.targets, true, l.clock.now)
}

func (l *followLoad) readLoads() {
	var loads []*wire.Load
	for _, t := range l.targets {
		loads = append(loads, &wire.Load{
			Target: t.GetId(), Running: l.random.Uint32N(20), Waiting: l.random.Uint32N(2), UsedTokens: l.random.Uint32N(26000), CapacityTokens: 26886, StartedMs: 1,
		})
	}
	l.service.publisher.PublishLoads(loads, l.clock.now)
}

func (l *followLoad) exchange(b *testing.B, f *benchFollower) {
	b.Helper()
	f.request.Uses = nil
	for range benchUses {
		f.request.Uses = append(f.request.Uses, &wire.Use{
			Target: l.targets[l.random.IntN(len(l.targets))].GetId(), Requests: 1, Tokens: l.random.Uint32N(6000), Prefilling: l.random.Uint32N(2) * 3000,
		})
	}
	received, err := proto.Marshal(f.request)
	require.NoError(b, err)
	request, answer := &wire.FollowRequest{}, &wire.FollowResponse{}
	require.NoError(b, proto.Unmarshal(received, request))
	require.NoError(b, l.service.follow(request, answer))
	data, err := proto.Marshal(answer)
	require.NoError(b, err)
	l.bytes += len(received) + len(data)
	f.request.ListEpoch, f.request.ListVersion, f.request.LoadsVersion = answer.GetListEpoch(), answer.GetListVersion(), answer.GetLoadsVersion()
	f.request.UsesEpoch, f.request.UsesVersion = answer.GetUsesEpoch(), answer.GetUsesVersion()
	if answer.GetIntervalMs() > 0 {
		f.interval = time.Duration(answer.GetIntervalMs()) * time.Millisecond
	}
}

// BenchmarkFollowers measures the processor time of a leader for one second of its followers, without that of
// connections, with the requests of an earlier build and with present ones.
func BenchmarkFollowers(b *testing.B) {
	for _, instances := range []int{30, 100, 300, 1100} {
		for _, build := range []string{"earlier", "present"} {
			b.Run(fmt.Sprintf("%s/%d", build, instances), func(b *testing.B) {
				l := newFollowLoad(b, instances, build == "earlier")
				for range 3 {
					l.second(b)
				}
				l.bytes = 0
				seconds, used := 0, processorTime(b)
				for b.Loop() {
					l.second(b)
					seconds++
				}
				b.ReportMetric(float64((processorTime(b)-used).Milliseconds())/float64(seconds), "cpu-ms/s")
				b.ReportMetric(float64(l.bytes)/float64(seconds)/float64(instances), "bytes/s/follower")
			})
		}
	}
}

// processorTime returns what the process has used of the processor. Unlike the time that has passed, it does not depend on
// other load of the machine.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
