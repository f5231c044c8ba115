package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/vanillaward/vanillaward/internal/capacity"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// replicas is a set of nodes of one replicated log in this process. They use real
// disks and communicate over loopback.
type replicas struct {
	ctx            context.Context //nolint:containedctx // bounds the lifetime of the set
	cancel         context.CancelFunc
	folder         string
	creds          *peer.Credentials
	nodes          []*control.Node
	peers          []inifile.Peer
	componentsDone []<-chan error
	traffic        *peer.Traffic // of all replicas, including their responses to subscribers
}

func newReplicas(n int) (*replicas, error) {
	folder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &replicas{ctx: ctx, cancel: cancel, folder: folder, traffic: &peer.Traffic{}}
	if err := peer.WriteAuthority(filepath.Join(folder, "authority")); err != nil {
		return nil, err
	}
	if err := peer.WriteCredentials(filepath.Join(folder, "instance"), filepath.Join(folder, "authority"), "instance", peer.RoleInstance); err != nil {
		return nil, err
	}
	if r.creds, err = peer.LoadCredentials(filepath.Join(folder, "instance")); err != nil {
		return nil, err
	}
	for i := range n {
		if err := r.start(i); err != nil {
			return nil, err
		}
	}
	membership := &wire.Membership{}
	for i, node := range r.nodes {
		identity, err := node.Identity(ctx)
		if err != nil {
			return nil, err
		}
		membership.Replicas = append(membership.Replicas, &wire.Replica{Id: identity.GetId(), Name: r.peers[i].Name, Address: r.peers[i].Address.String()})
	}
	for _, node := range r.nodes {
		if err := node.Bootstrap(ctx, membership); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *replicas) start(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	disk, err := storage.NewDir(filepath.Join(r.folder, fmt.Sprint("data-", i)))
	if err != nil {
		return err
	}
	store := config.NewStore()
	transport := control.NewPeerTransport(r.ctx, logr.Discard(), address.String(), r.creds, r.traffic)
	node := control.NewNode(logr.Discard(), disk, timer.New(), transport, store, fmt.Sprint("id-", i), uint64(i))
	server := peer.NewServer(logr.Discard(), r.creds, r.traffic)
	self := inifile.Peer{Name: fmt.Sprint("replica-", i), Address: address}
	control.NewService(r.ctx, node, store, timer.New(), peer.NewPool(r.creds, r.traffic), self).Register(server)
	r.nodes = append(r.nodes, node)
	r.peers = append(r.peers, self)
	r.componentsDone = append(r.componentsDone, node.Run(r.ctx), server.Serve(r.ctx, listener))
	return nil
}

func (r *replicas) close() {
	r.cancel()
	for _, done := range r.componentsDone {
		<-done //nolint:errcheck // the set is discarded, so its errors do not matter
	}
	_ = os.RemoveAll(r.folder) // best effort
}

// change commits a change at the leader. It tries all nodes for up to 20 s and
// then returns the last error.
func (r *replicas) change(identity string, expected uint64, edits []*wire.SectionEdit) error {
	lastErr := errors.New("no node has become the leader")
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		for _, node := range r.nodes {
			ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
			result, err := node.Change(ctx, &wire.Change{Identity: identity, ExpectedVersion: expected, Operator: "measure", Edits: edits})
			cancel()
			if err == nil && result.GetStatus() == wire.ChangeStatus_CHANGE_STATUS_ACCEPTED {
				return nil
			}
			if err == nil {
				err = errors.Errorf("change %s not accepted: status %v, findings %v", identity, result.GetStatus(), result.GetFindings())
			}
			lastErr = err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return lastErr
}

func oneEdit(n int) []*wire.SectionEdit {
	return []*wire.SectionEdit{{Id: "class c", Text: fmt.Sprintf("[class c]\nidempotent = true\nurgency = %d\n", n)}}
}

// acceptance measures the time from a change to its commit, including the disk
// syncs.
func acceptance() ([]*capacity.Series, error) {
	p50 := &capacity.Series{Name: "acceptance-p50", Command: measureCommand, Size: "replicas", Unit: "milliseconds"}
	p99 := &capacity.Series{Name: "acceptance-p99", Command: measureCommand, Size: "replicas", Unit: "milliseconds"}
	for _, n := range []int{1, 3, 5, 7} {
		r, err := newReplicas(n)
		if err != nil {
			return nil, err
		}
		if err := r.change("first", 0, sectionEdits(1000)); err != nil {
			return nil, err
		}
		var times []time.Duration
		for i := range 200 {
			start := time.Now()
			if err := r.change(fmt.Sprint("c", i), uint64(i+1), oneEdit(i)); err != nil {
				return nil, err
			}
			times = append(times, time.Since(start))
		}
		r.close()
		slices.Sort(times)
		p50.Add(float64(n), millis(times[len(times)/2]))
		p99.Add(float64(n), millis(times[len(times)*99/100]))
	}
	return []*capacity.Series{p50, p99}, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// propagation measures the time and cost of sending a change to many subscribers,
// and the traffic of idle subscribers.
func propagation() ([]*capacity.Series, error) {
	inForce := &capacity.Series{Name: "accepted-to-in-force-p99", Command: measureCommand, Size: "instances", Unit: "milliseconds"}
	idle := &capacity.Series{Name: "idle-traffic", Command: measureCommand, Size: "instances", Unit: "bytes a second of an instance"}
	changeTraffic := &capacity.Series{Name: "change-traffic", Command: measureCommand, Size: "instances", Unit: "bytes of an instance a change"}
	processor := &capacity.Series{Name: "change-processor", Command: measureCommand, Size: "instances", Unit: "milliseconds of processor, all instances and replicas, a change"}
	for _, n := range []int{9, 100, 400, 1100} {
		if err := measurePropagation(n, inForce, idle, changeTraffic, processor); err != nil {
			return nil, err
		}
	}
	return []*capacity.Series{inForce, idle, changeTraffic, processor}, nil
}

func measurePropagation(n int, inForce, idle, changeTraffic, processor *capacity.Series) error {
	r, err := newReplicas(3)
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.change("first", 0, sectionEdits(50)); err != nil {
		return err
	}
	traffic := &peer.Traffic{}
	stores := make([]*config.Store, n)
	var subscribersDone []<-chan error
	for i := range n {
		stores[i] = config.NewStore()
		order := append(slices.Clone(r.peers[i%3:]), r.peers[:i%3]...)
		s := config.NewSubscriber(logr.Discard(), stores[i], inifile.Peer{Name: fmt.Sprint("i", i), Address: r.peers[0].Address}, "d",
			4*time.Second, order, nil, r.creds, traffic)
		subscribersDone = append(subscribersDone, s.Run(r.ctx))
		if i%20 == 19 {
			time.Sleep(20 * time.Millisecond) // spreads out the handshakes, because many at the same time are costly
		}
	}
	awaitVersion(stores, 1)
	before := traffic.Received() + traffic.Sent()
	const idlePeriod = 8 * time.Second
	time.Sleep(idlePeriod)
	idle.Add(float64(n), float64(traffic.Received()+traffic.Sent()-before)/idlePeriod.Seconds()/float64(n))
	const changes = 20
	var times []time.Duration
	before, cpu := traffic.Received()+traffic.Sent(), processorTime()
	for i := range changes {
		if err := r.change(fmt.Sprint("s", i), uint64(i+1), oneEdit(i)); err != nil {
			return err
		}
		times = append(times, awaitVersion(stores, uint64(i+2))...)
	}
	slices.Sort(times)
	inForce.Add(float64(n), millis(times[len(times)*99/100]))
	changeTraffic.Add(float64(n), float64(traffic.Received()+traffic.Sent()-before)/changes/float64(n))
	processor.Add(float64(n), millis(processorTime()-cpu)/changes)
	r.cancel()
	for _, done := range subscribersDone {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// awaitVersion waits until each store has a version and returns how long each one
// took.
func awaitVersion(stores []*config.Store, version uint64) []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(stores))
	var wg sync.WaitGroup
	for i, s := range stores {
		wg.Go(func() {
			for {
				changed := s.Changed()
				if s.Version() >= version {
					break
				}
				<-changed
			}
			times[i] = time.Since(start)
		})
	}
	wg.Wait()
	return times
}

func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// restart measures how long a replica takes to restore its state after a start.
func restart() ([]*capacity.Series, error) {
	s := &capacity.Series{Name: "restart", Command: measureCommand, Size: "changes", Unit: "milliseconds"}
	r, err := newReplicas(1)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.change("first", 0, sectionEdits(500)); err != nil {
		return nil, err
	}
	committed := 0
	for _, n := range []int{1000, 2500, 5000, 10000} {
		for ; committed < n; committed++ {
			if err := r.change(fmt.Sprint("c", committed), uint64(committed+1), oneEdit(committed)); err != nil {
				return nil, err
			}
		}
		elapsed, err := reopen(filepath.Join(r.folder, "data-0"))
		if err != nil {
			return nil, err
		}
		s.Add(float64(n), millis(elapsed))
	}
	return []*capacity.Series{s}, nil
}

// reopen restores the state from a copy of a data folder in the same way as a
// starting replica, and returns the time that this took.
func reopen(folder string) (time.Duration, error) {
	copyFolder, err := os.MkdirTemp("", "measure")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(copyFolder) }() // best effort
	if err := os.CopyFS(filepath.Join(copyFolder, "data"), os.DirFS(folder)); err != nil {
		return 0, err
	}
	start := time.Now()
	disk, err := storage.NewDir(filepath.Join(copyFolder, "data"))
	if err != nil {
		return 0, err
	}
	store, err := storage.Open(disk, "unused")
	if err != nil {
		return 0, err
	}
	durable := store.Durable()
	state := control.NewState()
	if durable.Snapshot != nil && len(durable.Snapshot.GetState()) > 0 {
		if state, err = control.RestoreState(durable.Snapshot.GetState()); err != nil {
			return 0, err
		}
	}
	for _, e := range durable.Entries {
		if len(e.GetData()) > 0 {
			if _, err := state.Apply(e.GetIndex(), e.GetData()); err != nil {
				return 0, err
			}
		}
	}
	configStore := config.NewStore()
	if err := configStore.Reset(state.Version(), config.SectionsFromTexts(state.Texts())); err != nil {
		return 0, err
	}
	return time.Since(start), store.Close()
}
