// Package engine models a batching inference engine: continuous batching with a
// limited key-value cache, priorities, preemption by recomputation and a prefix
// cache. It is deterministic and reads no clock; a caller advances time by the
// durations that Step returns.
package engine

import (
	"slices"
	"time"
)

// Config sets the size and the speed of an engine.
type Config struct {
	// CapacityTokens is the size of the key-value cache.
	CapacityTokens int
	// MaxBatch is the largest number of sequences in a step.
	MaxBatch int
	// StepBase is the duration of a step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is added for each sequence of the batch.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each token of a prompt that is computed.
	PrefillPerToken time.Duration
}

// DefaultConfig resembles an 8-billion-parameter model on one accelerator: a step
// takes 25 ms with a small batch and about 57 ms with 64 sequences.
func DefaultConfig() Config {
	return Config{
		CapacityTokens: 65536, MaxBatch: 256,
		StepBase: 25 * time.Millisecond, StepPerSequence: 500 * time.Microsecond, PrefillPerToken: 20 * time.Microsecond,
	}
}

// Sequence is one generation.
type Sequence struct {
	// ID identifies the generation.
	ID string
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Length is the output's length in tokens. Callers of an engine do not know
	// it in advance.
	Length int
	// Priority ranks sequences; a higher value is preempted later.
	Priority int
	// Prefix names the part of the prompt that other prompts share.
	Prefix string
	// PrefixTokens is the length of that part.
	PrefixTokens int

	generated int
	order     int
}

func (s *Sequence) cachedTokens() int { return s.Prompt + s.generated }

// EventKind is what happened to a sequence.
type EventKind int

// Kinds of events.
const (
	// Token is one generated token.
	Token EventKind = iota
	// Finished follows the last token.
	Finished
	// Preempted means that the sequence lost its KV cache and waits again.
	Preempted
)

// Event reports progress of a sequence.
type Event struct {
	Kind     EventKind
	Sequence *Sequence
	// Index is the 0-based position of a token.
	Index int
}

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	Prefix string
	Stored bool // false if the prefix was evicted
}

// Load describes the current load of an engine.
type Load struct {
	Running     int
	Waiting     int
	UsedTokens  int
	Preemptions int // since the engine was created
}

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	config      Config
	running     []*Sequence
	waiting     []*Sequence
	used        int
	submitted   int
	preemptions int
	cache       prefixCache
	events      []Event
}

// New returns an idle engine.
func New(config Config) *Engine {
	return &Engine{config: config, cache: prefixCache{tokens: map[string]int{}}}
}

// Submit queues a sequence behind those of the same or a higher priority.
func (e *Engine) Submit(s *Sequence) {
	e.submitted++
	s.order = e.submitted
	e.enqueue(s)
}

func (e *Engine) enqueue(s *Sequence) {
	position := len(e.waiting)
	for i, w := range e.waiting {
		if w.Priority < s.Priority || w.Priority == s.Priority && w.order > s.order {
			position = i
			break
		}
	}
	e.waiting = slices.Insert(e.waiting, position, s)
}

// Cancel removes a sequence. It reports whether the sequence was running or
// waiting.
func (e *Engine) Cancel(id string) bool {
	hasID := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.running, hasID); i >= 0 {
		e.used -= e.running[i].cachedTokens()
		e.running = slices.Delete(e.running, i, i+1)
		return true
	}
	if i := slices.IndexFunc(e.waiting, hasID); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	return false
}

// Idle reports whether no sequence is running or waiting.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Load returns the current load.
func (e *Engine) Load() Load {
	return Load{Running: len(e.running), Waiting: len(e.waiting), UsedTokens: e.used, Preemptions: e.preemptions}
}

// CacheEvents returns and clears the changes of the prefix cache.
func (e *Engine) CacheEvents() []CacheEvent { return e.cache.drainEvents() }

// Step computes one token for each sequence of the batch. It returns the duration
// of the step and its events, which are valid until the next step.
func (e *Engine) Step() (time.Duration, []Event) {
	e.events = e.events[:0]
	prefill := e.admit()
	e.preemptForMemory()
	batch := len(e.running)
	kept := e.running[:0]
	for _, s := range e.running {
		e.events = append(e.events, Event{Kind: Token, Sequence: s, Index: s.generated})
		s.generated++
		e.used++
		if s.generated < s.Length {
			kept = append(kept, s)
			continue
		}
		e.used -= s.cachedTokens()
		e.events = append(e.events, Event{Kind: Finished, Sequence: s})
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.cache.evictDownTo(e.config.CapacityTokens - e.used)
	duration := e.config.StepBase + time.Duration(batch)*e.config.StepPerSequence +
		time.Duration(prefill)*e.config.PrefillPerToken
	return duration, e.events
}

// admit moves waiting sequences into the batch while they fit, and returns the
// number of prompt tokens that have to be computed.
func (e *Engine) admit() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		if e.used+s.cachedTokens()+1 > e.config.CapacityTokens && len(e.running) > 0 {
			break
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, s)
		e.used += s.cachedTokens()
		prefill += s.cachedTokens() - e.cache.lookupOrStore(s.Prefix, s.PrefixTokens)
	}
	return prefill
}

// preemptForMemory preempts sequences until each one left in the batch can take
// one more token. The victim is the last submitted of the lowest priority.
func (e *Engine) preemptForMemory() {
	for e.used+len(e.running) > e.config.CapacityTokens && len(e.running) > 1 {
		victim := 0
		for i, s := range e.running {
			v := e.running[victim]
			if s.Priority < v.Priority || s.Priority == v.Priority && s.order > v.order {
				victim = i
			}
		}
		s := e.running[victim]
		e.running = slices.Delete(e.running, victim, victim+1)
		e.used -= s.cachedTokens()
		e.preemptions++
		e.enqueue(s)
		e.events = append(e.events, Event{Kind: Preempted, Sequence: s})
	}
}

// prefixCache holds prompt prefixes in the memory that sequences leave free. The
// least recently used prefix is evicted first.
type prefixCache struct {
	tokens      map[string]int
	lru         []string
	totalTokens int
	events      []CacheEvent
}

// lookupOrStore returns how many tokens of the prefix are cached, and stores the
// prefix if it is missing.
func (c *prefixCache) lookupOrStore(prefix string, tokens int) int {
	if prefix == "" || tokens == 0 {
		return 0
	}
	cached, hit := c.tokens[prefix]
	if hit {
		i := slices.Index(c.lru, prefix)
		c.lru = append(slices.Delete(c.lru, i, i+1), prefix)
		return min(cached, tokens)
	}
	c.tokens[prefix] = tokens
	c.lru = append(c.lru, prefix)
	c.totalTokens += tokens
	c.events = append(c.events, CacheEvent{Prefix: prefix, Stored: true})
	return 0
}

func (c *prefixCache) evictDownTo(freeTokens int) {
	for c.totalTokens > freeTokens && len(c.lru) > 0 {
		oldest := c.lru[0]
		c.lru = c.lru[1:]
		c.totalTokens -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.events = append(c.events, CacheEvent{Prefix: oldest})
	}
}

func (c *prefixCache) drainEvents() []CacheEvent {
	out := c.events
	c.events = nil
	return out
}
