package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// duplicatePollInterval is how often a duplicate request polls the outcome of
	// the first one.
	duplicatePollInterval = 200 * time.Millisecond
	// maxClaims bounds the claims made for one request when earlier attempts at
	// it did not run.
	maxClaims = 3
	// maxKeyBytes bounds the length of a caller's idempotency key.
	maxKeyBytes = 256
)

// recordKey returns a caller's key made unique across organisations. The part that
// names the home failure domain stays in front.
func (ex *exchange) recordKey(key string) string { return key + "|" + ex.org.Name() }

// runOnce runs a non-idempotent request at most once across all instances. The run
// is not cancelled when the caller disconnects, so that a resent request can receive
// its outcome.
func (ex *exchange) runOnce(content []byte, run func(context.Context) (delivery.Outcome, *wire.Answer)) delivery.Outcome {
	key := ex.r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return ex.answerProblem(refusal(http.StatusBadRequest, codeInvalid, "the idempotency key is too long", 0))
	}
	if key == "" {
		key = ex.server.guard.GenerateKey()
	}
	ex.key = ex.recordKey(key)
	ex.w.Header().Set(headerIdempotencyKey, key)
	for range maxClaims {
		claim := ex.server.guard.Claim(ex.r.Context(), ex.key, content)
		switch claim.Decision {
		case keeper.Granted:
			return ex.runClaimed(claim.Attempt, run)
		case keeper.Mismatch:
			return ex.answerProblem(refusal(http.StatusUnprocessableEntity, codeIdempotencyKeyReused, "the idempotency key stands for another request", 0))
		case keeper.Held:
			outcome, mayClaim := ex.answerDuplicate(claim.Record)
			if !mayClaim {
				return outcome
			}
		default:
			return ex.answerProblem(refusal(http.StatusServiceUnavailable, codeRecordsUnavailable, "the records of the request's home failure domain cannot be reached", ex.set.Fleet().RetryAfter()))
		}
	}
	return ex.answerProblem(refusal(http.StatusServiceUnavailable, codeRecordsUnavailable, "other attempts at the request ended without running", ex.set.Fleet().RetryAfter()))
}

func (ex *exchange) runClaimed(attempt *idempotency.Attempt, run func(context.Context) (delivery.Outcome, *wire.Answer)) delivery.Outcome {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ex.r.Context()))
	defer cancel()
	attempt.Renew(ctx)
	outcome, answer := run(ctx)
	switch outcome {
	case delivery.NotRun:
		attempt.Release()
	case delivery.Complete:
		answer.Outcome = string(outcome)
		attempt.Finish(answer)
	default:
		attempt.Abandon()
	}
	return outcome
}

// answerDuplicate answers a duplicate with the outcome of the first request. It
// reports whether the request may be claimed again because the first did not run.
func (ex *exchange) answerDuplicate(record *wire.Record) (outcome delivery.Outcome, mayClaim bool) {
	deadline := ex.arrived + ex.class.Deadline()
	for {
		status, answer := ex.server.guard.ResolveRecord(ex.r.Context(), record)
		switch status {
		case idempotency.StatusDone:
			return ex.replay(answer), false
		case idempotency.StatusNotRun:
			ex.server.guard.ReleaseRecord(record)
			timer.Sleep(ex.r.Context(), duplicatePollInterval)
			return "", true
		case idempotency.StatusUnknown:
			return ex.answerProblem(unknownProblem(codeOutcomeUnknown, "an earlier copy of the request may or may not have run", ex.set.Fleet().RetryAfter())), false
		}
		if ex.server.timers.Now() > deadline || ex.r.Context().Err() != nil {
			return ex.answerProblem(unknownProblem(codeStillRunning, "an earlier copy of the request is still running", ex.set.Fleet().RetryAfter())), false
		}
		timer.Sleep(ex.r.Context(), duplicatePollInterval)
	}
}

func unknownProblem(code Code, message string, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusBadGateway, code: code, message: message, outcome: delivery.Unknown, retryAfter: retryAfter}
}

// replay answers with the stored answer of the first copy of the request.
func (ex *exchange) replay(a *wire.Answer) delivery.Outcome {
	ex.reason = "replayed"
	ex.target = a.GetTarget()
	if len(a.GetBody()) == 0 && a.GetContentType() == "" {
		return ex.answerProblem(&problem{
			status: http.StatusConflict, code: codeAnswerNotKept, outcome: delivery.Complete,
			message: "the request ran once and completed; its answer is not kept",
		})
	}
	ex.writeAnswer(a)
	return delivery.Complete
}

func (ex *exchange) writeAnswer(a *wire.Answer) {
	if setWriteTimeout(ex.w, ex.server.settings.Entry.CallerWriteTimeout) != nil {
		return // the caller has disconnected
	}
	h := ex.w.Header()
	if a.GetContentType() != "" {
		h.Set("Content-Type", a.GetContentType())
	}
	h.Set(headerTarget, a.GetTarget())
	h.Set(headerOutcome, string(delivery.Complete))
	h.Set("Content-Length", strconv.Itoa(len(a.GetBody())))
	ex.w.WriteHeader(int(a.GetStatus()))
	_, _ = ex.w.Write(a.GetBody()) // the caller may have disconnected
}

// answerProblem ends the exchange with a problem and returns its outcome.
func (ex *exchange) answerProblem(p *problem) delivery.Outcome {
	ex.reason = string(p.code)
	ex.server.metrics.Refusal(string(p.code))
	p.write(ex.w)
	return p.outcome
}

// outcomeAnswer is the answer to GET /outcomes/{key}.
type outcomeAnswer struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"`
	Status  int32  `json:"status,omitempty"`
	Body    string `json:"body,omitempty"`
}

// outcome serves the outcome of the request with a key.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	ex := s.begin(w, r)
	if ex == nil {
		return
	}
	defer s.closeRequest(ex.org)
	key := r.PathValue("key")
	status, answer := s.guard.Outcome(r.Context(), ex.recordKey(key))
	out := outcomeAnswer{Key: key, Outcome: statusNames[status]}
	if answer != nil {
		out.Status, out.Body = answer.GetStatus(), string(answer.GetBody())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may have disconnected
}

var statusNames = map[idempotency.AttemptStatus]string{
	idempotency.StatusUnknown: string(delivery.Unknown), idempotency.StatusRunning: "running",
	idempotency.StatusNotRun: string(delivery.NotRun), idempotency.StatusDone: string(delivery.Complete),
}
