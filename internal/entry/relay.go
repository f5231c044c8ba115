package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/delivery"
	"github.com/vanillaward/vanillaward/internal/engineapi"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// maxProblemBytes bounds what is read of an engine's refusal.
const maxProblemBytes = 4 << 10

// errDiverged ends a request whose second run differs from what the caller has.
var errDiverged = errors.New("a second run gave other tokens")

// errCallerGone ends a request whose caller left or does not read.
var errCallerGone = errors.New("the caller does not read the answer")

// lossError is a loss with its cause.
type lossError struct {
	loss  delivery.Loss
	cause error
}

func (e *lossError) Error() string { return e.cause.Error() }

func (e *lossError) Unwrap() error { return e.cause }

func lost(loss delivery.Loss, cause error) error { return &lossError{loss, cause} }

// generationID names a run of the request towards engines.
func (g *generation) generationID() string {
	return g.id + "." + strconv.Itoa(g.core.Generation())
}

// attempt runs the request once at its target, resuming its link as needed. A nil
// error means that all tokens were taken.
func (g *generation) attempt(ctx context.Context) (delivery.Loss, error) {
	t, ok := g.set.Target(g.target)
	if !ok {
		return delivery.Unsent, errors.Errorf("target %s is not declared", g.target)
	}
	g.address = t.Address().String()
	g.core.Begin()
	g.sink.restart()
	g.server.recorder.Record(trace.Event{Kind: trace.Begin, Request: g.id, Target: g.target, Generation: g.core.Generation()})
	bound := g.class.StallBound()
	err := g.link(ctx, bound, g.open)
	for err != nil && ctx.Err() == nil {
		var l *lossError
		if !errors.As(err, &l) || l.loss != delivery.LostLink || !g.core.Resumable() {
			break
		}
		before := g.core.Next()
		g.core.Resumed()
		g.server.metrics.Retry("resume")
		g.record(delivery.LostLink, delivery.Resume, false)
		if bound *= 2; bound > maxStallBound {
			bound = maxStallBound
		}
		err = g.link(ctx, bound, g.reopen)
		if g.core.Next() > before {
			bound = g.class.StallBound()
		}
	}
	if err == nil {
		return 0, nil
	}
	g.dropAtEngine()
	var l *lossError
	if errors.As(err, &l) {
		return l.loss, err
	}
	return delivery.LostGeneration, err
}

// link relays one connection of the run until it ends or falls silent.
func (g *generation) link(ctx context.Context, bound time.Duration, open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := g.server.watch.add(bound, cancel)
	defer g.server.watch.remove(w)
	response, err := open(ctx) //nolint:bodyclose // the stream closes it
	if err != nil {
		return err
	}
	stream := engineapi.NewStream(response.Body, g.generationID())
	defer stream.Close()
	return g.relay(stream, w)
}

// open starts the run at the engine.
func (g *generation) open(ctx context.Context) (*http.Response, error) {
	ctx, sent := upstream.CountSent(ctx)
	r, err := g.engineRequest(ctx, g.generationID())
	if err != nil {
		return nil, lost(delivery.Unsent, err)
	}
	client := g.server.engines
	if !g.class.Idempotent() {
		client = g.server.fresh
	}
	response, err := client.Do(r)
	if g.class.Idempotent() || sent.Load() > 0 {
		g.core.Sent()
	}
	if err != nil {
		if !g.core.RunSent() {
			return nil, lost(delivery.Unsent, err)
		}
		return nil, lost(delivery.LostGeneration, err)
	}
	return g.accept(response)
}

// accept judges the engine's answer to a new run. By the engines' protocol,
// statuses 429 and 503 mean that the request was not executed.
func (g *generation) accept(response *http.Response) (*http.Response, error) {
	if response.StatusCode == http.StatusOK {
		g.core.Accepted()
		return response, nil
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes)) // only for the message
	_ = response.Body.Close()                                             // it was read
	cause := errors.Errorf("target answered %d: %s", response.StatusCode, body)
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.core.Unexecuted()
		return nil, lost(delivery.Refused, cause)
	}
	return nil, lost(delivery.LostGeneration, cause)
}

