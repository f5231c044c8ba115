package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/engine"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/timer"
)

const (
	// resumeGrace is how long a generation without a reader continues.
	resumeGrace = 10 * time.Second
	// finishedRetention is how long a finished generation can be resumed.
	finishedRetention = 30 * time.Second
	// charactersPerToken estimates the length of a prompt.
	charactersPerToken = 4
	medianLength       = 60
	longestLength      = 20000
	prefixTokens       = 64
	idleInterval       = 2 * time.Millisecond
)

// tokensMarker lets a prompt set the output's length, as in "[tokens=500]".
var tokensMarker = regexp.MustCompile(`\[tokens=(\d+)\]`)

// generation is a sequence with its readers.
type generation struct {
	sequence  *engine.Sequence
	text      engine.Text
	chat      bool
	model     string
	generated int
	done      bool
	readers   int
	idleSince time.Time     // since when it has no reader, if readers is 0
	changed   chan struct{} // closed and replaced at the next token or at the end
}

// EngineConfig configures an engine stand-in.
type EngineConfig struct {
	Name        string
	Model       string
	Version     string
	Batch       engine.Config
	ReportLag   time.Duration
	ChecksFence bool
	Speed       float64 // divides all durations; 1 is real time
}

// Engine is a batching engine behind an OpenAI-compatible HTTP interface, with
// resumable streams, load reports, cache events and orders.
type Engine struct {
	config EngineConfig
	store  *WeightStore

	mu          sync.Mutex // guards the rest; never held while another lock is taken
	core        *engine.Engine
	generations map[string]*generation
	faults      Faults
	report      engineapi.Load
	cacheLog    []CacheEvent
	state       EngineState
	started     int
	arrived     int
}

// CacheEvent is one line of the engine's answer to GET /cache-events.
type CacheEvent struct {
	Number int    `json:"number"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

// NewEngine returns an engine that loads its weights from a store.
func NewEngine(config EngineConfig, store *WeightStore) *Engine {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	return &Engine{
		config: config, store: store, core: engine.New(config.Batch),
		generations: map[string]*generation{},
		state:       EngineState{Model: config.Model, ModelVersion: config.Version, Role: roleServe},
	}
}

// Run computes tokens until the context is cancelled. The returned channel then
// receives nil.
func (e *Engine) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			timer.Sleep(ctx, e.step())
		}
		done <- nil
	}()
	return done
}

func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshReport()
	e.removeUnread()
	if e.core.Idle() || e.faults.Frozen {
		return idleInterval
	}
	duration, events := e.core.Step()
	for _, event := range events {
		g := e.generations[event.Sequence.ID]
		if g == nil {
			continue
		}
		switch event.Kind {
		case engine.Token:
			g.generated++
			g.notifyReaders()
		case engine.Finished:
			g.done = true
			g.notifyReaders()
		}
	}
	e.recordCacheEvents()
	return time.Duration(float64(duration) / e.config.Speed)
}

func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// refreshReport updates the load report once the configured lag has passed since
// the last update. It is called with the lock held.
func (e *Engine) refreshReport() {
	now := time.Now()
	if now.Sub(e.state.reportedAt) < e.config.ReportLag {
		return
	}
	e.state.reportedAt = now
	load := e.core.Load()
	e.report = engineapi.Load{
		Model: e.state.Model, ModelVersion: e.state.ModelVersion, Adapters: e.state.Adapters,
		Role: e.state.Role, Leaving: e.state.Leaving,
		Running: load.Running, Waiting: load.Waiting, UsedTokens: load.UsedTokens,
		CapacityTokens: e.config.Batch.CapacityTokens, Preemptions: load.Preemptions,
	}
}

// removeUnread cancels generations that have had no reader for resumeGrace, and
// removes finished ones after finishedRetention. It is called with the lock held.
func (e *Engine) removeUnread() {
	now := time.Now()
	for id, g := range e.generations {
		unread := g.readers == 0 && now.Sub(g.idleSince) > resumeGrace
		if unread && !g.done || g.done && g.readers == 0 && now.Sub(g.idleSince) > finishedRetention {
			e.core.Cancel(id)
			delete(e.generations, id)
		}
	}
}

// recordCacheEvents publishes cache events. It drops every seventh event because
// real engines lose some. It is called with the lock held.
func (e *Engine) recordCacheEvents() {
	const lossPeriod, maxEvents = 7, 1000
	for _, event := range e.core.CacheEvents() {
		e.state.cacheEventNumber++
		if e.state.cacheEventNumber%lossPeriod == 0 {
			continue
		}
		e.cacheLog = append(e.cacheLog, CacheEvent{e.state.cacheEventNumber, event.Prefix, event.Stored})
	}
	if len(e.cacheLog) > maxEvents {
		e.cacheLog = e.cacheLog[len(e.cacheLog)-maxEvents:]
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.cancel)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	return mux
}

// request holds the fields of a completion request that the engine uses.
type request struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Seed      int64           `json:"seed"`
	Priority  int             `json:"priority"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	var in request
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "malformed-json")
		return
	}
	prompt := string(in.Prompt)
	if chat {
		prompt = string(in.Messages)
	}
	id := r.Header.Get("X-Request-Id")
	g, code := e.submit(id, prompt, in, chat)
	if g == nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, code)
		return
	}
	e.stream(w, r, id, g, 0)
}

