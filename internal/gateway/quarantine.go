package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/upstream"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// heldBack returns why the request must not be sent to a target and for how long: targets crash on it, or
// on a part of its prompt. It returns 0 if it may be sent. It is asked before each attempt and each
// resumption.
func (req *request) heldBack() (reason, time.Duration) {
	why, held := reasonPartHeldBack, req.server.checkParts(req.caller.SharedParts)
	if held == nil && req.server.knowsCrashes() {
		why, held = reasonHeldBack, req.server.checkRequest(req.identity)
	}
	if held == nil {
		return "", 0
	}
	req.server.base.Log.Info("held back: targets crashed on it", "request", req.caller.ID, "what", string(why), "part", held.Part,
		"crashes", held.Crashes, "last-crash-ms", held.Age.Milliseconds(), "wait-ms", held.Wait.Milliseconds())
	return why, held.Wait
}

// noteCrash records the crash of a target that had just begun to answer the request, or had not begun yet.
// An end of the answer that the caller, a deadline or a notice to leave explains is no crash. What an
// engine had not begun to answer may have waited there, so that it speaks against the whole request only,
// which counts if each of several targets crashed on it.
func (req *request) noteCrash(ctx context.Context, t *balance.Target, err error) {
	explained := ctx.Err() != nil || isCallerError(err) || errors.Is(err, errStalled) || errors.Is(err, errOrder)
	if explained || req.answeringTime() > quarantine.JustBegun || req.server.isLeaving(t) {
		return
	}
	if upstream.IsConnectionEnd(err) || errors.Is(err, errNoEvent) {
		crashes := req.server.recordRequestCrash(req, t)
		req.server.base.Log.Info("target crashed when it began to run the request", "request", req.caller.ID, "target", t.ID(),
			"name", req.identity.Name(), "crashes", crashes)
	}
	if req.answerBegan == 0 || len(req.caller.SharedParts) == 0 {
		return
	}
	held := req.server.recordCrash(req, t)
	req.server.base.Log.Info("engine crashed when it began to answer", "request", req.caller.ID, "target", t.ID(),
		"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","), "held-back", held)
}

// noteWholeAnswer records that the request was answered whole, with success.
func (req *request) noteWholeAnswer() {
	if req.framing == upstream.FramedByClose {
		return // a crash can look the same
	}
	req.server.recordWholeAnswer(req.caller.SharedParts)
	req.noteAnswered()
}

// noteAnswered records that the request was answered completely, so that its target did not crash on it.
func (req *request) noteAnswered() {
	if req.framing != upstream.FramedByClose {
		req.server.recordAnswered(req.identity, req.target)
	}
}

// Evidence implements follow.Sink.
func (g *Server) Evidence(known uint64) (*wire.Evidence, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	number := g.ledger.OwnVersion()
	if number == known || number == 0 {
		return nil, number
	}
	return g.ledger.OwnNews(known, g.base.Timers.Now()), number
}

// MergeEvidence implements follow.Sink.
func (g *Server) MergeEvidence(e *wire.Evidence) {
	g.mu.Lock()
	before := g.ledger.Parts()
	g.ledger.Merge(e, g.base.Timers.Now())
	held := g.ledger.Parts()
	g.mu.Unlock()
	if held != before {
		g.base.Log.Info("parts held back", "groups", held, "before", before, "crashes", len(e.GetCrashes()))
	}
	for _, c := range e.GetRequestCrashes() {
		g.base.Log.Info("told of a target that crashed when it began to run a request", "name", c.GetRequest(), "target", c.GetTarget(), "age-ms", c.GetAgeMs())
	}
}

func (g *Server) partsHeldBack() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Parts()
}

func (g *Server) checkParts(parts []string) *quarantine.Held {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Check(parts, g.base.Timers.Now())
}

// knowsCrashes reports whether any request is known on which targets crashed.
func (g *Server) knowsCrashes() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Requests() > 0
}

func (g *Server) checkRequest(r quarantine.Request) *quarantine.Held {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.CheckRequest(r, g.base.Timers.Now())
}

func (g *Server) recordWholeAnswer(parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Answered(parts, g.base.Timers.Now())
}

func (g *Server) recordAnswered(r quarantine.Request, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.RequestAnswered(r, target, g.base.Timers.Now())
}

// isLeaving reports whether a target is known to be leaving.
func (g *Server) isLeaving(t *balance.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Leaving(t, g.base.Timers.Now())
}

// recordRequestCrash records a crash that speaks against the whole request, and returns the number of these.
func (g *Server) recordRequestCrash(req *request, t *balance.Target) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.base.Timers.Now()
	return g.ledger.RequestCrashed(req.identity, req.caller.ID, t.ID(), now-req.sentAt, now)
}

// recordCrash records a crash that speaks against the parts of the prompt. It returns the number of groups
// of parts that are held back.
func (g *Server) recordCrash(req *request, t *balance.Target) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Crashed(req.caller.ID, t.ID(), req.caller.SharedParts, req.answeringTime(), g.base.Timers.Now())
	return g.ledger.Parts()
}
