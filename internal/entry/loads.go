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
)

const (
	// loadTimeout bounds one reading of a load or of the platform's list.
	loadTimeout = 2 * time.Second
	maxListBody = 16 << 20
)

// loadReader reads the engines' loads and the platform's list at intervals.
type loadReader struct {
	log      logr.Logger
	dispatch *dispatcher
	metrics  *telemetry.Metrics
	interval time.Duration
	platform settings.Platform
	client   *http.Client

	mu      sync.Mutex // guards engines and busy; never held while another lock is taken
	engines []*declaration.Target
	names   map[string][]string // the dispatcher's names of each target
	busy    map[string]bool     // targets whose last reading has not ended
}

func newLoadReader(log logr.Logger, d *dispatcher, m *telemetry.Metrics, interval time.Duration, p settings.Platform) *loadReader {
	return &loadReader{
		log: log, dispatch: d, metrics: m, interval: interval, platform: p,
		client: &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		busy:   map[string]bool{},
	}
}

func (l *loadReader) configure(set *declaration.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines = nil
	l.names = map[string][]string{}
	for _, t := range set.Targets() {
		if t.Engine() {
			l.engines = append(l.engines, t)
			l.names[t.Name()] = []string{t.Name()}
		}
	}
	for _, s := range set.Services() {
		for _, name := range s.Targets() {
			l.names[name] = append(l.names[name], plainName(s.Name(), name))
		}
	}
}

// run reads until the context ends. It reports its end once all readings have
// ended.
func (l *loadReader) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var reading sync.WaitGroup
		reading.Go(func() { l.followPlatform(ctx) })
		ticks := l.dispatch.timers.Subscribe(ctx, l.interval)
		for range ticks {
			for _, t := range l.due() {
				reading.Go(func() { l.read(ctx, t) })
			}
		}
		reading.Wait()
		l.client.CloseIdleConnections()
		done <- nil
	}()
	return done
}

// due returns the engines that are not being read already.
func (l *loadReader) due() []*declaration.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*declaration.Target
	for _, t := range l.engines {
		if !l.busy[t.Name()] {
			l.busy[t.Name()] = true
			out = append(out, t)
		}
	}
	return out
}

func (l *loadReader) read(ctx context.Context, t *declaration.Target) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.busy, t.Name())
	}()
	report, err := engineapi.ReadLoad(ctx, l.client, t.Address().String())
	if err != nil {
		l.log.V(1).Info("load cannot be read", "target", t.Name(), "reason", err.Error())
		return
	}
	l.metrics.Preemptions(t.Name(), report.Preemptions)
	l.dispatch.report(t.Name(), admission.Load{
		Running: report.Running, Waiting: report.Waiting, UsedTokens: report.UsedTokens,
		Leaving: report.Leaving, Ready: report.Loaded(t) && report.Role == t.Role(),
	})
}

// followPlatform reads the platform's list of targets. It lags, so an entry only
// ever takes targets out; the engines' own word comes sooner.
func (l *loadReader) followPlatform(ctx context.Context) {
	if l.platform.List == "" {
		return
	}
	for range l.dispatch.timers.Subscribe(ctx, l.platform.PollInterval) {
		states := map[string]string{}
		if err := engineapi.GetJSON(ctx, l.client, l.platform.List, maxListBody, &states); err != nil {
			l.log.V(1).Info("platform's list cannot be read", "reason", err.Error())
			continue
		}
		l.apply(states)
	}
}

func (l *loadReader) apply(states map[string]string) {
	l.mu.Lock()
	names := l.names
	l.mu.Unlock()
	for target, state := range states {
		for _, name := range names[target] {
			l.dispatch.leaving(name, state == platformLeaving)
		}
	}
}

// platformLeaving is the state of a leaving target in the platform's list.
const platformLeaving = "leaving"
