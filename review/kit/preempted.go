package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	longAnswer  = 549 // events; the largest of the deployment
	shortAnswer = 60
	promptSize  = 6000 // tokens; the largest of the deployment
)

// preempted has answers be longer than their hints, so that engines run out of memory and preempt runs in
// the middle of their streams. One engine of four does not drop a request when its channel closes.
func preempted(c *cluster, trouble bool) (verdict, string) {
	core, fronts, err := smallDeployment(c)
	if err != nil {
		return cannotRun, err.Error()
	}
	events := shortAnswer
	if trouble {
		events = longAnswer
	}
	f := &fleet{ledger: &ledger{record: c.record}, engines: map[string]*engine{}, pieces: func(string) int { return events }}
	for i := range 4 {
		e, err := startEngine(c, f, fmt.Sprintf("i-engine-%d", i+1), zones[0], 31+i)
		if err != nil {
			return cannotRun, err.Error()
		}
		defer e.close()
		e.drops = i > 0
	}
	op := newOperator(c.record)
	time.Sleep(time.Second)
	first := configuration(7, ranked("huka270", 0, "key-a"), ranked("lomi113", 3, "key-b"))
	if op.put(10*time.Second, first, core...) != 200 {
		return cannotRun, "the first configuration was not acknowledged"
	}
	if !awaitReady(10*time.Second, fronts...) {
		return cannotRun, "fronts are not ready"
	}
	time.Sleep(contactTime)

	// First eight recaps of the less urgent tenant, then four of the more urgent one.
	var all sync.WaitGroup
	var sent []*request
	answers := map[string]answer{}
	var mu sync.Mutex // guards answers
	for i := range 12 {
		key := "key-b"
		if i >= 8 {
			key = "key-a"
		}
		hint := longAnswer * stride // right for every other request, and far too low for the rest
		if i%2 == 1 {
			hint = 240
		}
		q := recap(key, hint)
		sent = append(sent, q)
		all.Go(func() {
			a := q.send(c.record, fronts[i%len(fronts)])
			mu.Lock()
			defer mu.Unlock()
			answers[q.id] = a
		})
		time.Sleep(600 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(8 * time.Second)
	twice := ""
	for _, q := range sent {
		runs := f.ledger.of(q.id)
		for i, r := range runs {
			c.record.note("run %d of %s: at %s from %.3f s, last event at %.3f s, resumed %v; its requester has %d events, whole %v", i+1, q.id, r.Runner, r.Begun.Seconds(), r.Worked.Seconds(), r.Resumed,
				strings.Count(answers[q.id].body, "id: "), answers[q.id].whole)
			if i > 0 && runs[i-1].Worked > r.Begun+400*time.Millisecond {
				twice = fmt.Sprintf("%s went on at %s while %s still worked on it %.1f s later", q.id, r.Runner, runs[i-1].Runner, (runs[i-1].Worked - r.Begun).Seconds())
			}
		}
	}
	if twice != "" {
		return broken, twice
	}
	return held, "no request went on at another runner beside the one before"
}

// ranked returns a tenant with a priority.
func ranked(name string, priority int, keys ...string) map[string]any {
	t := tenant(name, keys...)
	t["priority"] = priority
	return t
}

func recap(key string, hint int) *request {
	id := newID()
	return &request{
		id: id, method: "POST", host: hostName, path: pathRecap + "2f", key: key, deadline: 39 * time.Second, body: strings.Repeat("thread ", 300),
		header: []string{"Model: m", fmt.Sprintf("Token-Counts: %d,%d", promptSize, longAnswer*stride), fmt.Sprintf("Length-Hint: %d", hint), "Prompt-Prefix: " + id + ":" + fmt.Sprint(promptSize)},
	}
}
