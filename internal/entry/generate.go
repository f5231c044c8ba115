package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// charactersPerToken is used to estimate the length of a prompt in tokens.
	charactersPerToken = 4
	// prefixBytes is the length of the prefix that is compared to find requests
	// whose prompts begin alike. Shorter prompts are not compared.
	prefixBytes = 256
	// progressInterval is the number of tokens between two reports of a
	// generation's progress to the admission core.
	progressInterval = 32
	// cancelTimeout bounds the request that cancels a generation at its engine.
	cancelTimeout = 2 * time.Second
	// minStall is the shortest gap between tokens that counts as a stall.
	minStall = time.Second
	// maxStallBound is the upper limit of the stall bound, which grows while a
	// target confirms that it still has the generation.
	maxStallBound = 30 * time.Second
)

// generation is an exchange with an engine.
type generation struct {
	*exchange
	chat         bool
	path         string
	body         map[string]json.RawMessage
	input        json.RawMessage // prompt or messages, as sent by the caller
	promptTokens int             // estimated tokens of the prompt
	prefix       uint64          // hash of the beginning of a longer prompt; 0 for a short one
	parts        []string        // names of what the prompt may have in common with others
	sink         sink

	admissionID uint64        // identity of the request at the dispatcher
	address     string        // of the engine
	answerBegan time.Duration // when the engine accepted the current run; 0 before
	lastToken   time.Duration // when the last token arrived
	finalEvent  []byte        // data of the engine's last event
}

// generate serves completions and chat completions.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	ex := s.begin(w, r)
	if ex == nil {
		return
	}
	g := &generation{exchange: ex, chat: chat, path: r.URL.Path}
	outcome := delivery.NotRun
	defer func() { ex.end(outcome) }()
	if p := g.read(); p != nil {
		ex.reason = string(p.code)
		s.metrics.Refusal(string(p.code))
		p.write(w)
		return
	}
	if ex.class.Idempotent() {
		outcome = g.run(r.Context())
		return
	}
	outcome = ex.runOnce(g.content(), func(ctx context.Context) (delivery.Outcome, *wire.Answer) {
		return g.run(ctx), &wire.Answer{Status: http.StatusOK, Target: g.target}
	})
}

