package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// fleet is the platform's list and the runners of the plain service.
type fleet struct {
	d      *deployment
	server *http.Server

	mu      sync.Mutex
	runners []*runner
	runs    []execution
}

// runner is a sound runner of the plain service.
type runner struct {
	id, zone, address string
	server            *http.Server
}

// execution is a request that a runner ran.
type execution struct {
	request string
	runner  *runner
	at      time.Duration
}

// workTime is how long a runner works on a request.
const workTime = 15 * time.Millisecond

func newFleet(d *deployment) (*fleet, error) {
	f := &fleet{d: d}
	listener, err := net.Listen("tcp", d.address(fleetOctet)+":"+listPort)
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serveList)}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

func (f *fleet) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	type entry map[string]any
	f.mu.Lock()
	entries := []entry{}
	for _, n := range f.runners {
		entries = append(entries, entry{"id": n.id, "service": service, "address": n.address, "zone": n.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0})
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// add starts a runner.
func (f *fleet) add(octet int, id, zone string) error {
	listener, err := net.Listen("tcp", f.d.address(octet)+":18080")
	if err != nil {
		return err
	}
	n := &runner{id: id, zone: zone, address: listener.Addr().String()}
	n.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(n, w, r) })}
	go func() { _ = n.server.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, n)
	f.d.rec.line("runner %s in %s at %s", id, zone, n.address)
	return nil
}

func (f *fleet) serve(n *runner, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", n.id+"."+id)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", n.id)
		return
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != n.id:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	f.runs = append(f.runs, execution{request: id, runner: n, at: f.d.rec.now()})
	f.mu.Unlock()
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(w, "%s by %s, %d bytes", id, n.id, len(body))
}

// runsIn returns the requests that ran in a zone within a time.
func (f *fleet) runsIn(zone string, from, to time.Duration) []execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []execution
	for _, r := range f.runs {
		if r.runner.zone == zone && r.at >= from && r.at < to {
			out = append(out, r)
		}
	}
	return out
}

func (f *fleet) close() {
	_ = f.server.Close()
	for _, n := range f.runners {
		_ = n.server.Close()
	}
}

// requesters send lookups to front machines at a steady rate until they are stopped.
type requesters struct {
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
}

func startRequesters(d *deployment, fronts []*machine, every time.Duration) *requesters {
	q := &requesters{stop: make(chan struct{}), statuses: map[int]int{}}
	for i, m := range fronts {
		q.done.Go(func() { q.run(m, i, every) })
	}
	return q
}

func (q *requesters) run(m *machine, number int, every time.Duration) {
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	var sending sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-q.stop:
			sending.Wait()
			client.CloseIdleConnections()
			return
		case <-ticks.C:
		}
		sending.Go(func() {
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%s/lookup/%d", m.ip, frontPort, i), nil)
			if err != nil {
				return
			}
			r.Host = host
			r.Header.Set("Request-Id", fmt.Sprintf("%02d%014x", number, i))
			r.Header.Set("Deadline-Ms", "1500")
			status := 0
			if response, err := client.Do(r); err == nil {
				status = response.StatusCode
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			q.mu.Lock()
			defer q.mu.Unlock()
			q.statuses[status]++
		})
	}
}

func (q *requesters) end(rec *record) {
	close(q.stop)
	q.done.Wait()
	rec.line("requesters: answers by status (0: none): %v", q.statuses)
}

// awaitReady waits until all front machines are ready.
func awaitReady(fronts []*machine, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range fronts {
			if response, err := client.Get("http://" + m.ip + ":" + readyPort + "/vanillaward/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(fronts) {
			return true
		}
	}
	return false
}
