package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/trace"
)

// Limits of delivery.Policy. Package trace replays requests with the same values.
const (
	maxAttempts = 4
	maxResumes  = 6
)

// bodyTimeout bounds how long reading a request's body may take when the settings do not.
const bodyTimeout = 10 * time.Second

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
	series  *telemetry.Series
	core    *delivery.Core
	target  string // target of the current run, as named by the dispatcher
	avoid   string // target of the lost run, which the next run should avoid
	key     string // record key of a non-idempotent request
	// identity is the same for repeats of the request
	identity quarantine.Request
	sentAt   time.Duration // when the last attempt began
	body     *bodyread.Body
	reason   string // why a request was refused or ended early, for the log
}

// begin authenticates the caller and counts the request as open. It returns nil if
// it answered with a problem.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) *exchange {
	ex := &exchange{server: s, w: w, r: r, id: idempotency.NewIdentity(), arrived: s.timers.Now(), set: s.store.Current()}
	h := w.Header()
	h.Set(headerRequestID, ex.id)
	h.Set(headerInstance, s.settings.Instance.Name)
	if ex.set == nil {
		ex.refuse(refusal(http.StatusServiceUnavailable, codeNoConfig, "the instance has no configuration yet", time.Second))
		return nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		ex.org, ok = ex.set.OrganisationByKey(token)
	}
	if !ok {
		ex.refuse(refusal(http.StatusUnauthorized, codeInvalidAPIKey, "the key belongs to no organisation", 0))
		return nil
	}
	if p := s.openRequest(ex.org); p != nil {
		ex.refuse(p)
		return nil
	}
	return ex
}

// chooseClass sets the service, the class and the metric series of the request.
func (ex *exchange) chooseClass(service *declaration.Service) *problem {
	ex.service = service
	name := ex.r.Header.Get(headerClass)
	if name == "" {
		name = service.DefaultClass()
	}
	class, ok := ex.set.Class(name)
	if !ok {
		return refusal(http.StatusBadRequest, codeNoClass, "there is no class "+quote(name), 0)
	}
	ex.class = class
	ex.series = ex.server.metrics.For(ex.org.Name(), class.Name())
	return nil
}

// readBody reads the request's body up to the maximum size.
func (ex *exchange) readBody() ([]byte, *problem) {
	limit := int64(ex.server.settings.Entry.MaxBody)
	timeout := ex.server.settings.Limits.BodyTimeout
	if timeout <= 0 {
		timeout = bodyTimeout
	}
	var err error
	ex.body, err = ex.server.bodies.Read(ex.w, ex.r, limit, timeout)
	if err != nil {
		ex.w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, bodyread.ErrTooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, codeTooLarge, fmt.Sprintf("the body is over %d bytes", limit), 0)
	case errors.Is(err, bodyread.ErrNoMemory):
		return nil, refusal(http.StatusServiceUnavailable, codeNoMemory, "the memory for bodies is needed for others", time.Second)
	case errors.Is(err, bodyread.ErrTimeout):
		return nil, refusal(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive in time", time.Second)
	case err != nil:
		return nil, refusal(http.StatusBadRequest, codeInvalid, "the body could not be read", 0)
	}
	return ex.body.Bytes(), nil
}

// policy returns the limits on the attempts at the request.
func (ex *exchange) policy(buffered bool) delivery.Policy {
	return delivery.Policy{
		Idempotent: ex.class.Idempotent(), Buffered: buffered, MaxAttempts: maxAttempts, MaxResumes: maxResumes,
	}
}

// refuse answers a request that is refused before its class is known.
func (ex *exchange) refuse(p *problem) {
	ex.server.metrics.Refusal(string(p.code))
	ex.server.log.Info("refused", "request", ex.id, "code", string(p.code), "status", p.status, "outcome", string(p.outcome))
	p.write(ex.w)
}

