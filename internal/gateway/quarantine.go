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
	held := req.server.crashes.Check(req.identity, req.caller.SharedParts)
	if held == nil {
		return "", 0
	}
	why := reasonPartHeldBack
	if held.Whole {
		why = reasonHeldBack
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
	explained := ctx.Err() != nil || isCallerError(err) || errors.Is(err, errStalled) || errors.Is(err, errOrder) || req.server.isLeaving(t)
	kind := quarantine.ClassifyEnd(explained, req.answerBegan != 0, req.answeringTime())
	req.server.base.Metrics.TargetEnd(kind.String())
	if kind != quarantine.EndBegun && kind != quarantine.EndUnbegun {
		req.logUncounted(t, kind)
		return
	}
	if upstream.IsConnectionEnd(err) || errors.Is(err, errNoEvent) {
		crashes := req.server.crashes.RequestCrashed(req.identity, req.caller.ID, t.ID(), req.sentAt)
		req.server.base.Log.Info("target crashed when it began to run the request", "request", req.caller.ID, "target", t.ID(),
			"name", req.identity.Name(), "crashes", crashes)
	}
	if len(req.caller.SharedParts) == 0 {
		return
	}
	if kind == quarantine.EndUnbegun {
		req.logUncounted(t, kind)
		return
	}
	held := req.server.crashes.PartsCrashed(req.caller.ID, t.ID(), req.caller.SharedParts, req.answeringTime())
	req.server.base.Log.Info("engine crashed when it began to answer", "request", req.caller.ID, "target", t.ID(),
		"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","), "held-back", held)
}

// logUncounted logs an end of a target that does not speak against the parts of the prompt, and why.
func (req *request) logUncounted(t *balance.Target, kind quarantine.EndKind) {
	if len(req.caller.SharedParts) == 0 {
		return
	}
	req.server.base.Log.Info("end of an engine does not speak against the parts", "request", req.caller.ID, "target", t.ID(), "kind", kind.String(),
		"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","))
}

// noteAnswered records that the request was answered completely, so that its target did not crash on it, nor, if
// the request succeeded, on a part of its prompt.
func (req *request) noteAnswered(succeeded bool) {
	var parts []string
	if succeeded {
		parts = req.caller.SharedParts
	}
	if req.mayHaveCrashed() {
		req.awaitSurvival(parts)
		return
	}
	if req.server.crashes.Suspects(req.identity, parts) {
		req.server.base.Log.Info("answer refutes crashes", "request", req.caller.ID, "target", req.target, "framing", string(req.framing),
			"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(parts, ","))
	}
	req.server.crashes.Answered(req.identity, req.target, parts, req.server.base.Timers.Now())
}

// mayHaveCrashed reports whether a crash of the target can look like the answer that has just ended: one that
// ends with its connection, so soon that the crash would speak against the request.
func (req *request) mayHaveCrashed() bool {
	return req.framing == upstream.FramedByClose && req.answeringTime() <= quarantine.JustBegun
}

// Evidence implements follow.Sink.
func (g *Server) Evidence(known uint64) (*wire.Evidence, uint64) { return g.crashes.Evidence(known) }

// MergeEvidence implements follow.Sink.
func (g *Server) MergeEvidence(e *wire.Evidence) { g.crashes.MergeEvidence(e) }

// isLeaving reports whether a target is known to be leaving.
func (g *Server) isLeaving(t *balance.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Leaving(t, g.base.Timers.Now())
}
