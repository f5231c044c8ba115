// Package handover is how an instance that has lost its targets has requests served by other
// instances: what the two tell each other about a request, and which instance is asked. Neither
// uses clocks nor sockets.
package handover

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Headers between two instances. A request that is handed over is the caller's own, with
// headerTerms; its answer is the one for the caller, with the others.
const (
	headerTerms   = "Vanillaward-Handover"
	headerRequest = "Vanillaward-Handover-Request"
	headerOutcome = "Vanillaward-Handover-Outcome"
	headerReason  = "Vanillaward-Handover-Reason"
	headerTarget  = "Vanillaward-Handover-Target"
)

// Names in headerTerms.
const (
	termConfiguration = "configuration"
	termSent          = "sent"
	termCounted       = "counted"
)

// ErrNoTerms means that a request has not been handed over, or not in a form that can be read.
var ErrNoTerms = errors.New("request bears no terms of a handover")

// Terms are what the instance that serves a request must know of its way there.
type Terms struct {
	configuration uint64
	sent          int
	counted       bool
}

// NewTerms returns the terms of a request that was accepted by the given configuration and has
// been sent to a number of targets. Counted tells that the retry budget has it among its requests.
func NewTerms(configuration uint64, sent int, counted bool) Terms {
	return Terms{configuration: configuration, sent: sent, counted: counted}
}

// Configuration returns the number of the configuration by which the request was accepted.
func (t Terms) Configuration() uint64 { return t.configuration }

// Sent returns the number of targets that the request was sent to before.
func (t Terms) Sent() int { return t.sent }

// Counted reports whether a retry budget has the request among its requests already.
func (t Terms) Counted() bool { return t.counted }

// Set adds the terms to the headers of a request.
func (t Terms) Set(h http.Header) {
	h.Set(headerTerms, termConfiguration+"="+strconv.FormatUint(t.configuration, 10)+
		", "+termSent+"="+strconv.Itoa(t.sent)+", "+termCounted+"="+strconv.FormatBool(t.counted))
}

// ReadTerms reads the terms of a request, and removes them from its headers. The error matches
// ErrNoTerms.
func ReadTerms(h http.Header) (Terms, error) {
	text := h.Get(headerTerms)
	h.Del(headerTerms)
	values := map[string]string{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		values[name] = value
	}
	configuration, err := strconv.ParseUint(values[termConfiguration], 10, 64)
	if err != nil {
		return Terms{}, errors.Wrap(ErrNoTerms, termConfiguration)
	}
	sent, err := strconv.ParseUint(values[termSent], 10, 31)
	if err != nil {
		return Terms{}, errors.Wrap(ErrNoTerms, termSent)
	}
	counted, err := strconv.ParseBool(values[termCounted])
	if err != nil {
		return Terms{}, errors.Wrap(ErrNoTerms, termCounted)
	}
	return Terms{configuration: configuration, sent: int(sent), counted: counted}, nil
}

// Outcome is what became of a request that was handed over.
type Outcome string

// Outcomes.
const (
	// Answered means that the answer is for the caller as it is.
	Answered Outcome = "answered"
	// Declined means that the request has not been sent to any target, and another instance may
	// serve it.
	Declined Outcome = "declined"
)

// Answer is what an answer to a request that was handed over tells beside the answer for the caller.
type Answer struct {
	request string
	outcome Outcome
	reason  string
	target  string
}

// NewAnswer returns what is told of a request: its outcome, the reason for the end of the request,
// and the last target, empty for none.
func NewAnswer(request string, outcome Outcome, reason, target string) Answer {
	return Answer{request: request, outcome: outcome, reason: reason, target: target}
}

// Request returns the name of the request that the answer belongs to, empty if it tells none.
func (a Answer) Request() string { return a.request }

// Outcome returns what became of the request.
func (a Answer) Outcome() Outcome { return a.outcome }

// Reason returns why a request was refused, empty for an answer of a target.
func (a Answer) Reason() string { return a.reason }

// Target returns the identity of the target that answered, empty for none.
func (a Answer) Target() string { return a.target }

// Set adds what is told to the headers of an answer, in place of what they hold.
func (a Answer) Set(h http.Header) {
	for name, value := range map[string]string{headerRequest: a.request, headerOutcome: string(a.outcome), headerReason: a.reason, headerTarget: a.target} {
		h.Del(name)
		if value != "" {
			h.Set(name, value)
		}
	}
}

// ReadAnswer reads what the headers of an answer tell.
func ReadAnswer(h http.Header) Answer {
	return Answer{request: h.Get(headerRequest), outcome: Outcome(h.Get(headerOutcome)), reason: h.Get(headerReason), target: h.Get(headerTarget)}
}

// Strip removes what is told between instances from the headers of an answer.
func Strip(h http.Header) {
	for _, name := range []string{headerRequest, headerOutcome, headerReason, headerTarget} {
		h.Del(name)
	}
}
