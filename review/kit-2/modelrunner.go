package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reportLag is how old a runner's report is, and moveTime how long it takes to copy a run.
	reportLag = 300 * time.Millisecond
	moveTime  = 20 * time.Millisecond
	// watchInterval is the interval at which a runner looks whether a run has ended and whether it is silent.
	watchInterval = 2 * time.Millisecond
)

// shape is what the streams of a model's runners look like.
type shape struct {
	events       int
	first, every time.Duration // until the first event, and between two
}

// modelFleet is the platform's list and the runners of a model.
type modelFleet struct {
	d      *deployment
	shape  shape
	server *http.Server

	mu      sync.Mutex
	runners []*modelRunner
	works   []*work
}

// modelRunner is a sound runner of a model. It drops a request once it sees that the channel has closed. While it is
// silent it sends nothing and reads nothing, and works on.
type modelRunner struct {
	f           *modelFleet
	id, address string
	server      *http.Server
	silentUntil time.Time // guarded by the fleet's lock
}

// work is a run of a request at a runner. Its fields are guarded by the fleet's lock.
type work struct {
	request string
	runner  *modelRunner
	after   int // the event that it goes on after
	from    time.Duration
	to      time.Duration // 0 while the runner works on it
	why     string        // why it ended
	stop    chan struct{}
}

func newModelFleet(d *deployment, s shape) (*modelFleet, error) {
	f := &modelFleet{d: d, shape: s}
	listener, err := net.Listen("tcp", d.address(fleetOctet)+":"+listPort)
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serveList)}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

func (f *modelFleet) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	f.mu.Lock()
	entries := []map[string]any{}
	for i, n := range f.runners {
		entries = append(entries, map[string]any{"id": n.id, "service": modelService, "address": n.address, "zone": fmt.Sprintf("zone-%d", i+1), "version": "v1", "slots": 24, "state": "ready", "cold_left_ms": 0})
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// add starts a runner.
func (f *modelFleet) add(octet int, id string) error {
	listener, err := net.Listen("tcp", f.d.address(octet)+":18080")
	if err != nil {
		return err
	}
	n := &modelRunner{f: f, id: id, address: listener.Addr().String()}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go func() { _ = n.server.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, n)
	f.d.rec.line("runner %s at %s", id, n.address)
	return nil
}

func (f *modelFleet) close() {
	_ = f.server.Close()
	for _, n := range f.runners {
		_ = n.server.Close()
	}
}

// fallSilent makes a runner silent for a time.
func (n *modelRunner) fallSilent(d time.Duration) {
	n.f.mu.Lock()
	n.silentUntil = time.Now().Add(d)
	n.f.mu.Unlock()
	n.f.d.rec.line("%s falls silent for %.1f s and works on", n.id, d.Seconds())
}

func (n *modelRunner) silent() bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return time.Now().Before(n.silentUntil)
}

func (n *modelRunner) awaitVoice() {
	for n.silent() {
		time.Sleep(watchInterval)
	}
}

func (n *modelRunner) serve(w http.ResponseWriter, r *http.Request) {
	n.awaitVoice()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", n.id)
	case r.URL.Path == "/vanillaward/report":
		n.report(w)
	case r.URL.Path == "/vanillaward/kv-move":
		n.move(w, body)
	case strings.HasPrefix(r.URL.Path, "/vanillaward/"):
		http.NotFound(w, r)
	case id == "":
		notRun(w, http.StatusBadRequest)
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != n.id:
		notRun(w, http.StatusMisdirectedRequest)
	case r.Header.Get("Kv-From") != "":
		notRun(w, http.StatusServiceUnavailable) // it keeps no copy
	default:
		n.stream(w, r, id)
	}
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(status)
}