// end records and logs the outcome of an open request and counts it as closed.
func (ex *exchange) end(outcome delivery.Outcome) {
	s := ex.server
	_ = setWriteTimeout(ex.w, 0) // fails only if the connection is closed
	class := ""
	if ex.class != nil {
		class = ex.class.Name()
	}
	s.metrics.Outcome(class, string(outcome))
	passed, attempts := 0, 0
	if ex.core != nil {
		passed, attempts = ex.core.PassedTokens(), ex.core.Generation()
	}
	s.recorder.Record(trace.Event{Kind: trace.Outcome, Request: ex.id, Outcome: string(outcome), Key: ex.key, Total: passed})
	s.log.Info("request", "request", ex.id, "organisation", ex.org.Name(), "class", class, "target", ex.target,
		"failure-domain", s.settings.Instance.FailureDomain, "outcome", string(outcome), "reason", ex.reason,
		"tokens", passed, "attempts", attempts, "millis", (s.timers.Now() - ex.arrived).Milliseconds())
	ex.body.Release()
	s.closeRequest(ex.org)
}

// admit waits for a target. It returns a problem when the request is refused.
func (ex *exchange) admit(ctx context.Context, r admission.Request) (uint64, *problem) {
	s := ex.server
	queuedAt := s.timers.Now()
	r.Avoid = ex.avoid
	id, decision, err := s.dispatch.acquire(ctx, r)
	ex.series.Queue.Update((s.timers.Now() - queuedAt).Seconds())
	if err != nil {
		ex.reason = "caller-left"
		return id, refusal(statusCallerLeft, codeCallerGone, "the caller left", 0)
	}
	if decision.Target == "" {
		ex.reason = string(decision.Reason)
		s.metrics.Refusal(string(decision.Reason))
		return id, refusal(http.StatusServiceUnavailable, Code(decision.Reason), "the request was refused before it ran: "+string(decision.Reason), decision.RetryAfter)
	}
	ex.target, ex.sentAt = decision.Target, s.timers.Now()
	return id, nil
}

// statusCallerLeft is the status for requests whose caller closed the connection,
// so no caller receives it.
const statusCallerLeft = 499

// admissionRequest returns an admission request with the fields that all services
// share.
func (ex *exchange) admissionRequest(pool string) admission.Request {
	return admission.Request{
		Pool: pool, Organisation: ex.org.Name(), Class: ex.class.Name(), Weight: ex.org.Weight(),
		Urgency: ex.class.Urgency(), LongestTokens: ex.class.LongestTokens(), Deadline: ex.arrived + ex.class.Deadline(),
	}
}

// correctOutcome sets the outcome of a request that may have run before another run
// was refused.
func (ex *exchange) correctOutcome(p *problem) *problem {
	if ex.core.Outcome() != "" || !ex.core.MayHaveRun() {
		return p
	}
	p.outcome = delivery.Incomplete
	p.tokens = ex.core.Delivered()
	if !ex.class.Idempotent() {
		p.outcome = delivery.Unknown
	}
	return p
}

// handleLoss decides the next step after the loss of a run, and traces it.
func (ex *exchange) handleLoss(loss delivery.Loss) (delivery.Step, delivery.Outcome) {
	granted := false
	step, outcome := ex.core.Lost(loss, func() bool {
		granted = ex.mayRetry()
		return granted
	})
	ex.recordLoss(loss, step, granted)
	return step, outcome
}

// recordLoss traces the loss of a run and the next step.
func (ex *exchange) recordLoss(loss delivery.Loss, step delivery.Step, mayRetry bool) {
	ex.server.recorder.Record(trace.Event{
		Kind: trace.Lost, Request: ex.id, Generation: ex.core.Generation(), Target: targetName(ex.target),
		Loss: trace.LossName(loss), Step: trace.StepName(step), MayRetry: mayRetry,
	})
}

// mayRetry reports whether the caller, the deadline and the retry budget allow
// another run. If they do, it takes one retry from the budget.
func (ex *exchange) mayRetry() bool {
	if ex.server.timers.Now() > ex.arrived+ex.class.Deadline() || ex.r.Context().Err() != nil {
		return false
	}
	return ex.server.dispatch.takeRetry()
}

func quote(s string) string { return `"` + s + `"` }
