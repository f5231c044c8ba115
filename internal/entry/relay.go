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
	"github.com/vanillaward/vanillaward/internal/sse"
	"github.com/vanillaward/vanillaward/internal/trace"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// maxRefusalBytes bounds how much of an engine's refusal is read.
const maxRefusalBytes = 4 << 10

// errDiverged ends a request whose second run differs from what the caller has
// received.
var errDiverged = errors.New("a second run gave other tokens")

// errCallerGone ends a request whose caller disconnected or does not read.
var errCallerGone = errors.New("the caller disconnected or does not read the answer")

// lossError is a loss of a run or of its link, with the cause.
type lossError struct {
	loss  delivery.Loss
	cause error
}

func (e *lossError) Error() string { return e.cause.Error() }

func (e *lossError) Unwrap() error { return e.cause }

func newLossError(loss delivery.Loss, cause error) error { return &lossError{loss, cause} }

// generationID returns the identity of the current run at engines.
func (g *generation) generationID() string {
	return g.id + "." + strconv.Itoa(g.core.Generation())
}

// attempt runs the request once at its target, resuming its stream as needed. A nil
// error means that all tokens were received. Otherwise the loss is how the run ended.
func (g *generation) attempt(ctx context.Context) (delivery.Loss, error) {
	t, ok := g.set.Target(g.target)
	if !ok {
		return delivery.Unsent, errors.Errorf("target %s is not declared", g.target)
	}
	g.address = t.Address().String()
	g.core.Begin()
	g.sink.restart()
	g.server.recorder.Record(trace.Event{Kind: trace.Begin, Request: g.id, Target: g.target, Generation: g.core.Generation()})
	timeout := g.class.StallBound()
	g.answerBegan = 0
	err := g.relayConnection(ctx, timeout, g.startRun)
	lostBy, lostAfter := err, g.server.timers.Now()-g.answerBegan
	for err != nil && ctx.Err() == nil {
		var lossErr *lossError
		if !errors.As(err, &lossErr) || lossErr.loss != delivery.LostLink || !g.core.Resumable() {
			break
		}
		before := g.core.Next()
		g.core.Resumed()
		g.server.metrics.Retry("resume")
		g.recordLoss(delivery.LostLink, delivery.Resume, false)
		if timeout *= 2; timeout > maxStallBound {
			timeout = maxStallBound
		}
		err = g.relayConnection(ctx, timeout, g.resumeStream)
		if g.core.Next() > before {
			timeout = g.class.StallBound()
		}
	}
	if err == nil {
		return 0, nil
	}
	g.noteCrash(ctx, lostAfter, lostBy, err)
	g.cancelAtEngine()
	var lossErr *lossError
	if errors.As(err, &lossErr) {
		return lossErr.loss, err
	}
	return delivery.LostGeneration, err
}

// relayConnection relays one connection of the run until it ends or stalls.
func (g *generation) relayConnection(ctx context.Context, timeout time.Duration, open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ws := g.server.watchdog.add(timeout, cancel)
	defer g.server.watchdog.remove(ws)
	response, err := open(ctx) //nolint:bodyclose // the stream closes it
	if err != nil {
		return err
	}
	stream := engineapi.NewStream(response.Body, g.generationID(), sse.WithBudget(g.server.events))
	defer stream.Close()
	return g.relay(stream, ws)
}

// startRun sends the request to the engine.
func (g *generation) startRun(ctx context.Context) (*http.Response, error) {
	ctx, sent := upstream.CountSent(ctx)
	r, err := g.engineRequest(ctx, g.generationID())
	if err != nil {
		return nil, newLossError(delivery.Unsent, err)
	}
	response, err := g.server.unpooled.Do(r)
	if sent.Load() > 0 {
		g.core.Sent()
	}
	if err != nil {
		return nil, classifySendError(sent.Load(), err)
	}
	return g.checkResponse(response)
}

// checkResponse evaluates the engine's response to a new run. In the engines'
// protocol, statuses 429 and 503 mean that the request was not executed.
func (g *generation) checkResponse(response *http.Response) (*http.Response, error) {
	if response.StatusCode == http.StatusOK {
		g.core.Accepted()
		g.answerBegan = g.server.timers.Now()
		return response, nil
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes)) // used only in the message
	_ = response.Body.Close()                                             // the body was read
	cause := errors.Errorf("target answered %d: %s", response.StatusCode, body)
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.core.NotExecuted()
		return nil, newLossError(delivery.Refused, cause)
	}
	return nil, newLossError(delivery.LostGeneration, cause)
}