// report answers what the runner ran reportLag ago.
func (n *modelRunner) report(w http.ResponseWriter) {
	at := n.f.d.rec.now() - reportLag
	n.f.mu.Lock()
	runs := [][4]any{}
	for _, k := range n.f.works {
		if k.runner == n && k.from <= at && (k.to == 0 || k.to > at) {
			runs = append(runs, [4]any{k.request, 600, k.made(at), 5})
		}
	}
	n.f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq_no": 0,
		"waiting": 0, "running": len(runs), "kv_used": 600 * len(runs), "kv_total": 26886, "handles": 0, "state": "ready", "runs": runs,
	})
}

// move copies a run to another runner; the last one stops the run before.
func (n *modelRunner) move(w http.ResponseWriter, body []byte) {
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.f.mu.Lock()
	var found *work
	for _, k := range n.f.works {
		if k.request == call.ID && k.runner == n && k.to == 0 {
			found = k
		}
	}
	if found != nil && call.Last {
		found.end(n.f.d.rec.now(), "stopped by the front machine")
	}
	n.f.mu.Unlock()
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(moveTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": call.ID, "made": found.made(n.f.d.rec.now())})
}

// end ends a run once. It is called with the fleet's lock held.
func (k *work) end(at time.Duration, why string) {
	if k.to == 0 {
		k.to, k.why = at, why
		close(k.stop)
	}
}

// made returns the number of the last event that is made at a time.
func (k *work) made(at time.Duration) int {
	s := k.runner.f.shape
	if at < k.from+s.first {
		return k.after
	}
	return min(s.events, k.after+int((at-k.from-s.first)/s.every)+1)
}

// stream runs a request, or goes on with its stream after an event.
func (n *modelRunner) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	budget, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		budget = 6000
	}
	k := &work{request: id, runner: n, after: after, from: n.f.d.rec.now(), stop: make(chan struct{})}
	n.f.mu.Lock()
	n.f.works = append(n.f.works, k)
	n.f.mu.Unlock()
	n.f.d.rec.line("%s begins to run %s after event %d", n.id, id, after)
	n.watch(k, r, time.Duration(budget*float64(time.Millisecond)))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", n.id+"."+id)
	for i := after + 1; i <= n.f.shape.events; i++ {
		due := k.from + n.f.shape.first + time.Duration(i-after-1)*n.f.shape.every
		select {
		case <-time.After(due - n.f.d.rec.now()):
		case <-k.stop:
			if k.why != complete {
				panic(http.ErrAbortHandler)
			}
		}
		n.awaitVoice()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// Reasons why a run ends by itself.
const (
	complete   = "complete"
	budgetOver = "its time budget has passed"
)

// watch ends a run once it is complete or its time budget has passed, and as soon as the runner sees that the channel has closed.
func (n *modelRunner) watch(k *work, r *http.Request, budget time.Duration) {
	go func() {
		begun := n.f.d.rec.now()
		for {
			now := n.f.d.rec.now()
			why := ""
			switch {
			case k.made(now) == n.f.shape.events:
				why = complete
			case now-begun >= budget:
				why = budgetOver
			case r.Context().Err() != nil && !n.silent():
				why = "its channel has closed"
			}
			n.f.mu.Lock()
			if why != "" {
				k.end(now, why)
			}
			ended, why := k.to != 0, k.why
			n.f.mu.Unlock()
			if ended {
				n.f.d.rec.line("%s has ended %s, at event %d: %s", n.id, k.request, k.made(now), why)
				return
			}
			time.Sleep(watchInterval)
		}
	}()
}

func event(id string, number int) string { return fmt.Sprintf("%s-%d", id, number) }

// worksOf returns the runs of a request, in order.
func (f *modelFleet) worksOf(request string) []work {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []work
	for _, k := range f.works {
		if k.request == request {
			out = append(out, *k)
		}
	}
	return out
}

// runnerOf returns the runner that works on a request, nil if there is none.
func (f *modelFleet) runnerOf(request string) *modelRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.works {
		if k.request == request && k.to == 0 {
			return k.runner
		}
	}
	return nil
}
