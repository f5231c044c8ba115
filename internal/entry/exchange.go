package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/once"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/trace"
)

const (
	maxAttempts = 4
	maxResumes  = 6
)

// exchange is one request of a caller from arrival to outcome.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Duration

	set     *declaration.Set
	org     *declaration.Organisation
	service *declaration.Service
	class   *declaration.Class
	labels  *telemetry.Labels
	core    *delivery.Core
	target  string
	avoid   string
	key     string // identity of a non-idempotent request
	reason  string // why a request was refused or ended early, for the log
}

// begin authenticates the caller and counts the request in. It returns nil after
// it has answered with a problem.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, id: once.NewIdentity(), arrived: s.timers.Now(), set: s.store.Current()}
	h := w.Header()
	h.Set(headerRequestID, x.id)
	h.Set(headerInstance, s.settings.Instance.Name)
	if x.set == nil {
		x.refuse(refusal(http.StatusServiceUnavailable, codeNoConfig, "the instance has no configuration yet", time.Second))
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		x.org, ok = x.set.OrganisationByKey(token)
	}
	if !ok {
		x.refuse(refusal(http.StatusUnauthorized, codeNoKey, "the key belongs to no organisation", 0))
		return nil
	}
	if p := s.enter(x.org); p != nil {
		x.refuse(p)
		return nil
	}
	return x
}

// choose finds the class of the request.
func (x *exchange) choose(service *declaration.Service) *problem {
	x.service = service
	name := x.r.Header.Get(headerClass)
	if name == "" {
		name = service.DefaultClass()
	}
	class, ok := x.set.Class(name)
	if !ok {
		return refusal(http.StatusBadRequest, codeNoClass, "there is no class "+quote(name), 0)
	}
	x.class = class
	x.labels = x.server.metrics.For(x.org.Name(), class.Name())
	return nil
}

// readBody reads the request's body, which is bounded.
func (x *exchange) readBody() ([]byte, *problem) {
	limit := int64(x.server.settings.Entry.MaxBody)
	data, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, codeTooLarge, fmt.Sprintf("the body is over %d bytes", limit), 0)
	case err != nil:
		return nil, refusal(http.StatusBadRequest, codeInvalid, "the body could not be read", 0)
	}
	return data, nil
}

// policy returns the bounds on the attempts at the request.
func (x *exchange) policy(whole bool) delivery.Policy {
	return delivery.Policy{
		Idempotent: x.class.Idempotent(), Whole: whole, MaxAttempts: maxAttempts, MaxResumes: maxResumes,
	}
}

// refuse answers a request that did not get as far as a class.
func (x *exchange) refuse(p *problem) {
	x.server.metrics.Refusal(string(p.code))
	x.server.log.Info("refused", "request", x.id, "code", string(p.code), "status", p.status, "outcome", string(p.outcome))
	p.write(x.w)
}

// end counts and logs the outcome of a request that was counted in.
func (x *exchange) end(outcome delivery.Outcome) {
	s := x.server
	_ = boundWrite(x.w, 0) // fails only where the connection has ended
	class := ""
	if x.class != nil {
		class = x.class.Name()
	}
	s.metrics.Outcome(class, string(outcome))
	passed, attempts := 0, 0
	if x.core != nil {
		passed, attempts = x.core.Passed(), x.core.Generation()
	}
	s.recorder.Record(trace.Event{Kind: trace.Outcome, Request: x.id, Outcome: string(outcome), Key: x.key, Total: passed})
	s.log.Info("request", "request", x.id, "organisation", x.org.Name(), "class", class, "target", x.target,
		"failure-domain", s.settings.Instance.FailureDomain, "outcome", string(outcome), "reason", x.reason,
		"tokens", passed, "attempts", attempts, "millis", (s.timers.Now() - x.arrived).Milliseconds())
	s.leave(x.org)
}

// admit waits for a target. It returns a problem when the request is refused.
func (x *exchange) admit(ctx context.Context, r admission.Request) (uint64, *problem) {
	s := x.server
	asked := s.timers.Now()
	r.Avoid = x.avoid
	id, decision, err := s.dispatch.acquire(ctx, r)
	x.labels.Queue.Update((s.timers.Now() - asked).Seconds())
	if err != nil {
		x.reason = "caller-left"
		return id, refusal(statusCallerLeft, codeCallerGone, "the caller left", 0)
	}
	if decision.Target == "" {
		x.reason = string(decision.Reason)
		s.metrics.Refusal(string(decision.Reason))
		return id, refusal(http.StatusServiceUnavailable, Code(decision.Reason), "the request was refused before it ran: "+string(decision.Reason), decision.RetryAfter)
	}
	x.target = decision.Target
	return id, nil
}

// statusCallerLeft is logged for requests whose caller closed the connection; it
// is never received.
const statusCallerLeft = 499

// request returns the fields of an admission request that all services share.
func (x *exchange) request(pool string) admission.Request {
	return admission.Request{
		Pool: pool, Organisation: x.org.Name(), Class: x.class.Name(), Weight: x.org.Weight(),
		Urgency: x.class.Urgency(), Longest: x.class.Longest(), Deadline: x.arrived + x.class.Deadline(),
	}
}

// lose decides what follows the loss of a run, and traces it.
func (x *exchange) lose(loss delivery.Loss) (delivery.Step, delivery.Outcome) {
	granted := false
	step, outcome := x.core.Lost(loss, func() bool {
		granted = x.mayRetry()
		return granted
	})
	x.record(loss, step, granted)
	return step, outcome
}

// record traces the loss of a run and what followed.
func (x *exchange) record(loss delivery.Loss, step delivery.Step, mayRetry bool) {
	x.server.recorder.Record(trace.Event{
		Kind: trace.Lost, Request: x.id, Generation: x.core.Generation(), Target: targetOf(x.target),
		Loss: trace.LossName(loss), Step: trace.StepName(step), MayRetry: mayRetry,
	})
}

// mayRetry reports whether the deadline and the budget allow another run.
func (x *exchange) mayRetry() bool {
	if x.server.timers.Now() > x.arrived+x.class.Deadline() || x.r.Context().Err() != nil {
		return false
	}
	return x.server.dispatch.mayRetry()
}

func quote(s string) string { return `"` + s + `"` }
