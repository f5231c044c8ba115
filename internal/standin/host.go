package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/engine"
)

const (
	reportLag = 200 * time.Millisecond
	// loadInterval is the interval between two loads of weights from the weight store,
	// and loadTime the duration of one.
	loadInterval  = 500 * time.Millisecond
	loadTime      = 500 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// Host runs the stand-ins of a deployment in one process, each at its declared
// address.
type Host struct {
	engines map[string]*Engine
	plains  map[string]*Plain
	list    *PlatformList
	targets []*declaration.Target
}

// NewHost returns the stand-ins for the targets. Speed divides the engines'
// durations; listLag delays changes of the platform's list.
func NewHost(targets []*declaration.Target, speed float64, listLag time.Duration) *Host {
	h := &Host{engines: map[string]*Engine{}, plains: map[string]*Plain{}, targets: targets, list: NewPlatformList(listLag)}
	store := NewWeightStore(loadInterval, loadTime)
	for _, t := range targets {
		h.list.Set(t.Name(), StateLive)
		if !t.Engine() {
			h.plains[t.Name()] = NewPlain(t.Name())
			continue
		}
		engineConfig := engine.DefaultConfig()
		engineConfig.CapacityTokens = t.KVTokens()
		h.engines[t.Name()] = NewEngine(EngineConfig{
			Name: t.Name(), Model: t.Model(), Version: t.ModelVersion(), Batch: engineConfig,
			ReportLag: reportLag, ChecksFence: t.ChecksFence(), Speed: speed,
		}, store)
	}
	return h
}

// Engine returns an engine by name, or nil.
func (h *Host) Engine(name string) *Engine { return h.engines[name] }

// Plain returns a plain service by name, or nil.
func (h *Host) Plain(name string) *Plain { return h.plains[name] }

// OpenGenerations returns how many unfinished generations all engines have together.
func (h *Host) OpenGenerations() int {
	n := 0
	for _, e := range h.engines {
		n += e.OpenGenerations()
	}
	return n
}

// Run serves all stand-ins and the admin interface until the context is cancelled.
// It returns an error if an address cannot be listened on; the returned channel
// receives the result when everything has stopped.
func (h *Host) Run(ctx context.Context, admin string) (<-chan error, error) {
	servers := []*http.Server{}
	var serving sync.WaitGroup
	serve := func(address string, handler http.Handler) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "stand-in")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		serving.Go(func() { _ = server.Serve(listener) }) // returns after Close
		return nil
	}
	for _, t := range h.targets {
		handler := h.handler(t)
		if err := serve(t.Address().String(), handler); err != nil {
			return nil, err
		}
	}
	if err := serve(admin, h.Admin()); err != nil {
		return nil, err
	}
	var engineResults []<-chan error
	for _, e := range h.engines {
		engineResults = append(engineResults, e.Run(ctx))
	}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		for _, s := range servers {
			_ = s.Close() // aborts open streams on purpose
		}
		serving.Wait()
		var err error
		for _, engineResult := range engineResults {
			if engineErr := <-engineResult; err == nil {
				err = engineErr
			}
		}
		done <- err
	}()
	return done, nil
}

func (h *Host) handler(t *declaration.Target) http.Handler {
	if e := h.engines[t.Name()]; e != nil {
		inner := e.Handler()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if e.dead() {
				panic(http.ErrAbortHandler)
			}
			inner.ServeHTTP(w, r)
		})
	}
	return h.plains[t.Name()].Handler()
}

// Admin returns the HTTP interface that sets faults and shows which requests ran:
//
//	POST /faults/{target}      sets the faults of a target
//	GET  /runs/{target}        how often a plain service ran each request
//	GET  /platform/targets     the platform's lagging list
//	POST /platform/{target}    sets a target's state in the list
func (h *Host) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults/{target}", h.setFaults)
	mux.HandleFunc("GET /runs/{target}", func(w http.ResponseWriter, r *http.Request) {
		p := h.plains[r.PathValue("target")]
		if p == nil {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, p.Runs())
	})
	mux.HandleFunc("GET /platform/targets", h.list.serve)
	mux.HandleFunc("POST /platform/{target}", func(w http.ResponseWriter, r *http.Request) {
		h.list.Set(r.PathValue("target"), r.URL.Query().Get("state"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (h *Host) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	name := r.PathValue("target")
	switch {
	case h.engines[name] != nil:
		h.engines[name].SetFaults(f)
	case h.plains[name] != nil:
		h.plains[name].SetFaults(f)
	default:
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// States in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// PlatformList is the platform's list of targets, which shows changes after a lag.
type PlatformList struct {
	lag time.Duration

	mu      sync.Mutex // guards the rest
	changes []listChange
}

type listChange struct {
	name  string
	state string
	at    time.Time
}

// NewPlatformList returns an empty list that shows changes after the given lag.
func NewPlatformList(lag time.Duration) *PlatformList { return &PlatformList{lag: lag} }

// Set changes the state of a target; an empty state removes it from the list.
func (l *PlatformList) Set(name, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{name, state, time.Now()})
}

func (l *PlatformList) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	out := map[string]string{}
	for i, c := range l.changes {
		// The first state of a target has no lag: it is the initial state.
		if time.Since(c.at) < l.lag && !l.isFirst(i) {
			continue
		}
		out[c.name] = c.state
		if c.state == "" {
			delete(out, c.name)
		}
	}
	l.mu.Unlock()
	writeJSON(w, out)
}

func (l *PlatformList) isFirst(i int) bool {
	for _, c := range l.changes[:i] {
		if c.name == l.changes[i].name {
			return false
		}
	}
	return true
}
