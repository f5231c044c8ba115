// Package entry serves callers: it authenticates, admits and routes requests,
// relays answers and gives every request exactly one true outcome.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/once"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections that callers keep open without a request.
	idleTimeout = 2 * time.Minute
	// admissionTick is how often waiting requests are looked at.
	admissionTick = 50 * time.Millisecond
	// stopPoll is how often a stopping instance looks for open requests.
	stopPoll = 20 * time.Millisecond
	// targetConnections bounds the idle connections that are kept to a target.
	targetConnections = 32
	// relayBufferBytes is the size of the read and write buffers of a connection
	// to an engine.
	relayBufferBytes = 2048
)

// Server is the role entry of an instance.
type Server struct {
	log      logr.Logger
	settings *settings.Settings
	timers   vanillaward.Timers
	store    *config.Store
	guard    *once.Guard
	metrics  *telemetry.Metrics
	recorder *trace.Recorder

	dispatch *dispatcher
	watch    *watchdog
	loads    *loadReader
	memory   heldMemory
	engines  *http.Client // for idempotent requests, with connections that are kept
	fresh    *http.Client // one connection a request, never retried
	http     *http.Server
	open     atomic.Int64
	stopping atomic.Bool
	ready    atomic.Bool
	// background counts calls that outlive their requests.
	background sync.WaitGroup

	mu        sync.Mutex // guards openByOrg; never held while another lock is taken
	openByOrg map[string]int
}

// New returns the role entry of an instance. Recorder may be nil; the seed feeds
// the choice of targets.
func New(b base.Base, store *config.Store, guard *once.Guard, recorder *trace.Recorder, seed uint64) *Server {
	s, metrics := b.Settings, b.Metrics
	v := &Server{
		log: b.Log.WithValues("role", "entry"), settings: s, timers: b.Timers, store: store, guard: guard,
		metrics: metrics, recorder: recorder,
		dispatch: newDispatcher(b.Timers, s.Entry.MaxQueue, seed),
		watch:    newWatchdog(b.Timers), openByOrg: map[string]int{},
	}
	v.memory.limit = int64(s.Entry.WholeMemory)
	v.engines = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.Entry.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: targetConnections, DisableCompression: true,
		IdleConnTimeout: idleTimeout, ReadBufferSize: relayBufferBytes, WriteBufferSize: relayBufferBytes,
	}}
	v.fresh = &http.Client{
		Transport: upstream.NewUnpooledTransport(s.Entry.DialTimeout),
		// A redirect would be a second request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	v.loads = newLoadReader(v.log, v.dispatch, metrics, s.Entry.LoadInterval, s.Platform)
	v.http = &http.Server{
		Handler: v.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	metrics.Gauge("vanillaward_open_requests", func() float64 { return float64(v.open.Load()) })
	metrics.Gauge("vanillaward_queued_requests", func() float64 { return float64(v.dispatch.queued()) })
	metrics.Gauge("vanillaward_held_bytes", func() float64 { return float64(v.memory.used.Load()) })
	metrics.Gauge("vanillaward_configuration_version", func() float64 { return float64(store.Version()) })
	return v
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, true) })
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/services/{service}/{rest...}", s.plain)
	mux.HandleFunc("GET /outcomes/{key}", s.outcome)
	return mux
}

// Ready reports whether the balancer should send requests here.
func (s *Server) Ready() bool { return s.ready.Load() && s.store.Current() != nil }

// Run serves callers until Stop has ended. It reports its end on the returned
// channel.
func (s *Server) Run(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	background, cancel := context.WithCancel(ctx)
	var ended []<-chan error
	ended = append(ended, s.followConfiguration(background), s.tick(background), s.watch.run(background), s.loads.run(background))
	go func() {
		err := s.http.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		cancel()
		for _, end := range ended {
			if endErr := <-end; err == nil {
				err = endErr
			}
		}
		s.background.Wait()
		s.engines.CloseIdleConnections()
		done <- err
	}()
	return done
}

// Admit makes the instance ready for requests.
func (s *Server) Admit() { s.ready.Store(true) }

// Stop ends the role without cutting a request: readiness fails first, requests
// are still taken until the balancer had time to see it, then new ones are
// refused as not run, and the running ones end by themselves.
func (s *Server) Stop(ctx context.Context) {
	s.log.Info("stopping", "open", s.open.Load())
	s.recorder.Record(trace.Event{Kind: trace.Stop})
	s.ready.Store(false)
	sleep(ctx, s.settings.Entry.ReadinessDelay)
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	for s.open.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, stopPoll)
	}
	s.guard.Flush()
	s.guard.HandOn(ctx)
	s.recorder.Record(trace.Event{Kind: trace.Stop, Note: "end"})
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Error(err, "connections of callers were still open")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followConfiguration hands each version to the dispatcher and the load reader.
func (s *Server) followConfiguration(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			changed := s.store.Changed()
			if set := s.store.Current(); set != nil {
				s.dispatch.configure(set, s.settings.Entry.MaxQueue)
				s.loads.configure(set)
				s.recorder.Record(trace.Event{Kind: trace.InForce, Version: set.Version()})
			}
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
		done <- nil
	}()
	return done
}

func (s *Server) tick(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range s.timers.Subscribe(ctx, admissionTick) {
			s.dispatch.tick()
		}
		done <- nil
	}()
	return done
}

// enter counts a request in, or returns why it is refused.
func (s *Server) enter(org *declaration.Organisation) *problem {
	retry := time.Second
	if n := s.open.Add(1); n > int64(s.settings.Entry.MaxOpen) {
		s.open.Add(-1)
		return refusal(http.StatusServiceUnavailable, codeOpenLimit, "the instance has as many open requests as it may", retry)
	}
	// Counted before the check, so that Stop cannot miss a request.
	if s.stopping.Load() {
		s.open.Add(-1)
		return refusal(http.StatusServiceUnavailable, codeStopping, "the instance is stopping", retry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := org.MaxOpen(); limit > 0 && s.openByOrg[org.Name()] >= limit {
		s.open.Add(-1)
		return refusal(http.StatusTooManyRequests, codeOpenLimit, "the organisation has as many open requests as it may", retry)
	}
	s.openByOrg[org.Name()]++
	return nil
}

func (s *Server) leave(org *declaration.Organisation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open.Add(-1)
	if s.openByOrg[org.Name()]--; s.openByOrg[org.Name()] <= 0 {
		delete(s.openByOrg, org.Name())
	}
}
