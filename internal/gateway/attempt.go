package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

const (
	// maxHeld bounds the part of an answer that is held until it is whole. A
	// longer answer is passed on as it comes.
	maxHeld = 256 << 10
	// patience is the part of the time left, as a divisor, that an attempt may
	// take when another one may follow.
	patience = 2
	// leastPatience is the least time of an attempt that another may follow.
	leastPatience = 200 * time.Millisecond
	// urgencyBase leaves room for requests that go before callers' requests.
	urgencyBase = 2
	// maxUrgency is the last rank that engines know.
	maxUrgency = 9
)

// outcome is how an attempt ended.
type outcome int

const (
	// delivered means that the caller has an answer, or has left it.
	delivered outcome = iota
	// noTarget means that there is none to try.
	noTarget
	// notSent means that no connection could be made.
	notSent
	// notRun means that the target stated that it did not run the request.
	notRun
	// failed means that the target may have run the request.
	failed
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"delivered", "no-target", "not-sent", "not-run", "failed"}[o]
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome outcome
	target  string
	reason  reason
	tried   int
	// kept is a whole answer of failure, which the caller gets when no other
	// attempt follows.
	kept *answer
}

// status returns the status of a whole answer of failure, or 0.
func (a *attemptResult) status() int {
	if a.kept == nil {
		return 0
	}
	return a.kept.status
}

// answer is a whole answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one target.
func (x *request) attempt(ctx context.Context, avoid []string) attemptResult {
	t, state := x.server.begin(x.service, x.tokens(), avoid)
	if t == nil {
		return attemptResult{outcome: noTarget}
	}
	if x.route.Generation() {
		x.noteChoice(t, state)
	}
	x.target = t.ID()
	result := attemptResult{target: t.ID(), tried: len(avoid) + 1}
	conn, err := x.server.pool.Get(ctx, t.ID(), t.Address())
	if err != nil {
		x.endUnreached(t, err)
		result.outcome, result.reason = notSent, reasonUnreachable
		return result
	}
	x.sent++
	attemptContext, cancel := x.boundAttempt(ctx)
	defer cancel()
	defer conn.CloseWith(attemptContext)()
	x.startRun(ctx, t)
	defer x.endRun()
	got := x.exchange(attemptContext, t, conn, &result)
	x.server.end(t, x.tokens(), got)
	if result.outcome == failed {
		x.maybeRun = true
	}
	return result
}

// noteChoice logs what an engine was chosen by. For plain services the request's own
// line says enough.
func (x *request) noteChoice(t *balance.Target, s balance.State) {
	x.server.base.Log.Info("engine chosen", "request", x.caller.ID, "target", t.ID(), "failure-domain", t.Domain(), "tokens", x.tokens(),
		"report", s.Known, "report-age-ms", s.ReportAge.Milliseconds(), "memory-percent", int(100*s.Memory), "waiting", s.Waiting,
		"prefilling", s.Prefilling)
}

// endUnreached ends an attempt without a connection. When the caller left or the
// time ran out meanwhile, that tells nothing about the target.
func (x *request) endUnreached(t *balance.Target, err error) {
	got := balance.Unreachable
	if x.r.Context().Err() != nil {
		got = balance.Abandoned
	}
	x.server.end(t, x.tokens(), got)
	x.note("target not reached", t, err)
}

// boundAttempt leaves time for another attempt where one may follow.
func (x *request) boundAttempt(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind() != route.Idempotent || x.sent >= x.route.Attempts() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(leastPatience, x.left()/patience))
}

// exchange sends the request and handles the answer.
func (x *request) exchange(ctx context.Context, t *balance.Target, conn *upstream.Conn, result *attemptResult) balance.Result {
	result.outcome, result.reason = failed, reasonBroken
	if err := conn.Send(x.outgoing(t, x.stream.run, nil)); err != nil {
		conn.Close()
		return x.broke(ctx, "request not sent whole", t, err)
	}
	x.server.prefill(t, x.caller.PromptTokens)
	response, err := conn.Answer(x.r.Method, x.belongs) //nolint:bodyclose // closing the connection or reading to the end releases it
	x.server.prefill(t, -x.caller.PromptTokens)
	if err != nil {
		conn.Close()
		got := x.broke(ctx, "no answer", t, err)
		if x.goOn(ctx, nil) {
			result.outcome = delivered
		}
		return got
	}
	said := x.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	if response.Close && framed(response) {
		x.noteClosing(t)
	}
	if said.NotRun {
		return x.turnedAway(t, conn, response, said, result)
	}
	if x.route.Kind() == route.Stream && response.StatusCode == http.StatusOK {
		result.outcome = delivered
		return x.relay(ctx, t, conn, response, said)
	}
	return x.hold(ctx, t, conn, response, said, result)
}

// belongs reports whether an answer is the one to this request. An answer without
// a request's identity is taken for it: the connection carries one at a time.
func (x *request) belongs(response *http.Response) bool {
	id := x.server.dialect.ReadAnswer(response.StatusCode, response.Header).RequestID
	return id == "" || id == x.caller.ID
}

// broke notes an attempt without a whole answer.
func (x *request) broke(ctx context.Context, what string, t *balance.Target, err error) balance.Result {
	x.note(what, t, err)
	if x.r.Context().Err() != nil {
		return balance.Abandoned
	}
	if ctx.Err() != nil && x.route.Kind() == route.Stream {
		return balance.Abandoned // the time of a long stream tells nothing
	}
	return balance.Failed
}

