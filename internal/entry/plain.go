package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/upstream"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// plainCall is an exchange with a plain service.
type plainCall struct {
	*exchange
	body []byte
	path string
}

// plain serves requests to plain services.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	x := s.begin(w, r)
	if x == nil {
		return
	}
	c := &plainCall{exchange: x, path: "/" + r.PathValue("rest")}
	outcome := delivery.NotRun
	defer func() { x.end(outcome) }()
	if p := c.read(); p != nil {
		outcome = x.answer(p)
		return
	}
	if x.class.Idempotent() {
		outcome, _ = c.run(r.Context())
		return
	}
	outcome = x.runOnce(c.content(), c.run)
}

func (c *plainCall) read() *problem {
	service, ok := c.set.Service(c.r.PathValue("service"))
	if !ok || service.Generation() {
		return refusal(http.StatusNotFound, codeNoService, "there is no plain service "+quote(c.r.PathValue("service")), 0)
	}
	if p := c.choose(service); p != nil {
		return p
	}
	data, p := c.readBody()
	if p != nil {
		return p
	}
	c.body = data
	c.core = delivery.New(c.policy(true))
	c.server.recorder.Record(trace.Event{Kind: trace.Arrive, Request: c.id, Idempotent: c.class.Idempotent(), Whole: true})
	return nil
}

// content identifies the request among those with the same key.
func (c *plainCall) content() []byte {
	return append([]byte(c.r.Method+" "+c.r.URL.RequestURI()+"\n"), c.body...)
}

// run makes attempts until the request has an outcome, and answers the caller.
func (c *plainCall) run(ctx context.Context) (delivery.Outcome, *wire.Answer) {
	for {
		request := c.request(servicePool + c.service.Name())
		request.Prompt, request.KnownLength = 1, 1
		admitted, p := c.admit(ctx, request)
		if p != nil {
			if c.core.MayHaveRun() {
				p.outcome = delivery.Incomplete
			}
			return c.answer(p), nil
		}
		c.core.Begin()
		c.server.recorder.Record(trace.Event{Kind: trace.Begin, Request: c.id, Target: targetOf(c.target), Generation: c.core.Generation(), Key: c.key})
		answer, err := c.forward(ctx)
		var l *lossError
		if !errors.As(err, &l) {
			c.server.dispatch.release(admitted, 1, admission.Finished)
			c.core.End(delivery.Complete)
			c.writeAnswer(answer)
			return delivery.Complete, c.keep(answer)
		}
		c.server.dispatch.release(admitted, 0, resultOf(ctx, l.loss))
		step, outcome := c.lose(l.loss)
		if step != delivery.Restart {
			c.core.End(outcome)
			return c.answer(c.lostProblem(err, outcome)), nil
		}
		c.avoid = c.target
		c.server.metrics.Retry("run")
	}
}

func (c *plainCall) lostProblem(err error, outcome delivery.Outcome) *problem {
	p := &problem{
		status: http.StatusBadGateway, code: codeTargetFailed, outcome: outcome,
		message: "the target failed: " + err.Error(), retryAfter: c.set.Fleet().RetryAfter(),
	}
	if outcome == delivery.NotRun {
		p.status = http.StatusServiceUnavailable
	}
	if outcome == delivery.Unknown {
		p.code = codeUnknown
	}
	return p
}

// hopHeaders concern one connection only, or the caller's own access.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length", headerClass,
}

// forward sends the request to its target and reads the whole answer.
func (c *plainCall) forward(ctx context.Context) (*wire.Answer, error) {
	t, ok := c.set.Target(targetOf(c.target))
	if !ok {
		return nil, lost(delivery.Unsent, errors.Errorf("target %s is not declared", c.target))
	}
	ctx, sent := upstream.CountSent(ctx)
	url := "http://" + t.Address().String() + c.path
	if c.r.URL.RawQuery != "" {
		url += "?" + c.r.URL.RawQuery
	}
	r, err := http.NewRequestWithContext(ctx, c.r.Method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, lost(delivery.Unsent, err)
	}
	for name, values := range c.r.Header {
		if !slices.Contains(hopHeaders, name) {
			r.Header[name] = values
		}
	}
	client := c.server.engines
	if !c.class.Idempotent() {
		client = c.server.fresh
	}
	response, err := client.Do(r) //nolint:bodyclose // readAnswer closes it
	if c.class.Idempotent() || sent.Load() > 0 {
		c.core.Sent()
	}
	if err != nil {
		return nil, c.sendLoss(sent.Load(), err)
	}
	return c.readAnswer(response)
}

func (c *plainCall) sendLoss(sent int64, err error) error {
	if !c.class.Idempotent() && sent == 0 {
		return lost(delivery.Unsent, err)
	}
	return lost(delivery.LostGeneration, err)
}

func (c *plainCall) readAnswer(response *http.Response) (*wire.Answer, error) {
	defer func() { _ = response.Body.Close() }() // it was read
	if c.service.NotExecuted(response.StatusCode) {
		c.core.Unexecuted()
		return nil, lost(delivery.Refused, errors.Errorf("target answered %d, which states that it did not run the request", response.StatusCode))
	}
	limit := int64(c.server.settings.Entry.MaxAnswer)
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, limit))
	if err != nil {
		return nil, lost(delivery.LostGeneration, errors.Wrap(err, "answer"))
	}
	return &wire.Answer{
		Status: int32(response.StatusCode), ContentType: response.Header.Get("Content-Type"),
		Body: body, Target: targetOf(c.target),
	}, nil
}

// keep returns the answer as the keepers store it.
func (c *plainCall) keep(a *wire.Answer) *wire.Answer {
	if len(a.GetBody()) > int(c.server.settings.Entry.KeeperAnswerBytes) {
		return &wire.Answer{Status: a.GetStatus(), Target: a.GetTarget()}
	}
	return a
}
