package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// LoadPublisher provides the list of targets and publishes the engines' load reports.
type LoadPublisher interface {
	// Targets returns the current list of targets.
	Targets() []*wire.Target
	// PublishLoads publishes reports, which were requested at the time now.
	PublishLoads(loads []*wire.Load, now time.Duration)
}

// ReaderAssignment assigns each engine to the process that reads its reports, and
// distributes the reports that this process read.
type ReaderAssignment interface {
	// IsReader reports whether this process is the reader of an engine in a failure
	// domain.
	IsReader(engine, domain string) bool
	// ForwardLoads distributes reports to all instances.
	ForwardLoads(ctx context.Context, loads []*wire.Load)
}

// Prober reads, at an interval, the load reports of the engines that are assigned to this
// process. Each engine has one reader, which distributes the reports to all instances.
type Prober struct {
	log        logr.Logger
	timers     vanillaward.Timers
	engines    vanillaward.Engines
	publisher  LoadPublisher
	assignment ReaderAssignment
	interval   time.Duration
	leaving    map[string]bool // whether the engine's last report said that it is leaving, by target
	speeds     map[string]*speedometer
}

// NewProber returns a prober that publishes reports to publisher.
func NewProber(log logr.Logger, timers vanillaward.Timers, engines vanillaward.Engines, publisher LoadPublisher, assignment ReaderAssignment, interval time.Duration) *Prober {
	return &Prober{
		log: log, timers: timers, engines: engines, publisher: publisher, assignment: assignment, interval: interval,
		leaving: map[string]bool{}, speeds: map[string]*speedometer{},
	}
}

// Run reads reports until the context ends. It then sends nil on the returned channel.
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
	var assigned []*wire.Target
	for _, t := range p.publisher.Targets() {
		if t.GetEngine() && p.assignment.IsReader(t.GetId(), t.GetFailureDomain()) {
			assigned = append(assigned, t)
		}
	}
	if len(assigned) == 0 {
		return
	}
	startedAt := p.timers.Now()
	read := make([]*wire.Load, len(assigned))
	speeds := make(map[string]*speedometer, len(assigned))
	var wg sync.WaitGroup
	for i, t := range assigned {
		s := p.speeds[t.GetId()]
		if s == nil {
			s = &speedometer{}
		}
		speeds[t.GetId()] = s
		wg.Go(func() { read[i] = p.read(ctx, t, s) })
	}
	wg.Wait()
	var loads []*wire.Load
	leaving := map[string]bool{}
	for _, l := range read {
		if l != nil {
			loads = append(loads, l)
			p.logLeaving(l)
			leaving[l.GetTarget()] = l.GetLeaving()
		}
	}
	p.leaving, p.speeds = leaving, speeds
	p.publisher.PublishLoads(loads, startedAt)
	p.assignment.ForwardLoads(ctx, loads)
}

// read reads the report of a target, which it also adds to the target's speedometer.
func (p *Prober) read(ctx context.Context, t *wire.Target, s *speedometer) *wire.Load {
	report, err := p.engines.Load(ctx, t.GetAddress())
	if err != nil {
		p.log.V(1).Info("cannot read load report of engine", "target", t.GetId(), "reason", err.Error())
		return nil
	}
	load := report.Load
	load.Target = t.GetId()
	load.SpeedPermille = uint32(speedUnit * s.read(report.Progress, load.GetStartedMs(), p.timers.Now()))
	load.SpeedReadings = uint32(len(s.windows))
	return load
}

// logLeaving logs when an engine first reports that it is leaving.
func (p *Prober) logLeaving(l *wire.Load) {
	if l.GetLeaving() && !p.leaving[l.GetTarget()] {
		p.log.Info("engine reports that it is leaving", "target", l.GetTarget(), "leaves-ms", l.GetLeavesMs(), "running", l.GetRunning(), "used-tokens", l.GetUsedTokens())
	}
}
