package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/connlimit"
	"github.com/vanillaward/vanillaward/internal/handover"
)

const (
	// takeoverIdleTimeout bounds how long the connection of another instance may be idle.
	takeoverIdleTimeout = 30 * time.Second
	// takeoverShareDivisor divides MaxOpen; the quotient bounds the requests of other instances that
	// are open at once, so that they do not displace this one's own.
	takeoverShareDivisor = 2
)

// serveTakenOver handles a request that another instance hands over.
func (g *Server) serveTakenOver(w http.ResponseWriter, r *http.Request) {
	if !g.base.Credentials.IsInstance(r.TLS) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	terms, err := handover.ReadTerms(r.Header)
	if err != nil {
		g.base.Log.Info("request of another instance refused", "address", r.RemoteAddr, "reason", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.takenOver.Add(1)
	defer g.takenOver.Add(-1)
	g.handle(w, r, &terms)
}

// acceptTerms checks whether this instance can serve a request that was handed over as if it had come
// here. It reports false after a refusal.
func (req *request) acceptTerms() bool {
	if req.terms == nil {
		return true
	}
	g := req.server
	req.sent, req.counted = req.terms.Sent(), req.terms.Counted()
	if int(g.takenOver.Load()) > g.settings.MaxOpen/takeoverShareDivisor {
		return req.refuse(reasonBusy)
	}
	if req.table.Number() < req.terms.Configuration() {
		return req.refuse(reasonBehind)
	}
	return true
}

// markTakenOver adds what the instance that handed the request over is told beside the answer for the
// caller. Why is the reason for a refusal, empty for an answer of a target.
func (req *request) markTakenOver(why reason) {
	if req.terms == nil {
		return
	}
	outcome := handover.Answered
	if !req.maybeRun && req.sent == req.terms.Sent() && servedElsewhere[why] {
		outcome = handover.Declined
	}
	handover.NewAnswer(req.caller.ID, outcome, string(why), req.target).Set(req.w.Header())
}

// servedElsewhere holds the reasons for refusals that say nothing about other instances.
var servedElsewhere = map[reason]bool{
	reasonNoConfig: true, reasonBusy: true, reasonStopping: true, reasonNoTarget: true, reasonUnreachable: true, reasonBehind: true,
}

// runTakeover serves requests of other instances until the listener is closed. The returned function
// closes all connections, and returns once nothing is served any more.
func (g *Server) runTakeover(listener net.Listener) (end func()) {
	listener = connlimit.Limit(g.base.Log, g.base.Metrics, "handover", listener, g.base.Settings.Limits)
	server := &http.Server{
		Handler: http.HandlerFunc(g.serveTakenOver), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: takeoverIdleTimeout,
		WriteTimeout:   callerWriteTimeout,
		MaxHeaderBytes: 2 * defaultHeaderBytes, ConnState: connlimit.ConnState, ErrorLog: log.New(serverErrors{g.base.Log}, "", 0),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(g.base.Credentials.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			g.base.Log.Error(err, "requests of other instances are no longer taken")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		closeServer(ctx, server)
		<-done
	}
}
