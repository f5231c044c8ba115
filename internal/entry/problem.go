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
	headerClass          = "Vanillaward-Class"
	headerOutcome        = "Vanillaward-Outcome"
	headerRequestID      = "Vanillaward-Request-Id"
	headerTarget         = "Vanillaward-Target"
	headerInstance       = "Vanillaward-Instance"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

// Code identifies a problem for programs.
type Code string

// Codes of problems.
const (
	codeMalformed            Code = "malformed_json"
	codeInvalid              Code = "invalid_request"
	codeTooLarge             Code = "body_too_large"
	codeNoMemory             Code = "no_body_memory"
	codeBodyTimeout          Code = "body_timeout"
	codeInvalidAPIKey        Code = "invalid_api_key"
	codeNoModel              Code = "model_not_found"
	codeNoService            Code = "service_not_found"
	codeNoClass              Code = "class_not_found"
	codeIdempotencyKeyReused Code = "idempotency_key_reused"
	codeRecordsUnavailable   Code = "records_unavailable"
	codeStopping             Code = "instance_stopping"
	codeNoConfig             Code = "no_configuration"
	codeOpenLimit            Code = "too_many_open_requests"
	codeMemoryBound          Code = "memory_bound"
	codePromptHeldBack       Code = "prompt_held_back"
	codeRequestHeldBack      Code = "request_held_back"
	codeTargetFailed         Code = "target_failed"
	codeAnswerTooLong        Code = "answer_over_bound"
	codeDiverged             Code = "second_run_differs"
	codeCallerGone           Code = "caller_gone"
	codeOutcomeUnknown       Code = "outcome_unknown"
	codeStillRunning         Code = "still_running"
	codeAnswerNotKept        Code = "answer_not_kept"
)

// problem is an error answer to a caller.
type problem struct {
	status     int
	code       Code
	message    string
	outcome    delivery.Outcome
	retryAfter time.Duration
	tokens     int // tokens that the caller has received, for an incomplete stream
}

// refusal returns the problem for a request that provably did not run.
func refusal(status int, code Code, message string, retryAfter time.Duration) *problem {
	return &problem{status: status, code: code, message: message, outcome: delivery.NotRun, retryAfter: retryAfter}
}

// problemBody is the OpenAI error object with the outcome added.
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
		return []byte(`{"error":{}}`) // strings and numbers can always be encoded
	}
	return data
}

// retrySeconds returns the retry delay in seconds, rounded up because the header
// holds whole seconds.
func (p *problem) retrySeconds() int {
	if p.retryAfter <= 0 {
		return 0
	}
	return int((p.retryAfter + time.Second - 1) / time.Second)
}

// write sends the problem as the complete answer. Nothing else may have been
// written before.
func (p *problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(p.outcome))
	if seconds := p.retrySeconds(); seconds > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body()) // the caller may have disconnected
}
