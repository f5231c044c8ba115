package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/survival"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// heldBack returns the problem for a request that targets crash on, or on a part of its prompt, or nil. It
// is asked before each attempt.
func (ex *exchange) heldBack(parts []string) *problem {
	held := ex.server.crashes.Check(ex.identity, parts)
	if held == nil {
		return nil
	}
	code, message := codePromptHeldBack, "engines crashed on a part of the prompt"
	if held.Whole {
		code, message = codeRequestHeldBack, "targets crashed on the request"
	}
	ex.reason = string(code)
	ex.server.metrics.Refusal(string(code))
	ex.server.log.Info("held back: targets crashed on it", "request", ex.id, "what", string(code), "part", held.Part,
		"crashes", held.Crashes, "last-crash-ms", held.Age.Milliseconds(), "wait-ms", held.Wait.Milliseconds())
	return ex.correctOutcome(refusal(http.StatusServiceUnavailable, code, message, held.Wait))
}

// noteRequestCrash records the crash of a target that had begun to run the request, or was about to. Attempt
// identifies the attempt.
func (ex *exchange) noteRequestCrash(ctx context.Context, attempt string, err error) {
	if ctx.Err() != nil || !upstream.IsConnectionEnd(err) {
		return
	}
	crashes := ex.server.crashes.RequestCrashed(ex.identity, attempt, ex.target, ex.sentAt)
	ex.server.log.Info("target crashed when it began to run the request", "request", ex.id, "target", ex.target,
		"name", ex.identity.Name(), "crashes", crashes)
}

// promptParts returns names for what the prompt may have in common with others: its beginning, and
// all of it, which a repeat has too.
func (g *generation) promptParts() []string {
	parts := []string{fmt.Sprintf("p%015x", hash(g.input)>>4)}
	if g.prefix != 0 {
		parts = append(parts, fmt.Sprintf("b%015x", g.prefix>>4))
	}
	return parts
}

// noteCrash records the loss of a run whose engine may have crashed on the request, as the gateway does. LostBy is the error
// of its first connection, and err that of the last one, by which it could not be resumed.
func (g *generation) noteCrash(ctx context.Context, lostAfter time.Duration, lostBy, err error) {
	explained := ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, errDiverged) || errors.Is(err, errAnswerTooLong)
	kind := quarantine.ClassifyEnd(explained, g.answerBegan != 0, lostAfter)
	g.server.metrics.TargetEnd(kind.String())
	if kind == quarantine.EndBegun || kind == quarantine.EndUnbegun {
		g.noteRequestCrash(ctx, g.generationID(), err)
	}
	switch {
	case kind == quarantine.EndBegun:
		g.server.crashes.PartsCrashed(g.generationID(), g.target, g.parts, lostAfter)
		g.server.log.Info("engine crashed when it began to answer", "request", g.id, "target", g.target,
			"answering-ms", lostAfter.Milliseconds(), "parts", g.parts)
	case upstream.IsConnectionEnd(lostBy) && (kind == quarantine.EndUnbegun || kind == quarantine.EndLate):
		g.server.survival.Note(survival.End{
			Attempt: g.generationID(), Identity: g.identity, Parts: g.parts, Target: g.target, Address: g.address,
			SentAt: g.sentAt, At: g.server.timers.Now(), Late: kind == quarantine.EndLate,
		})
	default:
		g.server.log.Info("end of an engine does not speak against the parts", "request", g.id, "target", g.target, "kind", kind.String(),
			"answering-ms", lostAfter.Milliseconds(), "parts", g.parts)
	}
}