// read parses and validates the request.
func (g *generation) read() *problem {
	data, p := g.readBody()
	if p != nil {
		return p
	}
	if err := json.Unmarshal(data, &g.body); err != nil {
		return refusal(http.StatusBadRequest, codeMalformed, "the body is not a JSON object: "+err.Error(), 0)
	}
	var fields struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		Messages  json.RawMessage `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		N         int             `json:"n"`
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return refusal(http.StatusBadRequest, codeInvalid, "a field has the wrong type: "+err.Error(), 0)
	}
	service, ok := g.set.ServiceOfModel(fields.Model)
	if !ok {
		return refusal(http.StatusNotFound, codeNoModel, "there is no model "+quote(fields.Model), 0)
	}
	if p := g.chooseClass(service); p != nil {
		return p
	}
	g.input = fields.Prompt
	if g.chat {
		g.input = fields.Messages
	}
	switch {
	case len(g.input) == 0:
		return refusal(http.StatusBadRequest, codeInvalid, "the prompt or messages are missing", 0)
	case fields.MaxTokens < 0:
		return refusal(http.StatusBadRequest, codeInvalid, "max_tokens is negative", 0)
	case fields.N > 1:
		return refusal(http.StatusBadRequest, codeInvalid, "n above 1 is not supported", 0)
	}
	g.promptTokens = len(g.input)/charactersPerToken + 1
	if len(g.input) > prefixBytes {
		g.prefix = hash(g.input[:prefixBytes])
	}
	g.parts = g.promptParts()
	g.identity = quarantine.NewRequest(g.org.Name(), g.r.Method, "", g.path, g.input, nil)
	return g.prepare(fields.Stream)
}

// prepare chooses how the answer is delivered and completes the request to the
// engine. A seed is set so that a second run produces the same tokens.
func (g *generation) prepare(stream bool) *problem {
	buffered := g.class.Buffered() || !stream
	if buffered && g.server.memory.full() {
		return refusal(http.StatusServiceUnavailable, codeMemoryBound, "the memory for whole answers is in use", time.Second)
	}
	g.core = delivery.New(g.policy(buffered))
	if buffered {
		g.sink = &bufferedSink{
			w: g.w, memory: &g.server.memory, maxBytes: int(g.server.settings.Entry.MaxAnswer),
			stream: stream, chat: g.chat, headers: g.headers, timeout: g.server.settings.Entry.CallerWriteTimeout,
		}
	} else {
		g.sink = newStreamSink(g.w, g.server.settings.Entry.CallerWriteTimeout, g.headers)
	}
	g.body["stream"] = json.RawMessage("true")
	g.body["priority"] = json.RawMessage(strconv.Itoa(g.class.Urgency()))
	if _, ok := g.body["seed"]; !ok {
		g.body["seed"] = json.RawMessage(strconv.FormatInt(int64(hash([]byte(g.id))>>1), 10))
	}
	g.server.recorder.Record(trace.Event{
		Kind: trace.Arrive, Request: g.id, Idempotent: g.class.Idempotent(), Whole: buffered,
	})
	return nil
}

func (g *generation) headers(h http.Header) { h.Set(headerTarget, g.target) }

// content returns the bytes that distinguish the request from others with the same
// idempotency key.
func (g *generation) content() []byte { return append([]byte(g.path+"\n"), g.input...) }

func hash(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data) // writing to a hash never fails
	return h.Sum64()
}

// run makes attempts until the request has an outcome, and answers the caller.
func (g *generation) run(ctx context.Context) delivery.Outcome {
	for {
		if p := g.heldBack(g.parts); p != nil {
			return g.failWith(p)
		}
		p, admissionID := g.admitRun(ctx)
		if p != nil {
			return g.failWith(p)
		}
		g.admissionID = admissionID
		loss, err := g.attempt(ctx)
		if err == nil {
			g.server.crashes.Answered(g.identity, g.target, g.parts, g.server.dispatch.timers.Now())
			g.server.dispatch.release(admissionID, g.core.Next(), admission.Finished)
			return g.complete()
		}
		g.server.dispatch.release(admissionID, g.core.Next(), resultOf(ctx, loss))
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			g.reason = "caller-left"
			return g.failWith(g.incompleteProblem(codeCallerGone, "the caller left"))
		}
		if errors.Is(err, errAnswerTooLong) {
			g.reason = err.Error()
			return g.failWith(g.incompleteProblem(codeAnswerTooLong, err.Error()))
		}
		step, outcome := g.handleLoss(loss)
		if step != delivery.Restart {
			g.reason = err.Error()
			return g.failWith(g.lossProblem(err, outcome))
		}
		g.avoid = g.target
		g.server.metrics.Retry("run")
	}
}

func resultOf(ctx context.Context, loss delivery.Loss) admission.Result {
	switch {
	case ctx.Err() != nil:
		return admission.Cancelled
	case loss == delivery.Refused:
		return admission.Rejected
	}
	return admission.Failed
}

func (g *generation) admitRun(ctx context.Context) (*problem, uint64) {
	r := g.admissionRequest(modelPoolPrefix + g.service.Model())
	r.PromptTokens = g.promptTokens
	if raw, ok := g.body["max_tokens"]; ok {
		_ = json.Unmarshal(raw, &r.MaxTokens) // its type was checked by read
	}
	r.Prefix = g.prefix
	id, p := g.admit(ctx, r)
	if p != nil && g.core.Generation() > 0 {
		p = g.correctOutcome(p)
	}
	return p, id
}

// complete finishes the answer and returns its outcome.
func (g *generation) complete() delivery.Outcome {
	err := g.sink.finish(g.finalEvent)
	if errors.Is(err, errInvalidAnswer) {
		g.reason = err.Error()
		return g.failWith(g.incompleteProblem(codeTargetFailed, err.Error()))
	}
	if err != nil {
		g.reason = "caller-left"
		g.core.End(delivery.Incomplete)
		return delivery.Incomplete
	}
	g.core.End(delivery.Complete)
	return delivery.Complete
}

// failWith ends the answer with a problem and returns its outcome.
func (g *generation) failWith(p *problem) delivery.Outcome {
	g.core.End(p.outcome)
	g.sink.fail(p)
	return p.outcome
}

// incompleteProblem returns the problem for an answer that ends early.
func (g *generation) incompleteProblem(code Code, message string) *problem {
	p := &problem{status: http.StatusBadGateway, code: code, message: message, outcome: delivery.NotRun, retryAfter: time.Second}
	if g.core.MayHaveRun() {
		p.outcome, p.tokens = delivery.Incomplete, g.core.Delivered()
		if !g.class.Idempotent() && g.core.Delivered() == 0 {
			p.outcome = delivery.Unknown
		}
	}
	return p
}

func (g *generation) lossProblem(err error, outcome delivery.Outcome) *problem {
	code := codeTargetFailed
	if errors.Is(err, errDiverged) {
		code = codeDiverged
	}
	p := g.incompleteProblem(code, "the answer could not be completed: "+err.Error())
	p.outcome = outcome
	if outcome == delivery.NotRun {
		p.status, p.tokens = http.StatusServiceUnavailable, 0
	}
	return p
}

// engineRequest encodes the request for an engine.
func (g *generation) engineRequest(ctx context.Context, id string) (*http.Request, error) {
	data, err := json.Marshal(g.body)
	if err != nil {
		return nil, errors.Wrap(err, "request cannot be encoded")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+g.path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	return r, nil
}

// models lists the models of the configuration.
func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	if set := s.store.Current(); set != nil {
		for _, name := range set.Models() {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "vanillaward"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the caller may have disconnected
}
