// Package standin provides small stand-ins for the systems around vanillaward:
// batching engines, plain services, the platform's list of targets and the weight
// store. Their faults can be switched on and off over a separate HTTP interface.
package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaward/vanillaward/internal/timer"
)

const maxPlainBody = 1 << 20

// Plain is a plain service that counts how often it ran each request. A request is
// identified by "METHOD PATH BODY".
type Plain struct {
	name string

	mu      sync.Mutex // guards the rest
	faults  Faults
	runs    map[string]int
	arrived map[string]int
	total   int
}

// NewPlain returns a plain service with a name.
func NewPlain(name string) *Plain {
	return &Plain{name: name, runs: map[string]int{}, arrived: map[string]int{}}
}

// SetFaults replaces the service's faults.
func (p *Plain) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns how often each request was run.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runs))
	for request, n := range p.runs {
		out[request] = n
	}
	return out
}

// Arrived returns how often a request arrived, whether it was run or not.
func (p *Plain) Arrived(request string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived[request]
}

// Handler returns the service's HTTP interface.
func (p *Plain) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBody))
	if err != nil {
		return
	}
	request := r.Method + " " + r.URL.Path + " " + string(body)
	p.mu.Lock()
	faults := p.faults
	p.arrived[request]++
	p.mu.Unlock()
	switch {
	case faults.Dead:
		panic(http.ErrAbortHandler)
	case faults.Refuse:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "not-executed")
		return
	}
	if faults.LateMillis > 0 {
		timer.Sleep(r.Context(), time.Duration(faults.LateMillis)*time.Millisecond)
	}
	number := p.run(request)
	if faults.ResetAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"service":"`+p.name+`","number":`+strconv.Itoa(number)+`}`) // the caller may have disconnected
}

func (p *Plain) run(request string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[request]++
	p.total++
	return p.total
}

// WeightStore models the rate limit of the platform's weight store.
type WeightStore struct {
	limiter *rate.Limiter
	load    time.Duration
}

// NewWeightStore returns a store that starts one load per interval; each load
// takes the given time.
func NewWeightStore(interval, load time.Duration) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Every(interval), 1), load: load}
}

// Reserve schedules the next load and returns how long it takes, including its
// wait.
func (s *WeightStore) Reserve() time.Duration { return s.limiter.Reserve().Delay() + s.load }