// reopen resumes the run's stream after the last token that was taken.
func (g *generation) reopen(ctx context.Context) (*http.Response, error) {
	url := "http://" + g.address + "/v1/generations/" + g.generationID()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Last-Event-ID", g.generationID()+":"+strconv.Itoa(g.core.Next()-1))
	response, err := g.server.engines.Do(r)
	if err != nil {
		return nil, lost(delivery.LostGeneration, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the body says no more than the status
		return nil, lost(delivery.LostGeneration, errors.Errorf("target no longer has the generation (%d)", response.StatusCode))
	}
	return response, nil
}

// relay takes tokens until the run ends.
func (g *generation) relay(stream *engineapi.Stream, w *watched) error {
	for {
		event, err := stream.Next()
		if err != nil {
			return lost(delivery.LostLink, errors.Wrap(err, "the link to the target broke"))
		}
		if event.Done() {
			return lost(delivery.LostLink, errors.New("the stream ended before its last token"))
		}
		if !event.Own() {
			g.server.metrics.Dropped()
			continue
		}
		now := g.server.timers.Now()
		w.heard.Store(int64(now))
		ended, err := g.take(now, event)
		if err != nil {
			return err
		}
		if ended {
			return nil
		}
		if !stream.Buffered() {
			if err := g.sink.flush(); err != nil {
				return lost(delivery.LostGeneration, errors.Wrap(errCallerGone, err.Error()))
			}
		}
	}
}

// take handles one event and reports whether the run is complete.
func (g *generation) take(now time.Duration, event engineapi.Event) (bool, error) {
	if engineapi.IsFinal(event.Data()) {
		return g.takeFinal(event)
	}
	text := engineapi.RawText(event.Data(), g.chat)
	verdict := g.core.Token(g.core.Generation(), event.Index(), text)
	if g.server.recorder != nil {
		g.recordToken(event.Index(), text, verdict)
	}
	switch verdict {
	case delivery.Pass:
		g.measure(now)
		if err := g.sink.token(event.Data(), text); err != nil {
			return false, lost(delivery.LostGeneration, sinkError(err))
		}
	case delivery.Gap:
		return false, lost(delivery.LostLink, errors.New("tokens are missing"))
	case delivery.Diverged:
		return false, lost(delivery.LostGeneration, errDiverged)
	case delivery.Drop:
		g.server.metrics.Dropped()
	}
	if g.core.Next()%progressEvery == 0 {
		g.server.dispatch.progress(g.admitted, g.core.Next())
	}
	return false, nil
}

// sinkError tells an answer that is over its bound from a caller that is gone.
func sinkError(err error) error {
	if errors.Is(err, errAnswerTooLong) {
		return err
	}
	return errors.Wrap(errCallerGone, err.Error())
}

func (g *generation) takeFinal(event engineapi.Event) (bool, error) {
	g.server.recorder.Record(trace.Event{Kind: trace.Finish, Request: g.id, Generation: g.core.Generation(), Total: event.Index()})
	switch g.core.Finished(g.core.Generation(), event.Index()) {
	case delivery.Gap:
		return false, lost(delivery.LostLink, errors.New("tokens are missing"))
	case delivery.Diverged:
		return false, lost(delivery.LostGeneration, errDiverged)
	case delivery.Drop:
		return false, nil
	}
	g.final = append([]byte(nil), event.Data()...)
	return true, nil
}

func (g *generation) recordToken(index int, text []byte, verdict delivery.Verdict) {
	g.server.recorder.Record(trace.Event{
		Kind: trace.Token, Request: g.id, Generation: g.core.Generation(), Index: index,
		Text: string(text), Verdict: trace.VerdictName(verdict),
	})
	if verdict == delivery.Pass {
		g.server.recorder.Record(trace.Event{Kind: trace.Deliver, Request: g.id, Generation: g.core.Generation(), Index: index})
	}
}

// measure updates the times between tokens.
func (g *generation) measure(now time.Duration) {
	if g.core.Passed() == 1 {
		g.labels.FirstToken.Update((now - g.arrived).Seconds())
	} else if g.heard > 0 {
		gap := now - g.heard
		g.labels.BetweenTokens.Update(gap.Seconds())
		if gap >= stallNotable {
			g.labels.Stall.Update(gap.Seconds())
		}
	}
	g.heard = now
}

// dropAtEngine frees what the lost run still holds at its engine.
func (g *generation) dropAtEngine() {
	id, address, client := g.generationID(), g.address, g.server.engines
	g.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/generations/"+id, nil)
		if err != nil {
			return
		}
		if response, err := client.Do(r); err == nil {
			_ = response.Body.Close() // there is no body
		}
	})
}
