package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// charactersPerToken estimates the length of a prompt.
	charactersPerToken = 4
	// prefixBytes is the part of a prompt by which prompts count as alike.
	prefixBytes = 256
	// progressEvery is the number of tokens after which the admission core is
	// told of a generation's progress.
	progressEvery = 32
	// cancelTimeout bounds telling an engine to drop a generation.
	cancelTimeout = 2 * time.Second
	// stallNotable is the shortest silence that counts as a stall.
	stallNotable = time.Second
	// maxStallBound bounds the growth of the stall bound while a target confirms
	// that it still has the generation.
	maxStallBound = 30 * time.Second
)

// generation is an exchange with an engine.
type generation struct {
	*exchange
	chat   bool
	path   string
	body   map[string]json.RawMessage
	text   json.RawMessage // prompt or messages
	prompt int
	sink   sink

	admitted uint64
	address  string
	heard    time.Duration
	final    []byte
}

// generate serves completions and chat completions.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	x := s.begin(w, r)
	if x == nil {
		return
	}
	g := &generation{exchange: x, chat: chat, path: r.URL.Path}
	outcome := delivery.NotRun
	defer func() { x.end(outcome) }()
	if p := g.read(); p != nil {
		x.reason = string(p.code)
		s.metrics.Refusal(string(p.code))
		p.write(w)
		return
	}
	if x.class.Idempotent() {
		outcome = g.run(r.Context())
		return
	}
	outcome = x.runOnce(g.content(), func(ctx context.Context) (delivery.Outcome, *wire.Answer) {
		return g.run(ctx), &wire.Answer{Status: http.StatusOK, Target: g.target}
	})
}

// read parses and checks the request.
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
	if p := g.choose(service); p != nil {
		return p
	}
	g.text = fields.Prompt
	if g.chat {
		g.text = fields.Messages
	}
	switch {
	case len(g.text) == 0:
		return refusal(http.StatusBadRequest, codeInvalid, "the prompt or messages are missing", 0)
	case fields.MaxTokens < 0:
		return refusal(http.StatusBadRequest, codeInvalid, "max_tokens is negative", 0)
	case fields.N > 1:
		return refusal(http.StatusBadRequest, codeInvalid, "n above 1 is not supported", 0)
	}
	g.prompt = len(g.text)/charactersPerToken + 1
	return g.prepare(fields.Stream)
}

// prepare chooses how the answer is delivered and completes the engine's
// request. The seed makes a second run give the same tokens.
func (g *generation) prepare(stream bool) *problem {
	whole := g.class.Whole() || !stream
	if whole && g.server.memory.full() {
		return refusal(http.StatusServiceUnavailable, codeMemory, "the memory for whole answers is in use", time.Second)
	}
	g.core = delivery.New(g.policy(whole))
	if whole {
		g.sink = &heldSink{
			w: g.w, memory: &g.server.memory, maximum: int(g.server.settings.Entry.MaxAnswer),
			stream: stream, chat: g.chat, headers: g.headers, timeout: g.server.settings.Entry.CallerWrite,
		}
	} else {
		g.sink = newStreamSink(g.w, g.server.settings.Entry.CallerWrite, g.headers)
	}
	g.body["stream"] = json.RawMessage("true")
	g.body["priority"] = json.RawMessage(strconv.Itoa(g.class.Urgency()))
	if _, ok := g.body["seed"]; !ok {
		g.body["seed"] = json.RawMessage(strconv.FormatInt(int64(hash(g.id)>>1), 10))
	}
	g.server.recorder.Record(trace.Event{
		Kind: trace.Arrive, Request: g.id, Idempotent: g.class.Idempotent(), Whole: whole,
	})
	return nil
}

func (g *generation) headers(h http.Header) { h.Set(headerTarget, g.target) }

// content identifies the request among those with the same key.
func (g *generation) content() []byte { return append([]byte(g.path+"\n"), g.text...) }

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s) // a hash does not fail
	return h.Sum64()
}

// run makes attempts until the request has an outcome, and answers the caller.
func (g *generation) run(ctx context.Context) delivery.Outcome {
	for {
		p, admitted := g.admitRun(ctx)
		if p != nil {
			return g.giveUp(p)
		}
		g.admitted = admitted
		loss, err := g.attempt(ctx)
		if err == nil {
			g.server.dispatch.release(admitted, g.core.Next(), admission.Finished)
			return g.complete()
		}
		g.server.dispatch.release(admitted, g.core.Next(), resultOf(ctx, loss))
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			g.reason = "caller-left"
			return g.giveUp(g.cut(codeCallerGone, "the caller left"))
		}
		if errors.Is(err, errAnswerTooLong) {
			g.reason = err.Error()
			return g.giveUp(g.cut(codeAnswerTooLong, err.Error()))
		}
		step, outcome := g.lose(loss)
		if step != delivery.Restart {
			g.reason = err.Error()
			return g.giveUp(g.lostProblem(err, outcome))
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
	r := g.request(modelPool + g.service.Model())
	r.Prompt = g.prompt
	if raw, ok := g.body["max_tokens"]; ok {
		_ = json.Unmarshal(raw, &r.MaxTokens) // its type was checked
	}
	if len(g.text) > prefixBytes {
		r.Prefix = hash(string(g.text[:prefixBytes]))
	}
	id, p := g.admit(ctx, r)
	if p != nil && g.core.Generation() > 0 {
		p = g.afterRefusedRetry(p)
	}
	return p, id
}

// afterRefusedRetry corrects the outcome of a request that ran before it was
// refused another run.
func (g *generation) afterRefusedRetry(p *problem) *problem {
	if g.core.Outcome() != "" || !g.core.MayHaveRun() {
		return p
	}
	p.outcome = delivery.Incomplete
	p.tokens = g.core.Delivered()
	if !g.class.Idempotent() {
		p.outcome = delivery.Unknown
	}
	return p
}

// complete ends the answer.
func (g *generation) complete() delivery.Outcome {
	if err := g.sink.finish(g.final); err != nil {
		g.reason = "caller-left"
		g.core.End(delivery.Incomplete)
		return delivery.Incomplete
	}
	g.core.End(delivery.Complete)
	return delivery.Complete
}

// giveUp answers with a problem, at once.
func (g *generation) giveUp(p *problem) delivery.Outcome {
	g.core.End(p.outcome)
	g.sink.fail(p)
	return p.outcome
}

// cut is the problem of an answer that ends early.
func (g *generation) cut(code Code, message string) *problem {
	p := &problem{status: http.StatusBadGateway, code: code, message: message, outcome: delivery.NotRun, retryAfter: time.Second}
	if g.core.MayHaveRun() {
		p.outcome, p.tokens = delivery.Incomplete, g.core.Delivered()
		if !g.class.Idempotent() && g.core.Delivered() == 0 {
			p.outcome = delivery.Unknown
		}
	}
	return p
}

func (g *generation) lostProblem(err error, outcome delivery.Outcome) *problem {
	code := codeTargetFailed
	if errors.Is(err, errDiverged) {
		code = codeDiverged
	}
	p := g.cut(code, "the answer could not be completed: "+err.Error())
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
	_ = json.NewEncoder(w).Encode(list) // the caller may be gone
}
