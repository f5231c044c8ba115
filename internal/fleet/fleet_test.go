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

// platform is a stub of the platform's list, the engines and the publishers.
type platform struct {
	mu        sync.Mutex // guards the fields below
	list      []*wire.Target
	err       error
	reads     map[string]int
	published [][]*wire.Target
	changed   int
	loads     []*wire.Load
	forwarded int
}

func (p *platform) set(list []*wire.Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.err = list, err
}

func (p *platform) PublishTargets(targets []*wire.Target, changed bool, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = append(p.published, targets)
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

// TestReader checks that a list that differs is published as changed, that a failed
// reading publishes nothing, and that a different remaining warm-up time is no change.
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
		require.Len(t, p.published, 4)
		require.Equal(t, "a", p.published[3][0].GetId(), "the order of the platform's list is ignored")
		p.set(nil, errors.New("lost"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Len(t, p.published, 4)
		p.set([]*wire.Target{{Id: "a", State: wire.TargetState_TARGET_STATE_LEAVING}}, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 2, p.changed)
		cancel()
		require.NoError(t, <-end)
	})
}

type publisher struct{ *platform }

func (p publisher) Targets() []*wire.Target { return p.list }

func (p publisher) PublishLoads(loads []*wire.Load, _ time.Duration) { p.loads = loads }

type reports struct{ *platform }

func (r reports) Load(_ context.Context, address string) (*vanillaward.EngineReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads[address]++
	if address == "dark" {
		return nil, errors.New("no answer")
	}
	return &vanillaward.EngineReport{Load: &wire.Load{Running: 2}}, nil
}

// TestProber checks that only engines that are assigned to this process are read, and
// that an engine that does not respond does not affect the others.
func TestProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{reads: map[string]int{}, list: []*wire.Target{
			{Id: "a", Address: "near", FailureDomain: "home", Engine: true},
			{Id: "b", Address: "dark", FailureDomain: "home", Engine: true},
			{Id: "c", Address: "far", FailureDomain: "abroad", Engine: true},
			{Id: "d", Address: "plain", FailureDomain: "home"},
		}}
		ctx, cancel := context.WithCancel(context.Background())
		end := fleet.NewProber(logr.Discard(), timertest.New(), engines{reports{p}}, publisher{p}, assignment{p}, time.Second).Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		cancel()
		require.NoError(t, <-end)
		require.Equal(t, map[string]int{"near": 2, "dark": 2}, p.reads)
		require.Len(t, p.loads, 1)
		require.Equal(t, "a", p.loads[0].GetTarget())
		require.Equal(t, 1, p.forwarded)
	})
}

// assignment assigns the engines of the domain home to this process.
type assignment struct{ *platform }

func (assignment) IsReader(_, domain string) bool { return domain == "home" }

func (a assignment) ForwardLoads(_ context.Context, loads []*wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forwarded = len(loads)
}

// engines adds the methods of vanillaward.Engines that the prober does not call.
type engines struct{ reports }

func (engines) Move(context.Context, vanillaward.Move) (vanillaward.MoveResult, error) {
	return vanillaward.MoveResult{}, errors.New("unexpected call")
}

func (engines) Runs(context.Context, string) (vanillaward.EngineRuns, error) {
	return vanillaward.EngineRuns{}, errors.New("unexpected call")
}

func (engines) Drop(context.Context, string, string) error { return errors.New("unexpected call") }