func (x *request) note(what string, t *balance.Target, err error) {
	x.server.base.Log.Info(what, "request", x.caller.ID, "target", t.ID(), "address", t.Address(),
		"reason", err.Error(), "open-there", t.Open(), "took-ms", (x.server.base.Timers.Now() - x.arrived).Milliseconds())
}

// noteClosing is called when a target ends a connection that could be kept. An engine
// that does so mostly leaves; a plain service does it now and then.
func (x *request) noteClosing(t *balance.Target) {
	if !x.route.Generation() {
		return
	}
	x.server.base.Log.Info("engine ends a connection and is taken for leaving", "request", x.caller.ID, "target", t.ID())
	x.server.suspect(t)
}

// turnedAway handles a target's statement that it did not run the request.
func (x *request) turnedAway(t *balance.Target, conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer, result *attemptResult) balance.Result {
	result.outcome, result.reason = notRun, reasonFull
	got := balance.Full
	if said.OtherTarget {
		result.reason, got = reasonMisdirected, balance.Misdirected
	}
	x.server.base.Log.Info("target did not run the request", "request", x.caller.ID, "target", t.ID(), "status", response.StatusCode, "open-there", t.Open())
	if _, err := io.CopyN(io.Discard, response.Body, maxHeld); errors.Is(err, io.EOF) && !said.Closing && !response.Close && !said.OtherTarget {
		x.server.pool.Put(conn, said.KeepFor)
		return got
	}
	conn.Close()
	return got
}

// hold reads an answer whole before the caller gets any of it, so that a broken
// one can be told from a whole one.
func (x *request) hold(ctx context.Context, t *balance.Target, conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer, result *attemptResult) balance.Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHeld+1))
	if err != nil {
		conn.Close()
		return x.broke(ctx, "answer broke off", t, err)
	}
	if len(body) > maxHeld {
		return x.pass(ctx, t, conn, response, said, body, result)
	}
	x.release(conn, response, said)
	held := &answer{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		x.maybeRun = true
		if refusesRun(response.StatusCode) {
			return balance.Failed // the status would promise what the target did not
		}
		result.kept, result.reason = held, reasonTargetFailed
		return balance.Failed
	}
	if refusesRun(response.StatusCode) {
		return balance.Failed
	}
	held.write(x)
	result.outcome = delivered
	return balance.Served
}

// refusesRun reports whether a status tells callers that the request has not run.
func refusesRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// release keeps the connection for another request, or closes it.
func (x *request) release(conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer) {
	if response.Close || said.Closing {
		conn.Close()
		return
	}
	x.server.pool.Put(conn, said.KeepFor)
}

// pass gives the caller an answer that is too long to be held, as it comes.
func (x *request) pass(ctx context.Context, t *balance.Target, conn *upstream.Conn, response *http.Response, said vanillaward.TargetAnswer, first []byte, result *attemptResult) balance.Result {
	result.outcome = delivered
	x.copyHeader(response.Header)
	if response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	}
	x.w.WriteHeader(response.StatusCode)
	x.status = response.StatusCode
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, response.Body)
	}
	if err != nil {
		conn.Close()
		x.cutOff()
		return x.broke(ctx, "long answer broke off", t, err)
	}
	x.reason = reasonComplete
	x.release(conn, response, said)
	return balance.Served
}

// cutOff makes sure that an answer which ended midway does not look whole.
func (x *request) cutOff() {
	x.reason = reasonCutOff
	if x.callerLeft() {
		x.reason = reasonCallerLeft
	}
	x.broken = true
}

// callerLeft reports whether the caller has closed its connection. When a stopping
// gateway ends, it closes them itself.
func (x *request) callerLeft() bool {
	ended := x.server.stopping.Load() && x.server.servesFor() <= 0
	return x.r.Context().Err() != nil && !ended
}

// write gives the caller a held answer.
func (a *answer) write(x *request) {
	x.copyHeader(a.header)
	x.w.WriteHeader(a.status)
	x.status, x.reason = a.status, reasonComplete
	if a.status >= http.StatusInternalServerError {
		x.reason = reasonTargetFailed
	}
	if _, err := x.w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.reason = reasonCallerLeft
	}
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// dropConnectionHeaders removes what concerns one connection, and what the header
// Connection names.
func dropConnectionHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// copyHeader gives the caller the target's headers.
func (x *request) copyHeader(h http.Header) {
	closing := x.w.Header().Get("Connection")
	from := h.Clone()
	dropConnectionHeaders(from)
	to := x.w.Header()
	for name, values := range from {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // net/http would guess one
	}
}

// outgoing returns the request as the target gets it.
func (x *request) outgoing(t *balance.Target, r *run, resume *vanillaward.Resume) *upstream.Request {
	h := x.r.Header.Clone()
	dropConnectionHeaders(h)
	h.Del("Expect")
	x.server.dialect.Forward(h, vanillaward.Forwarding{
		Left: max(time.Millisecond, x.left()), Target: t.ID(), Organisation: x.org,
		Urgency: x.urgency(), Generation: x.route.Generation(), Backup: x.server.backupAddress(r), Resume: resume,
	})
	return &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		HasBody: len(x.body) > 0 || x.r.ContentLength == 0 && x.r.Header.Get("Content-Length") != "",
	}
}

// urgency ranks the request at an engine: the organisation's rank goes before the
// route's.
func (x *request) urgency() int {
	return min(maxUrgency, urgencyBase+2*x.orgRank+x.route.Rank())
}

// framed reports whether an answer's end is marked, so that its connection could have
// been kept.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
