//go:build !race

// The runtime of the race detector ends the process with this many goroutines in virtual time (CHECK failed:
// tsan_rtl.cpp:346). scripts/test.sh runs the test without the detector.

package follow_test

import (
	"context"
	"fmt"
	"net"
	"sync"
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

const (
	manyInstances = 120
	manyTargets   = 10 * manyInstances
	// leavingTime is how soon each instance must know that a target leaves.
	leavingTime = 4 * time.Second
	// followedReplicas is how many replicas an instance follows.
	followedReplicas = 3
)

// manySink is one of many instances, each of which uses a target.
type manySink struct {
	recordingSink
	target string

	usesMu sync.Mutex // guards the rest
	uses   map[string]uint32
	loads  map[string]bool
	size   int
}

func (s *manySink) LocalUses() []*wire.Use { return []*wire.Use{{Target: s.target, Requests: 1}} }

func (s *manySink) UpdateSubsets(instances int) {
	s.usesMu.Lock()
	defer s.usesMu.Unlock()
	s.size = instances
}

func (s *manySink) UpdateLoads(loads []*wire.Load) {
	s.usesMu.Lock()
	defer s.usesMu.Unlock()
	for _, l := range loads {
		s.loads[l.GetTarget()] = true
	}
}

func (s *manySink) UpdatePeerUses(uses []*wire.Use, instances int) {
	s.usesMu.Lock()
	clear(s.uses)
	s.usesMu.Unlock()
	s.ChangePeerUses(uses, instances)
}

func (s *manySink) ChangePeerUses(uses []*wire.Use, _ int) {
	s.usesMu.Lock()
	defer s.usesMu.Unlock()
	for _, u := range uses {
		s.uses[u.GetTarget()] = u.GetRequests()
	}
}

// TestManyFollowers guards against what was seen at 300 instances and 3,000 targets, in virtual time: answers that hold all
// targets, connections that are made again and again, and a leaving target that is known late. Three replicas are followed by
// 120 instances while the list changes.
func TestManyFollowers(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		const calm = 10 * time.Second
		ctx, stop := context.WithCancel(context.Background())
		d := &deployment{network: peertest.New(), ctx: ctx, stop: stop}
		voters := &wire.Membership{}
		for i := range dirs {
			address := fmt.Sprintf("10.0.0.%d:7000", i+1)
			voters.Replicas = append(voters.Replicas, &wire.Replica{Id: address, Name: address, Address: address})
		}
		for i, dir := range dirs {
			d.startReplica(t, voters, i, dir)
		}
		time.Sleep(5 * time.Second) // until there is a leader
		clock := timertest.New()
		d.publish(manyTargetsFrom(0), clock.Now())

		var dials atomic.Int64
		var sinks []*manySink
		var ends []<-chan error
		traffic := &peer.Traffic{}
		for i := range manyInstances {
			host := fmt.Sprintf("10.1.0.%d", i+1)
			creds := peer.PlainCredentials(peer.WithDial(func(ctx context.Context, kind, address string) (net.Conn, error) {
				dials.Add(1)
				return d.network.DialFrom(host)(ctx, kind, address)
			}))
			s := &manySink{recordingSink: recordingSink{clock: clock}, target: fmt.Sprint("t", manyTargets/2+i), uses: map[string]uint32{}, loads: map[string]bool{}}
			pool := peer.NewPool(creds, traffic)
			d.pools = append(d.pools, pool)
			f := follow.New(logr.Discard(), clock, pool, fmt.Sprint("i", i), fmt.Sprint("d", i%3), func() []string { return []string{"10.0.0.1:7000"} }, s)
			f.UseSubsets(s)
			sinks, ends = append(sinks, s), append(ends, f.Run(ctx))
		}
		defer func() {
			stop()
			for _, done := range ends {
				require.NoError(t, <-done)
			}
			for _, r := range d.replicas {
				require.NoError(t, <-r.done)
			}
			for _, pool := range d.pools {
				pool.Close()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(calm)
		dials.Store(0)
		received := traffic.Received()
		for _, s := range sinks {
			s.forgetLoads() // those of larger subsets, before the number of instances was known
		}
		for step := range 2 * int(calm/time.Second) {
			time.Sleep(time.Second / 2)
			d.publish(manyTargetsFrom(4*step), clock.Now())
		}
		perInstance := (traffic.Received() - received) / int64(manyInstances) / int64(calm/time.Second)
		t.Logf("%d bytes a second for each instance, %d connections", perInstance, dials.Load())
		require.LessOrEqual(t, perInstance, int64((4<<20)/manyInstances+followedReplicas*8*100+4096))
		require.Zero(t, dials.Load(), "connections")

		list := manyTargetsFrom(0)
		list[manyTargets/2].State = wire.TargetState_TARGET_STATE_LEAVING
		left := clock.Now()
		d.publish(list, left)
		for i, s := range sinks {
			at := s.awaitLeaving(left + leavingTime)
			require.NotZero(t, at, "instance %d", i)
			require.LessOrEqual(t, at-left, leavingTime, "instance %d", i)
			s.checkSubset(t)
		}
	})
}

func (s *manySink) forgetLoads() {
	s.usesMu.Lock()
	defer s.usesMu.Unlock()
	clear(s.loads)
}

// checkSubset checks that the instance knows loads and uses of a part of the targets.
func (s *manySink) checkSubset(t *testing.T) {
	t.Helper()
	s.usesMu.Lock()
	defer s.usesMu.Unlock()
	require.NotZero(t, s.size)
	require.Less(t, len(s.loads), manyTargets/2)
	require.Greater(t, len(s.loads), manyTargets/10)
	used := 0
	for _, requests := range s.uses {
		used += int(requests)
	}
	require.NotZero(t, used)
	require.Less(t, used, manyInstances)
}

// manyTargetsFrom returns the list after a number of targets were replaced.
func manyTargetsFrom(replaced int) []*wire.Target {
	var out []*wire.Target
	for i := replaced; i < replaced+manyTargets; i++ {
		out = append(out, &wire.Target{
			Id: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.2.%d.%d:1", i>>8, i&255), FailureDomain: fmt.Sprint("d", i%3),
			Slots: 24, Engine: true, State: wire.TargetState_TARGET_STATE_READY,
		})
	}
	return out
}

// publish publishes a list and a load of each of its targets at all replicas.
func (d *deployment) publish(list []*wire.Target, now time.Duration) {
	var loads []*wire.Load
	for _, target := range list {
		loads = append(loads, &wire.Load{Target: target.GetId(), Running: uint32(now.Milliseconds()) % 20, CapacityTokens: 27000})
	}
	for _, r := range d.replicas {
		r.publisher.PublishTargets(list, true, now)
		r.publisher.PublishLoads(loads, now)
	}
}
