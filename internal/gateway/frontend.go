package gateway

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/connlimit"
	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout bound callers'
	// connections if the configuration does not, or if there is none yet.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// acceptPause is the pause after a connection could not be accepted, for example
	// because file descriptors have run out.
	acceptPause = 20 * time.Millisecond
)

// timeouts holds how long a caller may take to send the head of a request, how long its
// connection may be idle, and how large the head may be.
type timeouts struct {
	head      time.Duration
	idle      time.Duration
	headBytes int
}

// frontend accepts callers' connections. net/http fixes the timeouts of a server when it
// starts, so there is one server for each set of timeouts that a configuration has used; a
// connection keeps the timeouts that were in force when it was accepted.
type frontend struct {
	log     logr.Logger
	handler http.Handler
	limits  func() route.Limits
	serving sync.WaitGroup

	mu      sync.Mutex // guards the fields below; never held while another lock is taken
	servers map[timeouts]*connListener
	closed  bool
}

func newFrontend(log logr.Logger, handler http.Handler, limits func() route.Limits) *frontend {
	return &frontend{log: log, handler: handler, limits: limits, servers: map[timeouts]*connListener{}}
}

// accept serves connections until the listener is closed.
func (f *frontend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		f.serve(listener.Addr(), conn)
	}
}

func (f *frontend) serve(address net.Addr, conn net.Conn) {
	limits := f.limits()
	t := timeouts{head: limits.HeaderTimeout, idle: limits.IdleTimeout, headBytes: limits.HeaderBytes}
	if t.head <= 0 {
		t.head = defaultHeaderTimeout
	}
	if t.idle <= 0 {
		t.idle = defaultIdleTimeout
	}
	if t.headBytes <= 0 {
		t.headBytes = defaultHeaderBytes
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = conn.Close() // no request has been read from it
		return
	}
	listener := f.servers[t]
	if listener == nil {
		listener = newConnListener(address, &http.Server{
			Handler: f.handler, ReadHeaderTimeout: t.head, IdleTimeout: t.idle, MaxHeaderBytes: t.headBytes,
			// Each write extends this. Without it, the deadline of an answer would hold for what net/http itself
			// writes to the next request of the connection.
			WriteTimeout: callerWriteTimeout,
			ConnState:    connlimit.ConnState, ErrorLog: log.New(serverErrors{f.log}, "", 0),
		})
		f.servers[t] = listener
		f.serving.Go(func() { _ = listener.server.Serve(listener) }) // the listener fails only once it is closed
	}
	select {
	case listener.conns <- conn:
	case <-listener.done:
		_ = conn.Close() // the server is closed
	}
}

// flushTimeout bounds how long answers that were given may take to leave when the connections are closed.
const flushTimeout = 150 * time.Millisecond

// close closes all connections, once the answers on them have left.
func (f *frontend) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, h := range f.servers {
		closing.Go(func() { closeServer(ctx, h.server) })
	}
	closing.Wait()
}

// closeServer closes a server's connections, those with an answer that is leaving at the end of the context
// at the latest.
func closeServer(ctx context.Context, server *http.Server) {
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // connections that are still open are dropped
	}
}

// wait returns once Serve has returned for all servers.
func (f *frontend) wait() { f.serving.Wait() }

// reset closes a connection so that the caller sees an error instead of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close() // the connection is not used again
}

// serverErrors logs what net/http reports about connections. Most of it is caused by
// callers that send malformed requests; a panic while serving one is a fault of the program.
type serverErrors struct{ log logr.Logger }

var errPanic = errors.New("panic while serving a request")

// Write implements io.Writer. Each call is one message.
func (s serverErrors) Write(message []byte) (int, error) {
	if bytes.Contains(message, []byte("panic serving")) {
		s.log.Error(errPanic, "request ended without an answer", "message", string(message))
	} else {
		s.log.V(1).Info("error on a caller's connection", "message", string(message))
	}
	return len(message), nil
}

// connListener is a listener that returns the connections sent to the channel conns.
type connListener struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnListener(address net.Addr, server *http.Server) *connListener {
	return &connListener{server: server, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

// currentLimits returns the limits in force, or none.
func (g *Server) currentLimits() route.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

// Run serves callers, and other instances at the listener takeover unless that is nil, until the
// context ends, or until the graceful stop is complete that closing the channel stop begins. It then
// sends its result on the returned channel.
func (g *Server) Run(ctx context.Context, listener, takeover net.Listener, stop <-chan struct{}) <-chan error {
	endTakeover := func() {}
	if takeover != nil {
		endTakeover = g.runTakeover(takeover)
	}
	listener = connlimit.LimitClients(g.base.Log, g.base.Metrics, "callers", listener, g.base.Settings.Limits)
	front := newFrontend(g.base.Log, http.HandlerFunc(g.serve), g.currentLimits)
	done := make(chan error, 1)
	ended := make(chan struct{})
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ends after the last request
	background := []<-chan error{g.expireConns(backgroundCtx), g.freeCopies(backgroundCtx), g.endFormerRuns(backgroundCtx), g.probeTargets(backgroundCtx), g.survival.Run(backgroundCtx)}
	go func() {
		defer close(ended)
		g.awaitStop(ctx, stop)
		_ = listener.Close() // makes accept return
		front.close()
		endTakeover()
	}()
	go func() {
		front.accept(listener)
		<-ended
		front.wait()
		cancel()
		var failed error
		for _, end := range background {
			if err := <-end; err != nil {
				failed = err
			}
		}
		done <- failed
	}()
	return done
}
