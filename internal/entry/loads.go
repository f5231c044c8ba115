package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// loadTimeout bounds one read of a load report or of the platform's list.
	loadTimeout = 2 * time.Second
	// maxListBody bounds the size of the platform's list in bytes.
	maxListBody = 16 << 20
)

// loadReader polls the engines' loads and the platform's list.
type loadReader struct {
	log      logr.Logger
	dispatch *dispatcher
	metrics  *telemetry.Metrics
	interval time.Duration
	platform settings.Platform
	client   *http.Client

	mu         sync.Mutex // guards the fields below; never held while another lock is taken
	engines    []*declaration.Target
	poolNames  map[string][]string // the dispatcher's names for each target
	inProgress map[string]bool     // targets whose last read has not finished
}

func newLoadReader(log logr.Logger, d *dispatcher, m *telemetry.Metrics, interval time.Duration, p settings.Platform) *loadReader {
	return &loadReader{
		log: log, dispatch: d, metrics: m, interval: interval, platform: p,
		client:     &http.Client{Timeout: loadTimeout, Transport: upstream.Strict(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: upstream.MaxHeadBytes})},
		inProgress: map[string]bool{},
	}
}

func (l *loadReader) configure(set *declaration.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines = nil
	l.poolNames = map[string][]string{}
	for _, t := range set.Targets() {
		if t.Engine() {
			l.engines = append(l.engines, t)
			l.poolNames[t.Name()] = []string{t.Name()}
		}
	}
	for _, s := range set.Services() {
		for _, name := range s.Targets() {
			l.poolNames[name] = append(l.poolNames[name], plainTargetName(s.Name(), name))
		}
	}
}

// run polls until the context is done. The returned channel receives nil once all
// reads have finished.
func (l *loadReader) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var reads sync.WaitGroup
		reads.Go(func() { l.pollPlatform(ctx) })
		ticks := l.dispatch.timers.Subscribe(ctx, l.interval)
		for range ticks {
			for _, t := range l.due() {
				reads.Go(func() { l.read(ctx, t) })
			}
		}
		reads.Wait()
		l.client.CloseIdleConnections()
		done <- nil
	}()
	return done
}

// due returns the engines whose previous read has finished and marks them as being
// read.
func (l *loadReader) due() []*declaration.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*declaration.Target
	for _, t := range l.engines {
		if !l.inProgress[t.Name()] {
			l.inProgress[t.Name()] = true
			out = append(out, t)
		}
	}
	return out
}

func (l *loadReader) read(ctx context.Context, t *declaration.Target) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.inProgress, t.Name())
	}()
	report, err := engineapi.ReadLoad(ctx, l.client, t.Address().String())
	if err != nil {
		l.log.V(1).Info("cannot read load report", "target", t.Name(), "reason", err.Error())
		return
	}
	l.metrics.Preemptions(t.Name(), report.Preemptions)
	l.dispatch.report(t.Name(), admission.Load{
		Running: report.Running, Waiting: report.Waiting, UsedTokens: report.UsedTokens,
		Leaving: report.Leaving, Ready: report.Loaded(t) && report.Role == t.Role(),
	})
}

// pollPlatform polls the platform's list of targets. The list lags behind the
// engines' own reports, so it is used only to mark targets as leaving.
func (l *loadReader) pollPlatform(ctx context.Context) {
	if l.platform.ListURL == "" {
		return
	}
	for range l.dispatch.timers.Subscribe(ctx, l.platform.PollInterval) {
		states := map[string]string{}
		if err := engineapi.GetJSON(ctx, l.client, l.platform.ListURL, maxListBody, &states); err != nil {
			l.log.V(1).Info("cannot read the platform's list of targets", "reason", err.Error())
			continue
		}
		l.applyStates(states)
	}
}

func (l *loadReader) applyStates(states map[string]string) {
	l.mu.Lock()
	names := l.poolNames
	l.mu.Unlock()
	for target, state := range states {
		for _, name := range names[target] {
			l.dispatch.setLeaving(name, state == platformLeaving)
		}
	}
}

// platformLeaving is the state of a leaving target in the platform's list.
const platformLeaving = "leaving"