// submit queues a generation. If it refuses the request, it returns nil and the
// error code.
func (e *Engine) submit(id, prompt string, in request, chat bool) (*generation, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived++
	switch {
	case e.faults.Refuse:
		return nil, "overloaded"
	case e.state.Leaving:
		return nil, "leaving"
	case e.state.Role != roleServe:
		return nil, "standby"
	case in.Model != e.state.Model:
		return nil, "model-not-loaded"
	}
	e.started++
	if e.faults.Nondeterministic {
		in.Seed += int64(e.started)<<32 + int64(len(e.config.Name)+int(e.config.Name[len(e.config.Name)-1]))<<40
	}
	text := engine.NewText(prompt, in.Seed)
	s := &engine.Sequence{
		ID: id, Prompt: len(prompt)/charactersPerToken + 1, Priority: in.Priority,
		Length: text.Length(medianLength, longestLength),
	}
	if m := tokensMarker.FindStringSubmatch(prompt); m != nil {
		s.Length, _ = strconv.Atoi(m[1]) // the pattern admits digits only
		s.Length = max(1, s.Length)
	}
	if in.MaxTokens > 0 {
		s.Length = min(s.Length, in.MaxTokens)
	}
	if s.Prompt > prefixTokens {
		s.Prefix, s.PrefixTokens = prompt[:prefixTokens*charactersPerToken], prefixTokens
	}
	g := &generation{sequence: s, text: text, chat: chat, model: in.Model, changed: make(chan struct{}), idleSince: time.Now()}
	e.generations[id] = g
	e.core.Submit(s)
	return g, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	g := e.generations[id]
	e.mu.Unlock()
	if g == nil {
		writeError(w, http.StatusNotFound, "unknown-generation")
		return
	}
	_, index := cutLast(r.Header.Get("Last-Event-ID"), ":")
	last, err := strconv.Atoi(index)
	if err != nil {
		last = -1
	}
	e.stream(w, r, id, g, last+1)
}

// cutLast cuts a string around the last separator. Without a separator, before is
// the complete string.
func cutLast(s, sep string) (before, after string) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, ""
	}
	return s[:i], s[i+len(sep):]
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	e.core.Cancel(id)
	delete(e.generations, id)
	w.WriteHeader(http.StatusNoContent)
}

// stream sends the tokens from the index next on as server-sent events whose id is
// "generation:index".
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, g *generation, next int) {
	e.addReaders(g, 1)
	defer e.addReaders(g, -1)
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if err := out.Flush(); err != nil {
		return
	}
	for {
		generated, done, changed := e.progress(g)
		if e.applyStreamFaults(r.Context(), next) || e.dead() {
			panic(http.ErrAbortHandler)
		}
		for ; next < generated; next++ {
			e.writeToken(w, id, g, next)
		}
		if done {
			e.writeEnd(w, id, g, next)
			_ = out.Flush() // a failed flush means that the reader has disconnected
			return
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) addReaders(g *generation, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers += delta
	g.idleSince = time.Now()
}

func (e *Engine) progress(g *generation) (generated int, done bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.generated, g.done, g.changed
}

func (e *Engine) writeToken(w http.ResponseWriter, id string, g *generation, index int) {
	if e.isCrossed(index) {
		writeEvent(w, id+"-other", id, g, index, "crossed ")
	}
	writeEvent(w, id, id, g, index, g.text.Token(index))
}

// writeEvent writes one token as an event. The event's id field names eventOwner.
func writeEvent(w http.ResponseWriter, eventOwner, id string, g *generation, index int, text string) {
	field := `"text":` + strconv.Quote(text)
	object := "text_completion"
	if g.chat {
		field, object = `"delta":{"content":`+strconv.Quote(text)+`}`, "chat.completion.chunk"
	}
	//nolint:errcheck // the next flush fails if the reader has disconnected
	fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":%q,\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":null}]}\n\n",
		eventOwner, index, requestID(id), object, g.model, field)
}

func (e *Engine) writeEnd(w http.ResponseWriter, id string, g *generation, index int) {
	field, object := `"text":""`, "text_completion"
	if g.chat {
		field, object = `"delta":{}`, "chat.completion.chunk"
	}
	//nolint:errcheck // the next flush fails if the reader has disconnected
	fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":%q,\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		id, index, requestID(id), object, g.model, field, g.sequence.Prompt, index, g.sequence.Prompt+index)
}

// requestID removes the attempt number from a generation's ID, so that the ID
// that callers see does not change when a request is retried.
func requestID(id string) string {
	request, _ := cutLast(id, ".")
	return request
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // a missing value selects all events
	e.mu.Lock()
	var out []CacheEvent
	for _, event := range e.cacheLog {
		if event.Number > after {
			out = append(out, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, out)
}
