package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// maxBody bounds a request's body when the configuration does not.
	maxBody = 4 << 20
	// bodyTime bounds how long a request's body may take.
	bodyTime = 10 * time.Second
)

// request is one request of a caller from arrival to outcome.
type request struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Duration

	caller  vanillaward.CallerRequest
	table   *route.Table
	route   *route.Route
	org     string
	orgRank int
	service string
	body    []byte
	until   time.Duration // when the caller, or the route, has waited long enough

	target   string // identity of the last target
	sent     int    // number of targets that it was sent to
	maybeRun bool   // a target may have run it
	stream   stream
	reason   reason
	status   int
	broken   bool // the caller's connection must end without the answer's end
}

// serve handles one request.
func (g *Server) serve(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &request{server: g, w: w, r: r, arrived: g.base.Timers.Now(), table: g.table.Load()}
	x.caller = g.dialect.ReadRequest(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	if x.accept() && x.read() && x.admit() {
		x.run()
	}
}

// accept finds the route and the organisation. It reports false after a refusal.
func (x *request) accept() bool {
	if x.table == nil {
		return x.refuse(reasonNoConfig)
	}
	if int(x.server.open.Load()) > x.server.settings.MaxOpen {
		return x.refuse(reasonBusy)
	}
	if limit := x.table.Limits().HeaderBytes; limit > 0 && headSize(x.r) > limit {
		return x.refuse(reasonHeadTooLarge)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return x.refuse(reasonMalformed)
	}
	found, ok := x.table.Match(x.r.Host, path)
	if !ok {
		return x.refuse(reasonNoRoute)
	}
	x.route = found
	if x.table.Keyed() && !found.Public() {
		org, known := x.table.Organisation(x.caller.Key)
		if !known {
			return x.refuse(reasonNoKey)
		}
		x.org, x.orgRank = org.Name(), org.Rank()
	}
	wait := found.Timeout()
	if x.caller.Budget > 0 {
		wait = min(wait, x.caller.Budget)
	}
	x.until = x.arrived + wait
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

// read takes the request's body.
func (x *request) read() bool {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if x.r.ContentLength > limit {
		return x.refuse(reasonBodyTooLarge)
	}
	if x.r.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		x.server.base.Log.Error(err, "the time of a body cannot be bounded", "request", x.caller.ID)
	}
	var err error
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(x.r.Body, x.body)
	} else {
		x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.refuse(reasonBodyTooLarge)
	case err != nil:
		return x.refuse(reasonBodyBroken)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.server.base.Log.Error(err, "the time of a body stays bounded", "request", x.caller.ID)
	}
	return true
}

// admit decides whether the request is worth starting.
func (x *request) admit() bool {
	x.service = x.route.Pick(x.server.draw())
	x.server.countRequest(x.service)
	if x.left() <= 0 {
		return x.refuse(reasonTooLate)
	}
	if x.route.Generation() && x.server.crowded(x.service, x.tokens()) {
		return x.refuse(reasonCrowded)
	}
	if x.server.stopping.Load() && !x.endsInTime() {
		return x.refuse(reasonStopping)
	}
	return true
}

// endsInTime reports whether the request will end before the stopping gateway does.
// Just after the stop, callers cannot know of it yet, and a likely end is enough: the
// other instances are not sent them sooner. Later, an end must be sure.
func (x *request) endsInTime() bool {
	left := x.server.servesFor()
	if x.server.settings.StopGrace-stopMargin-left < likelyFor {
		return x.likelyTime() <= left
	}
	return x.longestTime() <= left
}

// likelyFor is how long after the stop a request is served that likely ends in time.
const likelyFor = 2500 * time.Millisecond

const (
	// plainTime is how long a request takes that no engine runs, with room to spare.
	plainTime = time.Second
	// firstTime and tokenTime are how long a generation takes to its first token and
	// from each to the next.
	firstTime = 800 * time.Millisecond
	tokenTime = 9 * time.Millisecond
	// slowFirstTime and slowTokenTime are the same at an engine that is crowded.
	slowFirstTime = 2500 * time.Millisecond
	slowTokenTime = 20 * time.Millisecond
)

