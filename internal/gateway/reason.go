package gateway

import (
	"net/http"
	"time"
)

// reason states how a request ended, for logs, metrics and the caller.
type reason string

// Reasons for the end of a request.
const (
	reasonComplete     reason = "complete"
	reasonTargetFailed reason = "target-failed"
	reasonCallerLeft   reason = "caller-left"
	reasonCutOff       reason = "cut-off"     // an answer was truncated
	reasonOverBudget   reason = "over-budget" // an answer was truncated whose run the retry budget did not allow to resume
	reasonTimeout      reason = "timeout"
	reasonBroken       reason = "broken" // a target failed before the end of its answer; the request may have run

	reasonNoConfig     reason = "no-configuration"
	reasonBusy         reason = "too-many-open" // the gateway serves MaxOpen requests
	reasonHeadTooLarge reason = "head-too-large"
	reasonMalformed    reason = "malformed"
	reasonNoRoute      reason = "no-route"
	reasonNoKey        reason = "unknown-key"
	reasonLastEvent    reason = "invalid-last-event" // on a route whose streams can be continued
	reasonBodyTooLarge reason = "body-too-large"
	reasonBodyBroken   reason = "body-broken"
	reasonNoMemory     reason = "no-memory"    // the memory for bodies was needed for others
	reasonBodyTimeout  reason = "body-timeout" // the body did not arrive in time
	reasonTooLate      reason = "too-late"     // the deadline passed before the first attempt
	reasonStopping     reason = "stopping"     // the request might not end before the gateway stops
	reasonNoTarget     reason = "no-target"
	reasonEvacuated    reason = "evacuated"         // the failure domains of all targets are evacuated
	reasonUnreachable  reason = "unreachable"       // no connection to the last target could be made
	reasonFull         reason = "full"              // the last target stated that it did not run the request
	reasonTargetsWait  reason = "targets-wait"      // all targets asked to get no requests for a time
	reasonCrowded      reason = "crowded"           // no engine has enough free memory
	reasonQueueTimeout reason = "queue-timeout"     // no engine has capacity before the deadline
	reasonPartHeldBack reason = "part-held-back"    // engines crash on a part of the prompt
	reasonHeldBack     reason = "request-held-back" // targets crash on the request
	reasonBehind       reason = "behind"            // the request was accepted by a newer configuration, at another instance
	reasonMisdirected  reason = "misdirected"       // another target answered at the address of the last one
)

// refusal is the answer to a caller whose request no target has answered.
type refusal struct {
	status int
	// retryAfter is how long the caller should wait before it retries; 0 sets no header,
	// because a retry would not help.
	retryAfter time.Duration
	// closing is true when the caller's connection is closed after the answer.
	closing bool
}

var refusals = map[reason]refusal{
	reasonTimeout:      {status: http.StatusGatewayTimeout},
	reasonBroken:       {status: http.StatusBadGateway},
	reasonNoConfig:     {status: http.StatusServiceUnavailable, retryAfter: 700 * time.Millisecond, closing: true},
	reasonBusy:         {status: http.StatusServiceUnavailable, retryAfter: 300 * time.Millisecond, closing: true},
	reasonHeadTooLarge: {status: http.StatusRequestHeaderFieldsTooLarge, closing: true},
	reasonMalformed:    {status: http.StatusBadRequest, closing: true},
	reasonNoRoute:      {status: http.StatusNotFound},
	reasonNoKey:        {status: http.StatusUnauthorized},
	reasonLastEvent:    {status: http.StatusBadRequest},
	reasonBodyTooLarge: {status: http.StatusRequestEntityTooLarge, closing: true},
	reasonBodyBroken:   {status: http.StatusBadRequest, closing: true},
	reasonNoMemory:     {status: http.StatusServiceUnavailable, retryAfter: 500 * time.Millisecond, closing: true},
	reasonBodyTimeout:  {status: http.StatusRequestTimeout, retryAfter: 500 * time.Millisecond, closing: true},
	reasonTooLate:      {status: http.StatusServiceUnavailable},
	reasonStopping:     {status: http.StatusServiceUnavailable, retryAfter: 400 * time.Millisecond, closing: true},
	reasonNoTarget:     {status: http.StatusServiceUnavailable, retryAfter: 400 * time.Millisecond},
	reasonEvacuated:    {status: http.StatusServiceUnavailable, retryAfter: time.Second},
	reasonUnreachable:  {status: http.StatusServiceUnavailable, retryAfter: 150 * time.Millisecond},
	reasonFull:         {status: http.StatusServiceUnavailable, retryAfter: 150 * time.Millisecond},
	reasonTargetsWait:  {status: http.StatusServiceUnavailable, retryAfter: 150 * time.Millisecond},
	reasonCrowded:      {status: http.StatusServiceUnavailable, retryAfter: 800 * time.Millisecond},
	reasonQueueTimeout: {status: http.StatusServiceUnavailable, retryAfter: 800 * time.Millisecond},
	reasonPartHeldBack: {status: http.StatusServiceUnavailable, retryAfter: 10 * time.Second},
	reasonHeldBack:     {status: http.StatusServiceUnavailable, retryAfter: 10 * time.Second},
	reasonBehind:       {status: http.StatusServiceUnavailable, retryAfter: 150 * time.Millisecond},
	reasonMisdirected:  {status: http.StatusServiceUnavailable, retryAfter: 50 * time.Millisecond},
}

// refuse answers the request with the refusal for a reason. It always returns false, so
// that functions which report whether to continue can return its result.
func (req *request) refuse(why reason) bool {
	if req.stream.headSent { // the caller has a part of the answer
		req.abortAnswer()
		return false
	}
	answer := refusals[why]
	req.reason, req.status = why, answer.status
	h := req.w.Header()
	if after := max(answer.retryAfter, req.comeBack); after > 0 {
		req.server.dialect.SetRetryAfter(h, after)
	}
	if answer.closing {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	req.markTakenOver(why)
	req.extendWrite()
	req.w.WriteHeader(answer.status)
	_, _ = req.w.Write([]byte(string(why) + "\n")) // fails only if the caller has disconnected
	return false
}
