package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// LoadBoard tells the targets and takes the engines' reports.
type LoadBoard interface {
	Targets() []*wire.Target
	PostLoads(loads []*wire.Load, now time.Duration)
}

// Readers tells who reads which engine, and hands on what was read here.
type Readers interface {
	// Reads reports whether this process is the reader of an engine in a failure
	// domain.
	Reads(engine, domain string) bool
	// ShareLoads hands loads to where all instances learn them.
	ShareLoads(ctx context.Context, loads []*wire.Load)
}

// Prober reads the reports of engines at an interval. Each engine has one reader,
// whose findings reach all instances.
type Prober struct {
	log      logr.Logger
	timers   vanillaward.Timers
	engines  vanillaward.Engines
	board    LoadBoard
	readers  Readers
	interval time.Duration
	leaving  map[string]bool // what the last reports said, by engine
}

// NewProber returns a reader of reports that posts to the board.
func NewProber(log logr.Logger, timers vanillaward.Timers, engines vanillaward.Engines, board LoadBoard, readers Readers, interval time.Duration) *Prober {
	return &Prober{
		log: log, timers: timers, engines: engines, board: board, readers: readers, interval: interval,
		leaving: map[string]bool{},
	}
}

// Run reads until the context ends and reports its end on the returned channel.
func (p *Prober) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range p.timers.Subscribe(ctx, p.interval) {
			p.step(ctx)
		}
		done <- nil
	}()
	return done
}

func (p *Prober) step(ctx context.Context) {
	var own []*wire.Target
	for _, t := range p.board.Targets() {
		if t.GetEngine() && p.readers.Reads(t.GetId(), t.GetFailureDomain()) {
			own = append(own, t)
		}
	}
	if len(own) == 0 {
		return
	}
	asked := p.timers.Now()
	read := make([]*wire.Load, len(own))
	var reading sync.WaitGroup
	for i, t := range own {
		reading.Go(func() { read[i] = p.read(ctx, t) })
	}
	reading.Wait()
	var loads []*wire.Load
	leaving := map[string]bool{}
	for _, l := range read {
		if l != nil {
			loads = append(loads, l)
			p.note(l)
			leaving[l.GetTarget()] = l.GetLeaving()
		}
	}
	p.leaving = leaving
	p.board.PostLoads(loads, asked)
	p.readers.ShareLoads(ctx, loads)
}

func (p *Prober) read(ctx context.Context, t *wire.Target) *wire.Load {
	load, err := p.engines.Load(ctx, t.GetAddress())
	if err != nil {
		p.log.V(1).Info("report of an engine not read", "target", t.GetId(), "reason", err.Error())
		return nil
	}
	load.Target = t.GetId()
	return load
}

// note logs an engine's first word that it leaves.
func (p *Prober) note(l *wire.Load) {
	if l.GetLeaving() && !p.leaving[l.GetTarget()] {
		p.log.Info("engine says that it leaves", "target", l.GetTarget(), "leaves-ms", l.GetLeavesMs(), "running", l.GetRunning(), "used-tokens", l.GetUsedTokens())
	}
}
