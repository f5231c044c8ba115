package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// modelService and modelHost are the names of the model's service and of its host.
	modelService = "llm"
	modelHost    = "studio.example"
	// streamBudget is the route's timeout_ms, and a requester's time budget at its first attempt.
	streamBudget = 6 * time.Second
	// streams is how many streams a case sends, one after another.
	streams = 3
)

// modelConfiguration has one route of streams that may be resumed.
func modelConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Routes: []routeSpec{{
			Name: "query", Host: modelHost, Prefix: "/query/", Kind: "stream", Timeout: int(streamBudget.Milliseconds()), Objective: 1500, Priority: 0,
			Service: modelService, Attempts: 2, Public: true, Sticky: true, Resumable: true, Gap: 180,
		}},
		Services: []serviceSpec{{Name: modelService, Health: "/health", MaxConns: 662, Protocol: "h1", Engine: map[string]any{
			"slots": 24, "kv_capacity": 26886, "kv_token_bytes": 35136, "link_mbps": 5100.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		}}},
		Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startModel starts three core machines, a front machine and two runners, with a configuration in force.
func startModel(d *deployment, s shape) (f *modelFleet, front *machine, cores []*machine, err error) {
	for i := range 3 {
		m := d.add("control", fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1))
		d.seeds = append(d.seeds, m.ip+":"+controlPort)
		cores = append(cores, m)
	}
	front = d.add("gateway", "front-1", "zone-1")
	f, err = newModelFleet(d, s)
	if err != nil {
		return nil, nil, nil, err
	}
	for i := range 2 {
		if err := f.add(210+i, fmt.Sprintf("i-%d", i+1)); err != nil {
			return f, nil, nil, err
		}
	}
	for _, m := range d.machines {
		m.bootstrap = true
		if err := m.start(); err != nil {
			return f, nil, nil, err
		}
	}
	o := &operator{rec: d.rec}
	if !o.put(modelConfiguration(1), cores, 10*time.Second) {
		return f, nil, nil, errors.New("the first configuration was not acknowledged")
	}
	if !awaitReady([]*machine{front}, 15*time.Second) {
		return f, nil, nil, errors.New("the front machine is not ready")
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch
	return f, front, cores, nil
}

// requestStream sends a request on a channel of its own and reads its stream to the end. It returns the number of events that
// came and how long the answer took.
func requestStream(f *modelFleet, front *machine, id string, budget time.Duration) (events int, took time.Duration) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%s/query/cone", front.ip, frontPort), strings.NewReader("prompt"))
	if err != nil {
		return 0, 0
	}
	r.Host = modelHost
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": fmt.Sprint(budget.Milliseconds()), "Model": "m", "Token-Counts": fmt.Sprintf("560,%d", 4*f.shape.events),
		"Prompt-Prefix": "5c1e07a2:350," + id + ":210",
	} {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: budget + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rec, begun := f.d.rec, time.Now()
	rec.line("requester: sends %s with %d ms", id, budget.Milliseconds())
	response, err := client.Do(r)
	if err != nil {
		rec.line("requester: %s: %v", id, err)
		return 0, time.Since(begun)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	took = time.Since(begun)
	rec.line("requester: %s: status %d, %d events of %d after %.3f s, error %v", id, response.StatusCode, events, f.shape.events, took.Seconds(), lines.Err())
	return events, took
}
