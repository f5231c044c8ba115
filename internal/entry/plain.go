package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/quarantine"
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
	ex := s.begin(w, r)
	if ex == nil {
		return
	}
	c := &plainCall{exchange: ex, path: "/" + r.PathValue("rest")}
	outcome := delivery.NotRun
	defer func() { ex.end(outcome) }()
	if p := c.read(); p != nil {
		outcome = ex.answerProblem(p)
		return
	}
	if ex.class.Idempotent() {
		outcome, _ = c.run(r.Context())
		return
	}
	outcome = ex.runOnce(c.content(), c.run)
}

func (c *plainCall) read() *problem {
	service, ok := c.set.Service(c.r.PathValue("service"))
	if !ok || service.Generation() {
		return refusal(http.StatusNotFound, codeNoService, "there is no plain service "+quote(c.r.PathValue("service")), 0)
	}
	if p := c.chooseClass(service); p != nil {
		return p
	}
	data, p := c.readBody()
	if p != nil {
		return p
	}
	c.body = data
	c.identity = quarantine.NewRequest(c.org.Name(), c.r.Method, "", c.r.URL.RequestURI(), data, nil)
	c.core = delivery.New(c.policy(true))
	c.server.recorder.Record(trace.Event{Kind: trace.Arrive, Request: c.id, Idempotent: c.class.Idempotent(), Whole: true})
	return nil
}

// content returns the bytes that distinguish the request from others with the same
// idempotency key.
func (c *plainCall) content() []byte {
	return append([]byte(c.r.Method+" "+c.r.URL.RequestURI()+"\n"), c.body...)
}

// run makes attempts until the request has an outcome, and answers the caller.
func (c *plainCall) run(ctx context.Context) (delivery.Outcome, *wire.Answer) {
	for {
		if p := c.heldBack(nil); p != nil {
			return c.answerProblem(p), nil
		}
		request := c.admissionRequest(servicePoolPrefix + c.service.Name())
		request.PromptTokens, request.KnownLength = 1, 1
		admissionID, p := c.admit(ctx, request)
		if p != nil {
			if c.core.MayHaveRun() {
				p.outcome = delivery.Incomplete
			}
			return c.answerProblem(p), nil
		}
		c.core.Begin()
		c.server.recorder.Record(trace.Event{Kind: trace.Begin, Request: c.id, Target: targetName(c.target), Generation: c.core.Generation(), Key: c.key})
		answer, err := c.forward(ctx)
		var lossErr *lossError
		if !errors.As(err, &lossErr) {
			c.server.crashes.Answered(c.identity, c.target, nil, c.server.dispatch.timers.Now())
			c.server.dispatch.release(admissionID, 1, admission.Finished)
			c.core.End(delivery.Complete)
			c.writeAnswer(answer)
			return delivery.Complete, c.storedAnswer(answer)
		}
		c.noteRequestCrash(ctx, c.id+"."+strconv.Itoa(c.core.Generation()), err)
		c.server.dispatch.release(admissionID, 0, resultOf(ctx, lossErr.loss))
		step, outcome := c.handleLoss(lossErr.loss)
		if step != delivery.Restart {
			c.core.End(outcome)
			return c.answerProblem(c.lossProblem(err, outcome)), nil
		}
		c.avoid = c.target
		c.server.metrics.Retry("run")
	}
}

func (c *plainCall) lossProblem(err error, outcome delivery.Outcome) *problem {
	p := &problem{
		status: http.StatusBadGateway, code: codeTargetFailed, outcome: outcome,
		message: "the target failed: " + err.Error(), retryAfter: c.set.Fleet().RetryAfter(),
	}
	if outcome == delivery.NotRun {
		p.status = http.StatusServiceUnavailable
	}
	if outcome == delivery.Unknown {
		p.code = codeOutcomeUnknown
	}
	return p
}

// hopByHopHeaders are not forwarded: they apply to one connection only, or to the
// caller's access to this system.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length", headerClass,
}

// forward sends the request to its target and reads the complete answer. Its errors
// are lossErrors.
func (c *plainCall) forward(ctx context.Context) (*wire.Answer, error) {
	t, ok := c.set.Target(targetName(c.target))
	if !ok {
		return nil, newLossError(delivery.Unsent, errors.Errorf("target %s is not declared", c.target))
	}
	ctx, sent := upstream.CountSent(ctx)
	url := "http://" + t.Address().String() + c.path
	if c.r.URL.RawQuery != "" {
		url += "?" + c.r.URL.RawQuery
	}
	r, err := http.NewRequestWithContext(ctx, c.r.Method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, newLossError(delivery.Unsent, err)
	}
	for name, values := range c.r.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			r.Header[name] = values
		}
	}
	response, err := c.server.unpooled.Do(r) //nolint:bodyclose // readAnswer closes it
	if sent.Load() > 0 {
		c.core.Sent()
	}
	if err != nil {
		return nil, classifySendError(sent.Load(), err)
	}
	return c.readAnswer(response)
}

// classifySendError returns how a request was lost that has no answer, from the number of bytes that
// were sent.
func classifySendError(sent int64, err error) error {
	if sent == 0 {
		return newLossError(delivery.Unsent, err)
	}
	return newLossError(delivery.LostGeneration, err)
}

func (c *plainCall) readAnswer(response *http.Response) (*wire.Answer, error) {
	defer func() { _ = response.Body.Close() }() // the body was read
	if c.service.NotExecuted(response.StatusCode) {
		c.core.NotExecuted()
		return nil, newLossError(delivery.Refused, errors.Errorf("target answered %d, which states that it did not run the request", response.StatusCode))
	}
	limit := int64(c.server.settings.Entry.MaxAnswer)
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, limit))
	if err != nil {
		return nil, newLossError(delivery.LostGeneration, errors.Wrap(err, "answer"))
	}
	return &wire.Answer{
		Status: int32(response.StatusCode), ContentType: response.Header.Get("Content-Type"),
		Body: body, Target: targetName(c.target),
	}, nil
}

// storedAnswer returns the answer as the keepers store it: only status and target if
// the body exceeds their size limit.
func (c *plainCall) storedAnswer(a *wire.Answer) *wire.Answer {
	if len(a.GetBody()) > int(c.server.settings.Entry.KeeperAnswerBytes) {
		return &wire.Answer{Status: a.GetStatus(), Target: a.GetTarget()}
	}
	return a
}
