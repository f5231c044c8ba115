package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/bodyread"
	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// maxBody bounds a request's body, in bytes, when the configuration does not.
	maxBody = 4 << 20
	// bodyTimeout bounds how long reading a request's body may take when the settings do not.
	bodyTimeout = 10 * time.Second
)

// accept checks the request's head against the limits and finds the route and the
// organisation. It reports false after a refusal.
func (req *request) accept() bool {
	if req.table == nil {
		return req.refuse(reasonNoConfig)
	}
	if int(req.server.open.Load()) > req.server.settings.MaxOpen {
		return req.refuse(reasonBusy)
	}
	if req.server.closing.Load() {
		return req.refuse(reasonStopping)
	}
	if !req.acceptTerms() {
		return false
	}
	if limit := req.table.Limits().HeaderBytes; limit > 0 && headSize(req.r) > limit {
		return req.refuse(reasonHeadTooLarge)
	}
	path, _, _ := strings.Cut(req.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return req.refuse(reasonMalformed)
	}
	found, ok := req.table.Match(req.r.Host, path)
	if !ok {
		return req.refuse(reasonNoRoute)
	}
	req.route = found
	if req.table.RequiresKeys() && !found.Public() {
		org, known := req.table.Organisation(req.caller.Key)
		if !known {
			return req.refuse(reasonNoKey)
		}
		req.org, req.orgRank = org.Name(), org.Rank()
	}
	if !req.acceptLastEvent() {
		return req.refuse(reasonLastEvent)
	}
	wait := found.Timeout()
	if req.caller.Budget > 0 {
		wait = min(wait, req.caller.Budget)
	}
	req.deadline = req.arrived + wait
	return true
}

// headSize estimates the size of a request's head in bytes.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the request's body into memory. It reports false after a refusal.
func (req *request) readBody() bool {
	limit := req.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	timeout := req.server.base.Settings.Limits.BodyTimeout
	if timeout <= 0 {
		timeout = bodyTimeout
	}
	var err error
	req.body, err = req.server.bodies.Read(req.w, req.r, limit, timeout)
	switch {
	case err == nil:
		return true
	case errors.Is(err, bodyread.ErrTooLarge):
		return req.refuse(reasonBodyTooLarge)
	case errors.Is(err, bodyread.ErrNoMemory):
		return req.refuse(reasonNoMemory)
	case errors.Is(err, bodyread.ErrTimeout):
		return req.refuse(reasonBodyTimeout)
	default:
		return req.refuse(reasonBodyBroken)
	}
}

// admit decides whether the request is worth starting. It reports false after a refusal.
func (req *request) admit() bool {
	req.service = req.route.Pick(req.server.randomFloat())
	outOfReach := req.server.outOfReach(req.service)
	if outOfReach && req.terms != nil {
		return req.refuse(reasonUnreachable)
	}
	if !outOfReach { // otherwise the instance that serves it does
		req.count()
	}
	if req.left() <= 0 {
		return req.refuse(reasonTooLate)
	}
	if req.route.Generation() && !req.queues() && req.server.atCapacity(req.service, req.tokens()) {
		return req.refuse(reasonCrowded)
	}
	if req.server.stopping.Load() && !req.endsInTime() {
		return req.refuse(reasonStopping)
	}
	return true
}

// count counts the request, once, for the retry budget of its service.
func (req *request) count() {
	if !req.counted {
		req.counted = true
		req.server.countRequest(req.service)
	}
}

// endsInTime reports whether the request will end before the stopping gateway does.
// Shortly after the stop begins, callers cannot know of it yet and new requests cannot reach
// the other instances any sooner, so it suffices that the request is likely to end in time.
// After likelyEndWindow this must be certain, and only the request's deadline bounds how long it
// waits at an engine.
func (req *request) endsInTime() bool {
	left := req.server.answerTimeLeft()
	if req.server.settings.StopGrace-stopMargin-answerMargin-left < likelyEndWindow {
		return req.likelyTime() <= left
	}
	return req.left() <= left
}

// likelyEndWindow is the time from the beginning of a stop during which a request is
// accepted if it is likely, though not certain, to end in time.
const likelyEndWindow = 2500 * time.Millisecond

const (
	// plainTime is how long a request to a plain service takes, with a margin.
	plainTime = time.Second
	// firstTokenTime is how long a generation takes until its first token, and tokenTime
	// from each token to the next.
	firstTokenTime = 800 * time.Millisecond
	tokenTime      = 9 * time.Millisecond
)

// likelyTime estimates how long the request will take.
func (req *request) likelyTime() time.Duration {
	if req.route.Kind() != route.Stream {
		return plainTime
	}
	return firstTokenTime + time.Duration(req.likelyOutput())*tokenTime
}