// resumeStream resumes the run's stream after the last token that was received.
func (g *generation) resumeStream(ctx context.Context) (*http.Response, error) {
	url := "http://" + g.address + "/v1/generations/" + g.generationID()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Last-Event-ID", g.generationID()+":"+strconv.Itoa(g.core.Next()-1))
	response, err := g.server.pooled.Do(r)
	if err != nil {
		return nil, newLossError(delivery.LostGeneration, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the body adds nothing to the status
		return nil, newLossError(delivery.LostGeneration, errors.Errorf("target no longer has the generation (%d)", response.StatusCode))
	}
	return response, nil
}

// relay passes tokens to the sink until the run ends.
func (g *generation) relay(stream *engineapi.Stream, ws *watchedStream) error {
	for {
		event, err := stream.Next()
		if err != nil {
			return newLossError(delivery.LostLink, errors.Wrap(err, "the link to the target broke"))
		}
		if event.Done() {
			return newLossError(delivery.LostLink, errors.New("the stream ended before its last token"))
		}
		if !event.MatchesGeneration() {
			g.server.metrics.TokenDropped()
			continue
		}
		now := g.server.timers.Now()
		ws.lastEvent.Store(int64(now))
		ended, err := g.handleEvent(now, event)
		if err != nil {
			return err
		}
		if ended {
			return nil
		}
		if !stream.Buffered() {
			if err := g.sink.flush(); err != nil {
				return newLossError(delivery.LostGeneration, errors.Wrap(errCallerGone, err.Error()))
			}
		}
	}
}

// handleEvent handles one event and reports whether the run is complete.
func (g *generation) handleEvent(now time.Duration, event engineapi.Event) (bool, error) {
	if engineapi.IsFinal(event.Data()) {
		return g.handleFinal(event)
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
			return false, newLossError(delivery.LostGeneration, sinkError(err))
		}
	case delivery.Gap:
		return false, newLossError(delivery.LostLink, errors.New("tokens are missing"))
	case delivery.Diverged:
		return false, newLossError(delivery.LostGeneration, errDiverged)
	case delivery.Drop:
		g.server.metrics.TokenDropped()
	}
	if g.core.Next()%progressInterval == 0 {
		g.server.dispatch.progress(g.admissionID, g.core.Next())
	}
	return false, nil
}

// sinkError distinguishes an answer that exceeds its limit from a caller that
// disconnected.
func sinkError(err error) error {
	if errors.Is(err, errAnswerTooLong) {
		return err
	}
	return errors.Wrap(errCallerGone, err.Error())
}

func (g *generation) handleFinal(event engineapi.Event) (bool, error) {
	g.server.recorder.Record(trace.Event{Kind: trace.Finish, Request: g.id, Generation: g.core.Generation(), Total: event.Index()})
	switch g.core.Finished(g.core.Generation(), event.Index()) {
	case delivery.Gap:
		return false, newLossError(delivery.LostLink, errors.New("tokens are missing"))
	case delivery.Diverged:
		return false, newLossError(delivery.LostGeneration, errDiverged)
	case delivery.Excess:
		return false, newLossError(delivery.LostGeneration, errors.New("the target counts fewer tokens than it sent"))
	case delivery.Drop:
		return false, nil
	}
	g.finalEvent = append([]byte(nil), event.Data()...)
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

// measure updates the metrics of the time to the first token, the times between
// tokens and stalls.
func (g *generation) measure(now time.Duration) {
	if g.core.PassedTokens() == 1 {
		g.series.FirstToken.Update((now - g.arrived).Seconds())
	} else if g.lastToken > 0 {
		gap := now - g.lastToken
		g.series.BetweenTokens.Update(gap.Seconds())
		if gap >= minStall {
			g.series.Gap.Update(gap.Seconds())
		}
	}
	g.lastToken = now
}

// cancelAtEngine cancels the lost run at its engine in the background, which frees
// the resources that it still holds there.
func (g *generation) cancelAtEngine() {
	id, address, client := g.generationID(), g.address, g.server.pooled
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
