package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/survival"
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

// noteCrash records the end of a target that may have crashed on the request. An end of the answer that the caller, a
// deadline or a notice to leave explains is no crash. One that had just begun to answer most likely crashed on what it had begun;
// else the request is one of those that may be the reason, if the target does not live on.
func (req *request) noteCrash(ctx context.Context, t *balance.Target, err error) {
	explained := ctx.Err() != nil || isCallerError(err) || errors.Is(err, errStalled) || errors.Is(err, errOrder) ||
		errors.Is(err, upstream.ErrMalformedAnswer) || req.server.isLeaving(t)
	kind := quarantine.ClassifyEnd(explained, req.answerBegan != 0, req.answeringTime())
	req.server.base.Metrics.TargetEnd(kind.String())
	ended := upstream.IsConnectionEnd(err) || errors.Is(err, errNoEvent)
	if ended && (kind == quarantine.EndBegun || kind == quarantine.EndUnbegun) {
		crashes := req.server.crashes.RequestCrashed(req.identity, req.caller.ID, t.ID(), req.sentAt)
		req.server.base.Log.Info("target crashed when it began to run the request", "request", req.caller.ID, "target", t.ID(),
			"name", req.identity.Name(), "crashes", crashes)
	}
	if len(req.caller.SharedParts) == 0 {
		return
	}
	switch {
	case kind == quarantine.EndBegun:
		held := req.server.crashes.PartsCrashed(req.caller.ID, t.ID(), req.caller.SharedParts, req.answeringTime())
		req.server.base.Log.Info("engine crashed when it began to answer", "request", req.caller.ID, "target", t.ID(),
			"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","), "held-back", held)
	case ended && (kind == quarantine.EndUnbegun || kind == quarantine.EndLate):
		req.awaitSurvival(t, req.caller.SharedParts, false)
	default:
		req.server.base.Log.Info("end of an engine does not speak against the parts", "request", req.caller.ID, "target", t.ID(), "kind", kind.String(),
			"answering-ms", req.answeringTime().Milliseconds(), "parts", strings.Join(req.caller.SharedParts, ","))
	}
}

// awaitSurvival has a target looked at after it has ended the request's connection. Parts are as in survival.End.
func (req *request) awaitSurvival(t *balance.Target, parts []string, whole bool) {
	req.server.survival.Note(survival.End{
		Attempt: req.caller.ID, Identity: req.identity, Parts: parts, Target: t.ID(), Address: t.Address(),
		SentAt: req.sentAt, At: req.server.base.Timers.Now(), Whole: whole,
	})
}

// noteOutlived records, once for each target, that it has been answering the request for so long that it does not crash on
// a part of the prompt.
func (req *request) noteOutlived() {
	if req.outlived == req.target || len(req.caller.SharedParts) == 0 || req.answeringTime() <= quarantine.LateBegun {
		return
	}
	req.outlived = req.target
	req.server.crashes.Outlived(req.caller.SharedParts)
}

// noteAnswered records that the request was answered completely, so that its target did not crash on it, nor, if
// the request succeeded, on a part of its prompt.
func (req *request) noteAnswered(succeeded bool) {
	var parts []string
	if succeeded {
		parts = req.caller.SharedParts
	}
	refutes := req.server.crashes.Suspects(req.identity, parts)
	if req.mayHaveCrashed() {
		if t := req.server.targetByIdentity(req.target); t != nil && refutes {
			req.awaitSurvival(t, parts, true)
		}
		return
	}
	if refutes {
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
