// Package entry serves callers: it authenticates, admits and routes requests,
// relays answers and determines exactly one outcome for every request.
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
	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/connlimit"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/membudget"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/survival"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection of a caller or to a target may stay open
	// without a request.
	idleTimeout = 2 * time.Minute
	// eventMemory bounds the long events that are being read, all together, in bytes.
	eventMemory = 16 << 20
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 64 << 10
	// admissionTick is how often waiting requests are reconsidered.
	admissionTick = 50 * time.Millisecond
	// stopPollInterval is how often a stopping instance checks for open requests.
	stopPollInterval = 20 * time.Millisecond
	// maxIdleTargetConns bounds the idle connections kept per target.
	maxIdleTargetConns = 32
	// relayBufferBytes is the size of the read buffer and of the write buffer of a
	// pooled connection to a target.
	relayBufferBytes = 2048
)

// Server implements the entry role of an instance.
type Server struct {
	log      logr.Logger
	settings *settings.Settings
	timers   vanillaward.Timers
	store    *config.Store
	guard    *idempotency.Guard
	metrics  *telemetry.Metrics
	recorder *trace.Recorder

	dispatch *dispatcher
	watchdog *watchdog
	loads    *loadReader
	memory   answerMemory
	events   *membudget.Budget // of long events that are being read
	bodies   *bodyread.Pool    // of requests that are read whole
	crashes  *evidence.Ledger
	survival *survival.Watcher
	pooled   *http.Client // reuses connections; for resumes, whose events name their run, and cancellations
	// unpooled opens a connection for each request and never retries one. Refusals and the answers of
	// plain services name no request: on a connection that is used again, an earlier one that the
	// target repeats could not be told from the answer.
	unpooled   *http.Client
	httpServer *http.Server
	open       atomic.Int64 // number of open requests
	stopping   atomic.Bool
	ready      atomic.Bool
	// background tracks calls that outlive their requests.
	background sync.WaitGroup

	mu        sync.Mutex // guards openByOrg; never held while another lock is taken
	openByOrg map[string]int
}

// New returns the entry role of an instance. The recorder may be nil. The seed
// initialises the random choice of targets.
func New(b base.Base, store *config.Store, guard *idempotency.Guard, recorder *trace.Recorder, crashes *evidence.Ledger, seed uint64) *Server {
	s, metrics := b.Settings, b.Metrics
	srv := &Server{
		log: b.Log.WithValues("role", "entry"), settings: s, timers: b.Timers, store: store, guard: guard,
		metrics: metrics, recorder: recorder,
		dispatch: newDispatcher(b.Timers, s.Entry.MaxQueue, seed),
		watchdog: newWatchdog(b.Timers), crashes: crashes, openByOrg: map[string]int{},
	}
	srv.memory.limit = int64(s.Entry.BufferMemory)
	if srv.bodies = b.Bodies; srv.bodies == nil {
		srv.bodies = bodyread.NewPool()
	}
	srv.events = membudget.New(eventMemory)
	srv.pooled = &http.Client{Transport: upstream.Strict(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.Entry.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleTargetConns, DisableCompression: true, MaxResponseHeaderBytes: upstream.MaxHeadBytes,
		IdleConnTimeout: idleTimeout, ReadBufferSize: relayBufferBytes, WriteBufferSize: relayBufferBytes,
	})}
	srv.unpooled = &http.Client{
		Transport: upstream.NewUnpooledTransport(s.Entry.DialTimeout),
		// A redirect would be a second request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	srv.loads = newLoadReader(srv.log, srv.dispatch, metrics, s.Entry.LoadInterval, s.Platform)
	srv.survival = survival.New(b, upstream.NewPool(s.Entry.DialTimeout, 0), crashes)
	srv.httpServer = &http.Server{
		Handler: srv.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeadBytes, ConnState: connlimit.ConnState,
	}
	metrics.Gauge("vanillaward_open_requests", func() float64 { return float64(srv.open.Load()) })
	metrics.Gauge("vanillaward_queued_requests", func() float64 { return float64(srv.dispatch.queued()) })
	metrics.Gauge("vanillaward_held_bytes", func() float64 { return float64(srv.memory.used.Load()) })
	metrics.Gauge("vanillaward_configuration_version", func() float64 { return float64(store.Version()) })
	return srv
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

// Ready reports whether the balancer should send requests to this instance.
func (s *Server) Ready() bool { return s.ready.Load() && s.store.Current() != nil }

// Run serves callers until Stop has finished. The returned channel then receives nil
// or the first error.
func (s *Server) Run(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	background, cancel := context.WithCancel(ctx)
	var tasks []<-chan error
	tasks = append(tasks, s.followConfiguration(background), s.tick(background), s.watchdog.run(background), s.loads.run(background), s.survival.Run(background))
	go func() {
		err := s.httpServer.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		cancel()
		for _, task := range tasks {
			if taskErr := <-task; err == nil {
				err = taskErr
			}
		}
		s.background.Wait()
		s.pooled.CloseIdleConnections()
		done <- err
	}()
	return done
}

// MarkReady marks the instance as ready for requests.
func (s *Server) MarkReady() { s.ready.Store(true) }

// Stop ends the role without interrupting a request, unless the context is done
// first. Readiness fails first, and requests are still accepted for the readiness
// delay, so that the balancer can detect the change. Then new requests are refused
// as not run, and Stop waits for the running ones to finish.
func (s *Server) Stop(ctx context.Context) {
	s.log.Info("stopping", "open", s.open.Load())
	s.recorder.Record(trace.Event{Kind: trace.Stop})
	s.ready.Store(false)
	timer.Sleep(ctx, s.settings.Entry.ReadinessDelay)
	s.stopping.Store(true)
	s.httpServer.SetKeepAlivesEnabled(false)
	for s.open.Load() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, stopPollInterval)
	}
	s.guard.Flush()
	s.guard.TransferRecords(ctx)
	s.recorder.Record(trace.Event{Kind: trace.Stop, Note: "end"})
	if err := s.httpServer.Shutdown(ctx); err != nil {
		s.log.Error(err, "cannot close all connections of callers")
	}
}

// followConfiguration passes each version to the dispatcher and the load reader.
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

// openRequest counts an open request, or returns the problem that refuses it.
func (s *Server) openRequest(org *declaration.Organisation) *problem {
	retryAfter := time.Second
	if n := s.open.Add(1); n > int64(s.settings.Entry.MaxOpen) {
		s.open.Add(-1)
		return refusal(http.StatusServiceUnavailable, codeOpenLimit, "the instance has as many open requests as it may", retryAfter)
	}
	// The request is counted before this check so that Stop cannot miss it.
	if s.stopping.Load() {
		s.open.Add(-1)
		return refusal(http.StatusServiceUnavailable, codeStopping, "the instance is stopping", retryAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := org.MaxOpen(); limit > 0 && s.openByOrg[org.Name()] >= limit {
		s.open.Add(-1)
		return refusal(http.StatusTooManyRequests, codeOpenLimit, "the organisation has as many open requests as it may", retryAfter)
	}
	s.openByOrg[org.Name()]++
	return nil
}

func (s *Server) closeRequest(org *declaration.Organisation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open.Add(-1)
	if s.openByOrg[org.Name()]--; s.openByOrg[org.Name()] <= 0 {
		delete(s.openByOrg, org.Name())
	}
}
