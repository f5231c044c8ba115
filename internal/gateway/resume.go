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

// goOn goes on with a run whose engine is lost, from the copy of its memory. It
// reports whether the caller was served, or has left, in the end. The engine that
// was lost has been let go before: a run is never at work at two engines.
func (x *request) goOn(ctx context.Context, lost error) bool {
	if x.stream.run == nil || isCaller(lost) || x.stream.resumed >= maxResumes {
		return false
	}
	x.server.awaitMove(ctx, x.stream.run)
	from := x.server.takeCopy(x.stream.run)
	if from == nil || ctx.Err() != nil {
		return false
	}
	if !x.server.beginResume(from.holder, x.tokens()) {
		x.note("copy is gone with its engine", from.holder, errGone)
		return false
	}
	x.stream.resumed++
	x.target = from.holder.ID()
	got, served := x.resume(ctx, from)
	x.server.end(from.holder, x.tokens(), got)
	return served
}

// errGone is logged for a copy whose engine is gone or leaving.
var errGone = errors.New("the engine is gone or leaves")

func isCaller(err error) bool {
	var caller callerError
	return errors.As(err, &caller)
}

// resume sends the request to the holder of its copy and relays what follows.
func (x *request) resume(ctx context.Context, from *heldCopy) (balance.Result, bool) {
	holder := from.holder
	conn, err := x.server.pool.Get(ctx, holder.ID(), holder.Address())
	if err != nil {
		x.note("holder of the copy not reached", holder, err)
		return balance.Unreachable, false
	}
	defer conn.CloseWith(ctx)()
	x.server.resumeRun(x.stream.run, holder)
	response, err := x.sendResume(from, conn) //nolint:bodyclose // closing the connection or reading to the end releases it
	if err != nil {
		conn.Close()
		return x.broke(ctx, "run did not go on", holder, err), false
	}
	said := x.server.dialect.ReadAnswer(response.StatusCode, response.Header)
	if response.StatusCode != http.StatusOK {
		conn.Close()
		x.server.base.Log.Info("holder has no copy", "request", x.caller.ID, "target", holder.ID(), "status", response.StatusCode, "events", x.stream.passed)
		return balance.Abandoned, false
	}
	x.server.base.Log.Info("run goes on from its copy", "request", x.caller.ID, "target", holder.ID(), "events", x.stream.passed,
		"took-ms", (x.server.base.Timers.Now() - x.arrived).Milliseconds())
	got := x.relay(ctx, holder, conn, response, said)
	return got, !x.broken
}

func (x *request) sendResume(from *heldCopy, conn *upstream.Conn) (*http.Response, error) {
	resume := &vanillaward.Resume{At: from.at, Copy: from.name, After: x.stream.last}
	if err := conn.Send(x.outgoing(from.holder, resume)); err != nil {
		return nil, err
	}
	return conn.Answer(x.r.Method, x.belongs)
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
