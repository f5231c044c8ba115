// Package standin provides small stand-ins for the systems around vanillaward:
// batching engines, plain services, the platform's list and the weight store.
// Their faults can be switched over an HTTP interface of their own.
package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const maxPlainBody = 1 << 20

// Plain is a plain service that counts how often it ran each request body.
type Plain struct {
	name string

	mu     sync.Mutex // guards the rest
	faults Faults
	runs   map[string]int
	asked  map[string]int
	total  int
}

// NewPlain returns a plain service.
func NewPlain(name string) *Plain {
	return &Plain{name: name, runs: map[string]int{}, asked: map[string]int{}}
}

// SetFaults replaces the service's faults.
func (p *Plain) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns how often each request body was run.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runs))
	for body, n := range p.runs {
		out[body] = n
	}
	return out
}

// Arrived returns how often a request arrived, run or not.
func (p *Plain) Arrived(what string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked[what]
}

// Handler returns the service's HTTP interface.
func (p *Plain) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBody))
	if err != nil {
		return
	}
	what := r.Method + " " + r.URL.Path + " " + string(body)
	p.mu.Lock()
	faults := p.faults
	p.asked[what]++
	p.mu.Unlock()
	switch {
	case faults.Dead:
		panic(http.ErrAbortHandler)
	case faults.Refuse:
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "not-executed")
		return
	}
	if faults.LateMillis > 0 {
		sleep(r.Context(), time.Duration(faults.LateMillis)*time.Millisecond)
	}
	number := p.run(what)
	if faults.ResetAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"service":"`+p.name+`","number":`+strconv.Itoa(number)+`}`) // the reader may be gone
}

func (p *Plain) run(what string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[what]++
	p.total++
	return p.total
}

// WeightStore is the rate limit of the platform's weight store.
type WeightStore struct {
	limiter *rate.Limiter
	load    time.Duration
}

// NewWeightStore returns a store that starts one load an interval; each takes
// the given time.
func NewWeightStore(interval, load time.Duration) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Every(interval), 1), load: load}
}

// Reserve returns how long the next load takes, its wait included.
func (s *WeightStore) Reserve() time.Duration { return s.limiter.Reserve().Delay() + s.load }
