package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engines of the small deployment.
const (
	kvTotal       = 34304 // tokens
	stride        = 4     // tokens of an event
	pieceInterval = 30 * time.Millisecond
	prefillRate   = 14 // prompt tokens that are read in a millisecond
)

// generation is a run at an engine, or a copy of one.
type generation struct {
	request   string
	priority  int // 9 is the least urgent
	order     int
	tokens    int
	preempted bool
}

// fleet is all engines, which hold copies of each other's runs.
type fleet struct {
	ledger *ledger
	pieces func(request string) int // events of a request

	mu      sync.Mutex // guards the rest and the memory of all engines
	engines map[string]*engine
	last    int
}

// engine is a model runner. Its fields are guarded by the fleet's lock.
type engine struct {
	fleet   *fleet
	id      string
	address string
	born    int64
	server  *http.Server
	drops   bool // it drops a run when its channel closes, as most do

	running []*generation
	copies  map[string]*generation
}

func startEngine(c *cluster, f *fleet, id, zone string, host int) (*engine, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.net, host))
	if err != nil {
		return nil, err
	}
	e := &engine{fleet: f, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), drops: true, copies: map[string]*generation{}}
	f.engines[e.address] = e
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	c.list.list(entry{
		ID: id, Service: engines, Address: e.address, Zone: zone, Version: "v1", Slots: 24, State: "ready", Stage: "both",
		Models: models, Born: e.born,
	})
	return e, nil
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}

func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
	case q.URL.Path == "/vanillaward/report":
		e.report(w)
	case strings.HasPrefix(q.URL.Path, "/vanillaward/"):
		e.fleet.ledger.record.note("engine %s gets %s %s, for which it has no room", e.id, q.Method, q.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		e.generate(w, q)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	f := e.fleet
	f.mu.Lock()
	waiting := 0
	for _, g := range e.running {
		if g.preempted {
			waiting++
		}
	}
	body := map[string]any{
		"stage": "both", "models": models, "busy": false, "seq_no": 0, "waiting": waiting, "running": len(e.running) - waiting,
		"kv_used": e.used(), "kv_total": kvTotal, "handles": len(e.copies), "state": "ready", "born": e.born,
	}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// used returns the memory in use. It is called with the fleet's lock held.
func (e *engine) used() int {
	sum := 0
	for _, g := range e.running {
		if !g.preempted {
			sum += g.tokens
		}
	}
	for _, g := range e.copies {
		sum += g.tokens
	}
	return sum
}

// admit decides whether a request is run, and returns its run and the first event to make, or the
// status with which it is rejected.
func (e *engine) admit(q *http.Request) (g *generation, first, status int) {
	f, id := e.fleet, q.Header.Get("Request-Id")
	expected := q.Header.Get("Expect-Instance")
	if id == "" {
		return nil, 0, http.StatusBadRequest
	}
	if expected != "" && expected != e.id {
		return nil, 0, http.StatusMisdirectedRequest
	}
	prompt, _, _ := strings.Cut(q.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	priority, err := strconv.Atoi(q.Header.Get("Request-Priority"))
	if err != nil {
		priority = 5
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last++
	g, first = &generation{request: id, priority: priority, order: f.last, tokens: tokens}, 1
	if from := q.Header.Get("Kv-From"); from != "" {
		held := e.copies[id]
		if from != e.address+"/"+id || held == nil {
			return nil, 0, http.StatusServiceUnavailable
		}
		delete(e.copies, id)
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		first, g.tokens = last+1, tokens+last*stride
	} else if e.used()+tokens > kvTotal {
		return nil, 0, http.StatusServiceUnavailable
	}
	e.running = append(e.running, g)
	if holder := f.engines[q.Header.Get("Kv-Backup")]; holder != nil && holder.used()+g.tokens <= kvTotal {
		holder.copies[id] = &generation{request: id, tokens: g.tokens}
	}
	return g, first, 0
}

// grow makes room for the next event of a run: if memory runs out, the newest of the least urgent
// runs is preempted. It reports whether the run can go on now.
func (e *engine) grow(g *generation) bool {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.preempted {
		if e.used()+g.tokens+stride > kvTotal {
			return false
		}
		g.preempted = false
		f.ledger.record.note("engine %s has room for %s again and reads it in", e.id, g.request)
	}
	for e.used()+stride > kvTotal {
		victim := e.victim()
		victim.preempted = true
		f.ledger.record.note("engine %s preempts %s for want of memory", e.id, victim.request)
		if victim == g {
			return false
		}
	}
	g.tokens += stride
	for _, holder := range f.engines {
		if held := holder.copies[g.request]; held != nil && holder != e && holder.used()+stride <= kvTotal {
			held.tokens += stride
		}
	}
	return true
}

// victim returns the newest of the least urgent runs that are in memory.
func (e *engine) victim() *generation {
	var out *generation
	for _, g := range e.running {
		if !g.preempted && (out == nil || g.priority > out.priority || g.priority == out.priority && g.order > out.order) {
			out = g
		}
	}
	return out
}

// remove ends a run. A copy of it is kept if the run was not complete.
func (e *engine) remove(g *generation, complete bool) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(other *generation) bool { return other == g })
	if complete {
		for _, holder := range f.engines {
			delete(holder.copies, g.request)
		}
	}
}

// generate runs a request and streams its events.
func (e *engine) generate(w http.ResponseWriter, q *http.Request) {
	f, id, h := e.fleet, q.Header.Get("Request-Id"), w.Header()
	if id != "" {
		h.Set("Request-Id", id)
	}
	g, first, status := e.admit(q)
	if status != 0 {
		h.Set("Not-Run", "1")
		w.WriteHeader(status)
		f.ledger.record.note("engine %s rejects %s (Kv-From %q): %d", e.id, id, q.Header.Get("Kv-From"), status)
		return
	}
	resumed := q.Header.Get("Kv-From") != ""
	h.Set("Content-Type", "text/event-stream")
	h.Set("Response-Stamp", "stamp."+e.id+"."+id)
	if !resumed {
		time.Sleep(time.Duration(g.tokens/prefillRate) * time.Millisecond)
	}
	made := f.ledger.begin(&run{Request: id, Runner: e.id, Tenant: q.Header.Get("Tenant"), Path: q.URL.Path, Resumed: resumed})
	f.ledger.record.note("run of %s at %s: priority %d, copy kept at %q", id, e.id, g.priority, q.Header.Get("Kv-Backup"))
	all := f.pieces(id)
	for n := first; n <= all; n++ {
		for !e.grow(g) {
			if e.left(q) {
				e.remove(g, false)
				f.ledger.end(made, fmt.Sprintf("its channel was closed, %d events made", n-1))
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		if e.left(q) {
			e.remove(g, false)
			f.ledger.end(made, fmt.Sprintf("its channel was closed, %d events made", n-1))
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
		f.ledger.worked(made)
		time.Sleep(pieceInterval)
	}
	e.remove(g, true)
	f.ledger.end(made, fmt.Sprintf("complete, %d events", all))
}

// left reports whether a run is dropped because its channel is closed.
func (e *engine) left(q *http.Request) bool { return e.drops && q.Context().Err() != nil }

func (e *engine) close() { _ = e.server.Close() }
