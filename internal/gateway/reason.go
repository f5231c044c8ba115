package gateway

import (
	"net/http"
	"time"
)

// reason tells how a request ended, for logs, metrics and the caller.
type reason string

// How requests end.
const (
	reasonComplete     reason = "complete"
	reasonTargetFailed reason = "target-failed"
	reasonCallerLeft   reason = "caller-left"
	reasonCutOff       reason = "cut-off" // an answer ended midway
	reasonTimeout      reason = "timeout"
	reasonBroken       reason = "broken" // a target broke off; the request may have run

	reasonNoConfig     reason = "no-configuration"
	reasonBusy         reason = "too-many-open"
	reasonHeadTooLarge reason = "head-too-large"
	reasonMalformed    reason = "malformed"
	reasonNoRoute      reason = "no-route"
	reasonNoKey        reason = "unknown-key"
	reasonBodyTooLarge reason = "body-too-large"
	reasonBodyBroken   reason = "body-broken"
	reasonTooLate      reason = "too-late"
	reasonStopping     reason = "stopping"
	reasonNoTarget     reason = "no-target"
	reasonUnreachable  reason = "unreachable"
	reasonFull         reason = "full"
	reasonCrowded      reason = "crowded" // no engine has memory for it
	reasonMisdirected  reason = "misdirected"
)

// refusal is what a caller is answered when no target has.
type refusal struct {
	status int
	// after is when the caller should come back; 0 when that would not help.
	after time.Duration
	// closing ends the caller's connection.
	closing bool
}

var refusals = map[reason]refusal{
	reasonTimeout:      {status: http.StatusGatewayTimeout},
	reasonBroken:       {status: http.StatusBadGateway},
	reasonNoConfig:     {status: http.StatusServiceUnavailable, after: 700 * time.Millisecond, closing: true},
	reasonBusy:         {status: http.StatusServiceUnavailable, after: 300 * time.Millisecond, closing: true},
	reasonHeadTooLarge: {status: http.StatusRequestHeaderFieldsTooLarge, closing: true},
	reasonMalformed:    {status: http.StatusBadRequest, closing: true},
	reasonNoRoute:      {status: http.StatusNotFound},
	reasonNoKey:        {status: http.StatusUnauthorized},
	reasonBodyTooLarge: {status: http.StatusRequestEntityTooLarge, closing: true},
	reasonBodyBroken:   {status: http.StatusBadRequest, closing: true},
	reasonTooLate:      {status: http.StatusServiceUnavailable},
	reasonStopping:     {status: http.StatusServiceUnavailable, after: 400 * time.Millisecond, closing: true},
	reasonNoTarget:     {status: http.StatusServiceUnavailable, after: 400 * time.Millisecond},
	reasonUnreachable:  {status: http.StatusServiceUnavailable, after: 150 * time.Millisecond},
	reasonFull:         {status: http.StatusServiceUnavailable, after: 150 * time.Millisecond},
	reasonCrowded:      {status: http.StatusServiceUnavailable, after: 800 * time.Millisecond},
	reasonMisdirected:  {status: http.StatusServiceUnavailable, after: 50 * time.Millisecond},
}

// refuse answers the request without a target's answer. It returns false for the
// benefit of its callers.
func (x *request) refuse(why reason) bool {
	answer := refusals[why]
	x.reason, x.status = why, answer.status
	h := x.w.Header()
	if answer.after > 0 {
		x.server.dialect.SetRetryAfter(h, answer.after)
	}
	if answer.closing {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(answer.status)
	_, _ = x.w.Write([]byte(string(why) + "\n")) // the caller may have left
	return false
}
