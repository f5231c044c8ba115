package balance

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// reportLag is how much older than its reading a report is.
	reportLag = 500 * time.Millisecond
	// reportValid is how long a report is used.
	reportValid = 4 * time.Second
	// unreported stands for the memory of an engine without a valid report.
	unreported = 0.3
	// waitingCost is added for each request that waits at an engine: it has no
	// room for what it has already.
	waitingCost = 0.2
)

// load is what an engine reported, and what this instance sent it since.
type load struct {
	known    bool
	at       time.Duration // the time that the report describes
	running  int
	waiting  int
	used     int // tokens
	capacity int // tokens
	since    []placed
}

// placed is a request or a copy that was sent to an engine.
type placed struct {
	at     time.Duration
	tokens int
	slot   int // 1 for a request, 0 for a copy
}

// UpdateLoads takes reports of engines. A report replaces what was sent before
// the time that it describes.
func (b *Balancer) UpdateLoads(loads []*wire.Load, now time.Duration) {
	for _, l := range loads {
		t := b.targets[l.GetTarget()]
		if t == nil {
			continue
		}
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond - reportLag
		if t.load.known && at < t.load.at {
			continue
		}
		t.load.known, t.load.at = true, at
		t.load.running, t.load.waiting = int(l.GetRunning()), int(l.GetWaiting())
		t.load.used, t.load.capacity = int(l.GetUsedTokens()), int(l.GetCapacityTokens())
		t.load.forget(at)
		if l.GetLeaving() && !t.leaving && !t.says {
			t.left = now
		}
		t.says = l.GetLeaving()
	}
}

// place remembers what was sent.
func (l *load) place(now time.Duration, tokens, slot int) {
	l.since = append(l.since, placed{at: now, tokens: tokens, slot: slot})
}

// forget drops what was sent before a time.
func (l *load) forget(before time.Duration) {
	kept := l.since[:0]
	for _, p := range l.since {
		if p.at >= before {
			kept = append(kept, p)
		}
	}
	l.since = kept
}

// memory returns the part of the engine's memory that would be used with further
// tokens, and whether a report says so.
func (t *Target) memory(tokens int, now time.Duration) (float64, bool) {
	l := &t.load
	if !l.known || l.capacity == 0 || now-l.at > reportValid {
		return 0, false
	}
	used := l.used
	for _, p := range l.since {
		used += p.tokens
	}
	used = max(used, t.tokens+t.others.tokens)
	return float64(used+tokens) / float64(l.capacity), true
}

// pressure returns the part of the memory of a service's engines that runs will need,
// copies left out.
func (b *Balancer) pressure(service string, now time.Duration) float64 {
	needed, capacity := 0, 0
	for _, t := range b.byName[service] {
		needed += t.tokens - t.copyTokens + t.others.tokens - t.others.copyTokens
		if !t.ends(now) {
			capacity += t.load.capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(needed) / float64(capacity)
}

// Crowded reports whether no engine of a service has room for a generation that needs
// some tokens, as far as reports tell. An engine that takes it all the same reads it
// in, runs out of memory and reads others in again.
func (b *Balancer) Crowded(service string, tokens int, now time.Duration) bool {
	known := false
	for _, t := range b.byName[service] {
		if t.ends(now) {
			continue
		}
		memory, ok := t.memory(tokens, now)
		if !ok || memory <= fullMemory {
			return false
		}
		known = true
	}
	return known
}

// copyRoom returns the part of an engine's memory that copies may fill up to. Copies
// give way when runs need the memory: then a run that waits for room is worth more than
// one that could go on elsewhere.
func (b *Balancer) copyRoom(service string, now time.Duration) float64 {
	pressure := b.pressure(service, now)
	switch {
	case pressure <= calmPressure:
		return calmCopyRoom
	case pressure >= highPressure:
		return highCopyRoom
	}
	part := (pressure - calmPressure) / (highPressure - calmPressure)
	return calmCopyRoom - part*(calmCopyRoom-highCopyRoom)
}

// State is what a choice of an engine went by.
type State struct {
	// Known is false without a valid report.
	Known bool
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// Memory is the part of the memory that is taken or promised.
	Memory float64
	// Waiting is the number of requests that the report shows as waiting.
	Waiting int
	// Prefilling is the number of tokens of prompts on their way there.
	Prefilling int
}

// State returns what is known of a target.
func (b *Balancer) State(t *Target, now time.Duration) State {
	memory, known := t.memory(0, now)
	return State{
		Known: known, ReportAge: now - t.load.at, Memory: memory, Waiting: t.load.waiting,
		Prefilling: t.prefilling + t.others.prefilling,
	}
}

// batch returns the number of requests at the engine, as far as it is known.
func (t *Target) batch() int {
	n := t.load.running + t.load.waiting
	for _, p := range t.load.since {
		n += p.slot
	}
	return max(n, t.open+t.others.requests)
}

// UpdateOthers takes the sums of what other instances have at targets, and how many
// instances there are.
func (b *Balancer) UpdateOthers(uses []*wire.Use, instances int, now time.Duration) {
	b.spread = min(mostSpread, spreadPerInstance*float64(instances))
	for _, t := range b.targets {
		t.others = others{}
	}
	for _, u := range uses {
		if t := b.targets[u.GetTarget()]; t != nil {
			t.others = others{
				requests: int(u.GetRequests()), tokens: int(u.GetTokens()), prefilling: int(u.GetPrefilling()), copyTokens: int(u.GetCopyTokens()),
				suspected: now + time.Duration(u.GetSuspectedMs())*time.Millisecond,
			}
		}
	}
}

// Uses returns what this instance has at targets.
func (b *Balancer) Uses(now time.Duration) []*wire.Use {
	var out []*wire.Use
	for _, t := range b.targets {
		suspected := max(0, t.suspected-now)
		if t.open > 0 || t.tokens > 0 || t.prefilling > 0 || suspected > 0 {
			out = append(out, &wire.Use{
				Target: t.id, Requests: uint32(max(0, t.open)), Tokens: uint32(max(0, t.tokens)), Prefilling: uint32(max(0, t.prefilling)),
				SuspectedMs: uint32(suspected.Milliseconds()), CopyTokens: uint32(max(0, t.copyTokens)),
			})
		}
	}
	return out
}

// others is what the other instances have at a target.
type others struct {
	requests   int
	tokens     int
	prefilling int
	copyTokens int
	suspected  time.Duration // until when one of them takes it for leaving
}
