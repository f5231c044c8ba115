package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a runner.
type run struct {
	Request string
	Runner  string
	Tenant  string
	Path    string
	Resumed bool
	Begun   time.Duration // since the begin of the record
	Worked  time.Duration // when it made its last event
	Ended   time.Duration // 0 while it works
}

// ledger holds the runs of all runners.
type ledger struct {
	record *record
	mu     sync.Mutex // guards runs
	runs   []*run
}

func (l *ledger) begin(r *run) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Begun = l.record.since()
	l.runs = append(l.runs, r)
	l.record.note("runner %s runs %s %s, Tenant %q, resumed %v", r.Runner, r.Request, r.Path, r.Tenant, r.Resumed)
	return r
}

func (l *ledger) end(r *run, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended = l.record.since()
	l.record.note("runner %s ends its run of %s: %s", r.Runner, r.Request, why)
}

// worked records that a run has made an event.
func (l *ledger) worked(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Worked = l.record.since()
}

// of returns copies of the runs of a request.
func (l *ledger) of(request string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.Request == request {
			out = append(out, *r)
		}
	}
	return out
}

// runner is a runner of a plain service.
type runner struct {
	id      string
	service string
	zone    string
	address string
	ledger  *ledger
	work    time.Duration
	body    string
	slots   chan struct{}
	server  *http.Server
}

// startRunner starts a runner of a plain service and lists it.
func startRunner(c *cluster, l *ledger, id, service, zone string, host int, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.net, host))
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), ledger: l, work: work,
		body: strings.Repeat("park slot ", 80), slots: make(chan struct{}, 6),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	c.list.list(entry{ID: id, Service: service, Address: r.address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()})
	return r, nil
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Instance-Id", r.id)
	if q.URL.Path == "/health" {
		return
	}
	if id != "" {
		h.Set("Request-Id", id)
	}
	if why := r.refusal(q, id); why != 0 {
		h.Set("Not-Run", "1")
		w.WriteHeader(why)
		r.ledger.record.note("runner %s rejects %s %s: %d", r.id, id, q.URL.Path, why)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	_, _ = io.Copy(io.Discard, q.Body)
	made := r.ledger.begin(&run{Request: id, Runner: r.id, Tenant: q.Header.Get("Tenant"), Path: q.URL.Path})
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.ledger.end(made, "its channel was closed")
		return
	}
	h.Set("Response-Stamp", "stamp."+r.id+"."+id)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	h.Set("Keep-Alive", "timeout=5")
	_, _ = io.WriteString(w, r.body)
	r.ledger.end(made, "200")
}

// refusal returns the status with which the runner rejects a request without running it, or 0.
func (r *runner) refusal(q *http.Request, id string) int {
	switch expected := q.Header.Get("Expect-Instance"); {
	case id == "":
		return http.StatusBadRequest
	case expected != "" && expected != r.id:
		return http.StatusMisdirectedRequest
	}
	return 0
}

func (r *runner) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.server.Shutdown(ctx)
	_ = r.server.Close()
}
