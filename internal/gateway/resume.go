package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// maxResumes bounds how often one run goes on from a copy.
const maxResumes = 8

// startRun registers a generation. Long ones get a copy of their memory at another
// engine; a short one is done before that would help.
func (x *request) startRun(ctx context.Context, engine *balance.Target) {
	service := x.table.Service(x.service)
	if x.route.Kind() != route.Stream || !x.route.Generation() || service == nil {
		return
	}
	x.stream.run = &run{
		ctx: ctx, request: x.caller.ID, tokens: x.tokens(), engine: engine,
		backup:  service.Backups() && x.caller.LongestTokens >= x.server.settings.CopyFrom,
		movable: service.Moves(), keep: service.KeepCopy(),
	}
	x.server.addRun(x.stream.run)
}

func (x *request) endRun() {
	if x.stream.run != nil {
		x.server.removeRun(x.stream.run)
	}
}

// resumption is a run that has been accepted by the holder of its copy.
type resumption struct {
	run      *run
	holder   *balance.Target
	conn     *upstream.Conn
	response *http.Response
	said     vanillaward.TargetAnswer
}

// goOn goes on with a run whose engine is lost, from the copy of its memory, or where the
// holder of the copy has accepted it while its engine was silent. It reports whether the
// caller was served, or has left, in the end. The engine has been let go before: no events
// of two engines are mixed.
func (x *request) goOn(ctx context.Context, lost error) bool {
	if x.stream.run == nil || isCaller(lost) {
		return false
	}
	next := x.stream.next
	x.stream.next = nil
	if next == nil {
		x.server.awaitMove(ctx, x.stream.run)
		next = x.prepare(ctx, x.stream.last)
	}
	if next == nil {
		return false
	}
	return x.follow(ctx, next)
}

// errGone is logged for a copy whose engine is gone or leaving.
var errGone = errors.New("the engine is gone or leaves")

func isCaller(err error) bool {
	var caller callerError
	return errors.As(err, &caller)
}

// prepare asks the holder of the run's copy to go on after an event. It returns nil when
// that cannot be; the copy is used up then.
func (x *request) prepare(ctx context.Context, after uint64) *resumption {
	if x.stream.resumed >= maxResumes {
		return nil
	}
	from := x.server.takeCopy(x.stream.run)
	if from == nil || ctx.Err() != nil {
		return nil
	}
	if !x.server.beginResume(from.holder, x.tokens()) {
		x.note("copy is gone with its engine", from.holder, errGone)
		return nil
	}
	r, got := x.askHolder(ctx, from, after)
	if r == nil {
		x.server.end(from.holder, x.tokens(), got)
	}
	return r
}

// askHolder sends the request to the holder of its copy. Without a run there it returns
// how that ended.
func (x *request) askHolder(ctx context.Context, from *heldCopy, after uint64) (*resumption, balance.Result) {
	holder := from.holder
	conn, err := x.server.pool.Get(ctx, holder.ID(), holder.Address())
	if err != nil {
		x.note("holder of the copy not reached", holder, err)
		return nil, balance.Unreachable
	}
	defer conn.CloseWith(ctx)()
	next := x.stream.run.at(holder)
	x.server.addRun(next)
	response, err := x.sendResume(conn, next, from, after) //nolint:bodyclose // closing the connection or reading to the end releases it
	if err != nil {
		conn.Close()
		x.server.removeRun(next)
		return nil, x.broke(ctx, "run did not go on", holder, err)
	}
	said := x.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	if response.StatusCode != http.StatusOK {
		conn.Close()
		x.server.removeRun(next)
		x.server.base.Log.Info("holder has no copy", "request", x.caller.ID, "target", holder.ID(), "status", response.StatusCode, "after", after)
		return nil, balance.Abandoned
	}
	return &resumption{run: next, holder: holder, conn: conn, response: response, said: said}, balance.Served
}

func (x *request) sendResume(conn *upstream.Conn, next *run, from *heldCopy, after uint64) (*http.Response, error) {
	resume := &vanillaward.Resume{At: from.at, Copy: from.name, After: after}
	if err := conn.Send(x.outgoing(from.holder, next, resume)); err != nil {
		return nil, err
	}
	return conn.Answer(x.r.Method, x.belongs)
}

// abandon gives up a run that was accepted by the holder of its copy.
func (x *request) abandon(r *resumption) {
	r.conn.Close()
	x.server.removeRun(r.run)
	x.server.end(r.holder, x.tokens(), balance.Abandoned)
	x.server.base.Log.Info("run stays at its engine", "request", x.caller.ID, "not-at", r.holder.ID())
}

// follow relays what follows at the holder of the copy. It reports whether the caller was
// served, or has left, in the end.
func (x *request) follow(ctx context.Context, r *resumption) bool {
	defer r.conn.CloseWith(ctx)()
	x.server.removeRun(x.stream.run)
	x.stream.run = r.run
	x.stream.resumed++
	x.target = r.holder.ID()
	x.server.base.Log.Info("run goes on from its copy", "request", x.caller.ID, "target", r.holder.ID(), "events", x.stream.passed,
		"took-ms", (x.server.base.Timers.Now() - x.arrived).Milliseconds())
	got := x.relay(ctx, r.holder, r.conn, r.response, r.said)
	x.server.end(r.holder, x.tokens(), got)
	return !x.broken
}

// tokens estimates the memory that a generation needs: its prompt and half of its
// output, as it grows from nothing. It is 0 for requests that no engine runs.
func (x *request) tokens() int {
	if !x.route.Generation() {
		return 0
	}
	return max(1, x.caller.PromptTokens+x.likelyOutput()/2)
}

// likelyOutput estimates the output of a generation in tokens.
func (x *request) likelyOutput() int {
	if x.caller.ExpectedTokens > 0 {
		return min(x.caller.LongestTokens, x.caller.ExpectedTokens)
	}
	return x.caller.LongestTokens
}
