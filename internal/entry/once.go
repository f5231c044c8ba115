package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/once"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// followInterval is how often a duplicate asks for the first one's outcome.
	followInterval = 200 * time.Millisecond
	// maxClaims bounds the claims of one request after attempts that did not run.
	maxClaims = 3
	// maxKeyBytes bounds a caller's idempotency key.
	maxKeyBytes = 256
)

// recordKey is a caller's key among those of all organisations. The part that
// names the home failure domain stays in front.
func (x *exchange) recordKey(key string) string { return key + "|" + x.org.Name() }

// runOnce runs a non-idempotent request at most once across all instances. The
// run is not cancelled when the caller leaves: its outcome is kept for a resend.
func (x *exchange) runOnce(content []byte, run func(context.Context) (delivery.Outcome, *wire.Answer)) delivery.Outcome {
	key := x.r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return x.answer(refusal(http.StatusBadRequest, codeInvalid, "the idempotency key is too long", 0))
	}
	if key == "" {
		key = x.server.guard.MintKey()
	}
	x.key = x.recordKey(key)
	x.w.Header().Set(headerKey, key)
	for range maxClaims {
		claim := x.server.guard.Claim(x.r.Context(), x.key, content)
		switch claim.Ruling {
		case keeper.Granted:
			return x.runClaimed(claim.Attempt, run)
		case keeper.Mismatch:
			return x.answer(refusal(http.StatusUnprocessableEntity, codeKeyReused, "the idempotency key stands for another request", 0))
		case keeper.Held:
			outcome, again := x.follow(claim.Record)
			if !again {
				return outcome
			}
		default:
			return x.answer(refusal(http.StatusServiceUnavailable, codeKeepers, "the records of the request's home failure domain cannot be reached", x.set.Fleet().RetryAfter()))
		}
	}
	return x.answer(refusal(http.StatusServiceUnavailable, codeKeepers, "other attempts at the request ended without running", x.set.Fleet().RetryAfter()))
}

func (x *exchange) runClaimed(attempt *once.Attempt, run func(context.Context) (delivery.Outcome, *wire.Answer)) delivery.Outcome {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
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

// follow answers a duplicate with the first one's outcome. It reports whether
// the request may be claimed again, because the first one did not run.
func (x *exchange) follow(record *wire.Record) (outcome delivery.Outcome, again bool) {
	deadline := x.arrived + x.class.Deadline()
	for {
		fate, answer := x.server.guard.Follow(x.r.Context(), record)
		switch fate {
		case once.FateDone:
			return x.replay(answer), false
		case once.FateNotRun:
			x.server.guard.ReleaseRecord(record)
			sleep(x.r.Context(), followInterval)
			return "", true
		case once.FateUnknown:
			return x.answer(unknownProblem(codeUnknown, "an earlier copy of the request may or may not have run", x.set.Fleet().RetryAfter())), false
		}
		if x.server.timers.Now() > deadline || x.r.Context().Err() != nil {
			return x.answer(unknownProblem(codeStillRunning, "an earlier copy of the request is still running", x.set.Fleet().RetryAfter())), false
		}
		sleep(x.r.Context(), followInterval)
	}
}

func unknownProblem(code Code, message string, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusBadGateway, code: code, message: message, outcome: delivery.Unknown, retryAfter: retryAfter}
}

// replay answers with the kept answer of the first copy of the request.
func (x *exchange) replay(a *wire.Answer) delivery.Outcome {
	x.reason = "replayed"
	x.target = a.GetTarget()
	if len(a.GetBody()) == 0 && a.GetContentType() == "" {
		return x.answer(&problem{
			status: http.StatusConflict, code: codeAnswerNotKept, outcome: delivery.Complete,
			message: "the request ran once and completed; its answer is not kept",
		})
	}
	x.writeAnswer(a)
	return delivery.Complete
}

func (x *exchange) writeAnswer(a *wire.Answer) {
	if boundWrite(x.w, x.server.settings.Entry.CallerWrite) != nil {
		return // the caller is gone
	}
	h := x.w.Header()
	if a.GetContentType() != "" {
		h.Set("Content-Type", a.GetContentType())
	}
	h.Set(headerTarget, a.GetTarget())
	h.Set(headerOutcome, string(delivery.Complete))
	h.Set("Content-Length", strconv.Itoa(len(a.GetBody())))
	x.w.WriteHeader(int(a.GetStatus()))
	_, _ = x.w.Write(a.GetBody()) // the caller may be gone
}

// answer ends the exchange with a problem.
func (x *exchange) answer(p *problem) delivery.Outcome {
	x.reason = string(p.code)
	x.server.metrics.Refusal(string(p.code))
	p.write(x.w)
	return p.outcome
}

// outcomeAnswer is the answer to GET /outcomes/{key}.
type outcomeAnswer struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"`
	Status  int32  `json:"status,omitempty"`
	Body    string `json:"body,omitempty"`
}

// outcome tells what became of the request with a key.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	x := s.begin(w, r)
	if x == nil {
		return
	}
	defer s.leave(x.org)
	key := r.PathValue("key")
	fate, answer := s.guard.Outcome(r.Context(), x.recordKey(key))
	out := outcomeAnswer{Key: key, Outcome: fateNames[fate]}
	if answer != nil {
		out.Status, out.Body = answer.GetStatus(), string(answer.GetBody())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may be gone
}

var fateNames = map[once.Fate]string{
	once.FateUnknown: string(delivery.Unknown), once.FateRunning: "running",
	once.FateNotRun: string(delivery.NotRun), once.FateDone: string(delivery.Complete),
}