// likelyTime estimates how long the request will take.
func (x *request) likelyTime() time.Duration {
	if x.route.Kind() != route.Stream {
		return plainTime
	}
	return firstTime + time.Duration(x.likelyOutput())*tokenTime
}

// longestTime bounds how long the request will take.
func (x *request) longestTime() time.Duration {
	if x.route.Kind() != route.Stream {
		return min(x.left(), plainTime)
	}
	return min(x.left(), slowFirstTime+time.Duration(x.caller.LongestTokens)*slowTokenTime)
}

// left returns how long the caller will still wait.
func (x *request) left() time.Duration { return x.until - x.server.base.Timers.Now() }

// run sends the request to targets until one has answered or nothing more may be
// tried.
func (x *request) run() {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.left())
	defer cancel()
	var avoid []string
	for {
		a := x.attempt(ctx, avoid)
		switch a.outcome {
		case delivered:
			return
		case noTarget:
			x.giveUp(reasonNoTarget)
			return
		}
		avoid = append(avoid, a.target)
		again := x.again(ctx, a)
		x.server.base.Log.Info("attempt ended", "request", x.caller.ID, "target", a.target, "result", a.outcome.String(),
			"reason", string(a.reason), "status", a.status(), "again", again, "left-ms", x.left().Milliseconds())
		if !again {
			x.fail(ctx, a)
			return
		}
	}
}

const (
	// maxDials bounds the targets that are tried for one request, and dialTime how long
	// after its arrival another one is tried.
	maxDials = 12
	dialTime = 700 * time.Millisecond
)

// again reports whether the request may go to another target.
func (x *request) again(ctx context.Context, a attemptResult) bool {
	switch {
	case ctx.Err() != nil || x.left() <= 0:
		return false
	case a.outcome == notSent:
		return a.tried < maxDials && x.server.base.Timers.Now() < x.arrived+dialTime
	case x.sent >= x.route.Attempts():
		return false
	case a.outcome == notRun:
		return x.server.mayRepeat(x.service)
	default:
		return x.route.Kind() == route.Idempotent && x.server.mayRepeat(x.service)
	}
}

// fail ends a request that no target has answered.
func (x *request) fail(ctx context.Context, a attemptResult) {
	switch {
	case x.callerLeft():
		x.reason = reasonCallerLeft
	case a.kept != nil:
		a.kept.write(x)
	case !x.maybeRun:
		x.giveUp(a.reason)
	case ctx.Err() != nil || x.left() <= 0:
		x.refuse(reasonTimeout)
	default:
		x.refuse(reasonBroken)
	}
}

// giveUp refuses a request that has not run.
func (x *request) giveUp(why reason) {
	if x.maybeRun {
		x.refuse(reasonBroken)
		return
	}
	x.refuse(why)
}

// finish logs and counts the outcome.
func (x *request) finish() {
	g := x.server
	took := g.base.Timers.Now() - x.arrived
	name := ""
	if x.route != nil {
		name = x.route.Name()
		g.base.Metrics.Class(name, x.org).Update(took.Seconds())
	}
	g.base.Metrics.Outcome(name, string(x.reason))
	number := uint64(0)
	if x.table != nil {
		number = x.table.Number()
	}
	g.base.Log.Info("request", "request", x.caller.ID, "route", name, "organisation", x.org, "service", x.service,
		"target", x.target, "sent", x.sent, "maybe-run", x.maybeRun, "status", x.status, "events", x.stream.passed, "resumed", x.stream.resumed,
		"first-ms", x.stream.first.Milliseconds(), "longest-gap-ms", x.stream.gap.Milliseconds(),
		"outcome", string(x.reason), "configuration", number, "budget-ms", x.caller.Budget.Milliseconds(),
		"took-ms", took.Milliseconds())
	if x.broken {
		panic(http.ErrAbortHandler) // net/http ends the connection without the answer's end
	}
}
