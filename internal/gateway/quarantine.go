package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/sse"
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
// deadline or a notice to leave explains is no crash, unless the target had fallen silent before. One that had just begun to
// answer most likely crashed on what it had begun; else the request is one of those that may be the reason, if the target
// does not live on.
func (req *request) noteCrash(ctx context.Context, t *balance.Target, err error) {
	end := targetEnd{at: req.server.base.Timers.Now(), lost: req.lostConnection(err)}
	if since, silent := req.silentSince(ctx, t); silent {
		end = targetEnd{at: since, silent: true}
	}
	explained := !end.silent && req.explainsEnd(ctx, t, err)
	end.kind = quarantine.ClassifyEnd(explained, req.answerBegan != 0, end.at-req.answerBegan)
	req.server.base.Metrics.TargetEnd(end.kind.String())
	if end.lost && (end.kind == quarantine.EndBegun || end.kind == quarantine.EndUnbegun) {
		crashes := req.server.crashes.RequestCrashed(req.identity, req.caller.ID, t.ID(), req.sentAt)
		req.server.base.Log.Info("target crashed when it began to run the request", "request", req.caller.ID, "target", t.ID(),
			"name", req.identity.Name(), "crashes", crashes)
	}
	late := end.kind == quarantine.EndLate && end.lost
	if late || len(req.caller.SharedParts) > 0 && end.uncertain() {
		req.awaitSurvival(t, survival.End{Parts: req.caller.SharedParts, At: end.at, Late: late})
		return
	}
	if len(req.caller.SharedParts) > 0 {
		req.noteEndOfParts(t, end.kind)
	}
}

// lostConnection reports whether an answer ended with its connection before it was complete.
func (req *request) lostConnection(err error) bool {
	inside := errors.Is(err, sse.ErrUnfinished) && req.framing == upstream.FramedByClose
	return upstream.IsConnectionEnd(err) || errors.Is(err, errNoEvent) || inside
}

// targetEnd is the end of an answer, or of the wait for it, before it was complete.
type targetEnd struct {
	kind   quarantine.EndKind
	at     time.Duration // of a silent target, when it was last heard of
	lost   bool          // the target ended the connection
	silent bool          // it had sent nothing for stallTimeout or longer
}

// uncertain reports whether the target may have crashed on any request that it had.
func (e targetEnd) uncertain() bool {
	switch e.kind {
	case quarantine.EndBegun:
		return e.silent
	case quarantine.EndUnbegun, quarantine.EndLate:
		return e.lost || e.silent
	case quarantine.EndExplained, quarantine.EndLong:
	}
	return false
}

// noteEndOfParts records what a certain crash, or an end that is none, says of the parts of the prompt.
func (req *request) noteEndOfParts(t *balance.Target, kind quarantine.EndKind) {
	parts, answering := req.caller.SharedParts, req.answeringTime()
	if kind != quarantine.EndBegun {
		req.server.base.Log.Info("end of an engine does not speak against the parts", "request", req.caller.ID, "target", t.ID(), "kind", kind.String(),
			"answering-ms", answering.Milliseconds(), "parts", strings.Join(parts, ","))
		return
	}
	held := req.server.crashes.PartsCrashed(req.caller.ID, t.ID(), parts, answering)
	req.server.base.Log.Info("engine crashed when it began to answer", "request", req.caller.ID, "target", t.ID(),
		"answering-ms", answering.Milliseconds(), "parts", strings.Join(parts, ","), "held-back", held)
}

// explainsEnd reports whether an answer has ended for another reason than a crash of its target.
func (req *request) explainsEnd(ctx context.Context, t *balance.Target, err error) bool {
	return ctx.Err() != nil || isCallerError(err) || errors.Is(err, errStalled) || errors.Is(err, errOrder) ||
		errors.Is(err, upstream.ErrMalformedAnswer) || req.server.saysLeaving(t)
}

// silentSince reports whether an answer that had begun was ended because the target had sent nothing for long, and since
// when: neither to the request nor, as far as is known, to those who ask for its load. When an engine falls silent, all that
// it was answering stops at one moment; what waits there tells no such moment.
func (req *request) silentSince(ctx context.Context, t *balance.Target) (time.Duration, bool) {
	stalled := req.stream.accepted != nil && req.stream.halted == haltUnreachable
	ended := ctx.Err() != nil || stalled
	if req.answerBegan == 0 || !ended || req.server.stopping.Load() || req.server.saysLeaving(t) {
		return 0, false
	}
	last := max(req.answerBegan, req.stream.lastPassedAt)
	return last, req.server.base.Timers.Now()-last >= stallTimeout && req.server.reportedAt(t) <= last
}

// awaitSurvival has a target looked at after the end of the request's connection. It completes what is known of that end.
func (req *request) awaitSurvival(t *balance.Target, end survival.End) {
	end.Attempt, end.Identity, end.SentAt = req.caller.ID, req.identity, req.sentAt
	end.Target, end.Address = t.ID(), t.Address()
	req.server.survival.Note(end)
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
		if t := req.server.targetByIdentity(req.target); t != nil && (refutes || len(parts) > 0) {
			req.awaitSurvival(t, survival.End{Parts: parts, At: req.server.base.Timers.Now(), Whole: true})
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
// ends with its connection, so soon that the crash could speak against the request.
func (req *request) mayHaveCrashed() bool {
	return req.framing == upstream.FramedByClose && req.answeringTime() <= quarantine.LateBegun
}

// Evidence implements follow.Sink.
func (g *Server) Evidence(known uint64) (*wire.Evidence, uint64) { return g.crashes.Evidence(known) }

// MergeEvidence implements follow.Sink.
func (g *Server) MergeEvidence(e *wire.Evidence) { g.crashes.MergeEvidence(e) }

// reportedAt returns when a target last reported its load, 0 if it has not.
func (g *Server) reportedAt(t *balance.Target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.ReportedAt()
}

// saysLeaving reports whether a target is known or suspected to be leaving. One that is only not listed any more may have
// crashed.
func (g *Server) saysLeaving(t *balance.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.SaysLeaving(t, g.base.Timers.Now())
}
