package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward/internal/delivery"
)

// Names of headers.
const (
	headerClass      = "Vanillaward-Class"
	headerOutcome    = "Vanillaward-Outcome"
	headerRequestID  = "Vanillaward-Request-Id"
	headerTarget     = "Vanillaward-Target"
	headerInstance   = "Vanillaward-Instance"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

// Code identifies a problem for programs.
type Code string

// Codes of problems.
const (
	codeMalformed     Code = "malformed_json"
	codeInvalid       Code = "invalid_request"
	codeTooLarge      Code = "body_too_large"
	codeNoKey         Code = "invalid_api_key"
	codeNoModel       Code = "model_not_found"
	codeNoService     Code = "service_not_found"
	codeNoClass       Code = "class_not_found"
	codeKeyReused     Code = "idempotency_key_reused"
	codeKeepers       Code = "records_unavailable"
	codeStopping      Code = "instance_stopping"
	codeNoConfig      Code = "no_configuration"
	codeOpenLimit     Code = "too_many_open_requests"
	codeMemory        Code = "memory_bound"
	codeTargetFailed  Code = "target_failed"
	codeAnswerTooLong Code = "answer_over_bound"
	codeDiverged      Code = "second_run_differs"
	codeCallerGone    Code = "caller_gone"
	codeUnknown       Code = "outcome_unknown"
	codeStillRunning  Code = "still_running"
	codeAnswerNotKept Code = "answer_not_kept"
)

// problem is an answer other than the requested one.
type problem struct {
	status     int
	code       Code
	message    string
	outcome    delivery.Outcome
	retryAfter time.Duration
	tokens     int // tokens that the caller has, for an incomplete stream
}

// refusal is a problem of a request that provably did not run.
func refusal(status int, code Code, message string, retryAfter time.Duration) *problem {
	return &problem{status: status, code: code, message: message, outcome: delivery.NotRun, retryAfter: retryAfter}
}

// problemBody is the OpenAI error shape with the outcome added.
type problemBody struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Message           string `json:"message"`
	Type              string `json:"type"`
	Param             any    `json:"param"`
	Code              Code   `json:"code"`
	Outcome           string `json:"outcome"`
	Tokens            int    `json:"tokens,omitempty"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

func (p *problem) body() []byte {
	kind := "server_error"
	if p.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	detail := problemDetail{
		Message: p.message, Type: kind, Code: p.code, Outcome: string(p.outcome), Tokens: p.tokens,
		RetryAfterSeconds: p.retrySeconds(),
	}
	data, err := json.Marshal(problemBody{detail})
	if err != nil {
		return []byte(`{"error":{}}`) // strings and numbers always encode
	}
	return data
}

// retrySeconds rounds up, since the header has whole seconds.
func (p *problem) retrySeconds() int {
	if p.retryAfter <= 0 {
		return 0
	}
	return int((p.retryAfter + time.Second - 1) / time.Second)
}

// write answers with the problem before anything else was written.
func (p *problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(p.outcome))
	if seconds := p.retrySeconds(); seconds > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body()) // the caller may be gone
}
