package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// crashLedger is the ledger of parts of prompts that crash engines, and of requests that crash targets.
// It is safe for concurrent use.
type crashLedger struct {
	timers vanillaward.Timers

	mu     sync.Mutex // guards ledger; never held while another lock is taken
	ledger *quarantine.Ledger
}

func newCrashLedger(timers vanillaward.Timers, instance string) *crashLedger {
	return &crashLedger{timers: timers, ledger: quarantine.New(instance)}
}

func (c *crashLedger) checkParts(parts []string) *quarantine.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Check(parts, c.timers.Now())
}

func (c *crashLedger) checkRequest(r quarantine.Request) *quarantine.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CheckRequest(r, c.timers.Now())
}

func (c *crashLedger) crashed(attempt, target string, parts []string, answering time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Crashed(attempt, target, parts, answering, c.timers.Now())
}

func (c *crashLedger) requestCrashed(r quarantine.Request, attempt, target string, sentAt time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	return c.ledger.RequestCrashed(r, attempt, target, now-sentAt, now)
}

// answered records a request that was answered whole, and the parts of its prompt if it has any.
func (c *crashLedger) answered(r quarantine.Request, target string, parts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	c.ledger.Answered(parts, now)
	c.ledger.RequestAnswered(r, target, now)
}

// heldBack returns the problem for a request that targets crash on, or on a part of its prompt, or nil. It
// is asked before each attempt.
func (ex *exchange) heldBack(parts []string) *problem {
	code, message, held := codePromptHeldBack, "engines crashed on a part of the prompt", ex.server.crashes.checkParts(parts)
	if held == nil {
		code, message, held = codeRequestHeldBack, "targets crashed on the request", ex.server.crashes.checkRequest(ex.identity)
	}
	if held == nil {
		return nil
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
	crashes := ex.server.crashes.requestCrashed(ex.identity, attempt, ex.target, ex.sentAt)
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

// noteCrash records the loss of a run whose engine had just begun to answer, or had not begun yet.
func (g *generation) noteCrash(ctx context.Context, lostAfter time.Duration, err error) {
	explained := ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, errDiverged) || errors.Is(err, errAnswerTooLong)
	if explained || g.answerBegan != 0 && lostAfter > quarantine.JustBegun {
		return
	}
	g.noteRequestCrash(ctx, g.generationID(), err)
	if g.answerBegan == 0 {
		return
	}
	g.server.crashes.crashed(g.generationID(), g.target, g.parts, lostAfter)
	g.server.log.Info("engine crashed when it began to answer", "request", g.id, "target", g.target,
		"answering-ms", lostAfter.Milliseconds(), "parts", g.parts)
}
