package fleet_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/fleet"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// platform is a list and engines with the answers that a test gives.
type platform struct {
	mu      sync.Mutex // guards the rest
	list    []*wire.Target
	err     error
	asked   map[string]int
	posted  [][]*wire.Target
	changed int
	loads   []*wire.Load
	shared  int
}

func (p *platform) set(list []*wire.Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.err = list, err
}

func (p *platform) PostList(targets []*wire.Target, changed bool, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.posted = append(p.posted, targets)
	if changed {
		p.changed++
	}
}

type directory struct{ *platform }

func (d directory) Targets(context.Context) ([]*wire.Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*wire.Target(nil), d.list...), d.err
}

// TestReader: a list that differs is told as changed, one that cannot be had changes
// nothing, and how long a target is still cold is no change.
func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{}
		p.set([]*wire.Target{{Id: "b", ColdMs: 900}, {Id: "a"}}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		end := fleet.NewReader(logr.Discard(), timertest.New(), directory{p}, p, time.Second, func() bool { return true }).Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		p.set([]*wire.Target{{Id: "a"}, {Id: "b", ColdMs: 100}}, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1, p.changed)
		require.Len(t, p.posted, 4)
		require.Equal(t, "a", p.posted[3][0].GetId(), "the order of the platform does not count")
		p.set(nil, errors.New("lost"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Len(t, p.posted, 4)
		p.set([]*wire.Target{{Id: "a", State: wire.TargetState_TARGET_STATE_LEAVING}}, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, p.changed)
		cancel()
		require.NoError(t, <-end)
	})
}

type board struct{ *platform }

func (b board) Targets() []*wire.Target { return b.list }

func (b board) PostLoads(loads []*wire.Load, _ time.Duration) { b.loads = loads }

type reports struct{ *platform }

func (r reports) Load(_ context.Context, address string) (*wire.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[address]++
	if address == "dark" {
		return nil, errors.New("no answer")
	}
	return &wire.Load{Running: 2}, nil
}

// TestProber: only engines of the own failure domain are asked, and one that does not
// answer leaves the others.
func TestProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{asked: map[string]int{}, list: []*wire.Target{
			{Id: "a", Address: "near", FailureDomain: "home", Engine: true},
			{Id: "b", Address: "dark", FailureDomain: "home", Engine: true},
			{Id: "c", Address: "far", FailureDomain: "abroad", Engine: true},
			{Id: "d", Address: "plain", FailureDomain: "home"},
		}}
		ctx, cancel := context.WithCancel(context.Background())
		end := fleet.NewProber(logr.Discard(), timertest.New(), engines{reports{p}}, board{p}, readers{p}, time.Second).Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		cancel()
		require.NoError(t, <-end)
		require.Equal(t, map[string]int{"near": 2, "dark": 2}, p.asked)
		require.Len(t, p.loads, 1)
		require.Equal(t, "a", p.loads[0].GetTarget())
		require.Equal(t, 1, p.shared)
	})
}

// readers says that this process reads the engines of the domain home.
type readers struct{ *platform }

func (readers) Reads(_, domain string) bool { return domain == "home" }

func (r readers) ShareLoads(_ context.Context, loads []*wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shared = len(loads)
}

// engines adds the calls that the prober does not make.
type engines struct{ reports }

func (engines) Move(context.Context, vanillaward.Move) (vanillaward.MoveResult, error) {
	return vanillaward.MoveResult{}, errors.New("not asked for")
}

func (engines) Drop(context.Context, string, string) error { return errors.New("not asked for") }
