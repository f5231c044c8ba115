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

	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// defaultHeaderBytes, defaultHeaderTime and defaultIdleTime bound callers'
	// connections where the configuration does not, or before one is known.
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 60 * time.Second
	// acceptPause is the pause after a connection could not be accepted, such as for
	// want of descriptors.
	acceptPause = 20 * time.Millisecond
)

// timing is how long a caller may take for the head of a request and be idle.
type timing struct {
	head time.Duration
	idle time.Duration
}

// frontend accepts callers' connections. Net/http fixes the times of a server at its
// start, so there is a server for each timing that a configuration has asked for; a
// connection keeps the one that was in force when it was accepted.
type frontend struct {
	log     logr.Logger
	handler http.Handler
	limits  func() route.Limits
	ended   sync.WaitGroup

	mu      sync.Mutex // guards the rest; never held while another lock is taken
	servers map[timing]*handover
	closed  bool
}

func newFrontend(log logr.Logger, handler http.Handler, limits func() route.Limits) *frontend {
	return &frontend{log: log, handler: handler, limits: limits, servers: map[timing]*handover{}}
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
	t := timing{head: limits.HeaderTime, idle: limits.IdleTime}
	if t.head <= 0 {
		t.head = defaultHeaderTime
	}
	if t.idle <= 0 {
		t.idle = defaultIdleTime
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = conn.Close() // the caller was not read
		return
	}
	h := f.servers[t]
	if h == nil {
		h = newHandover(address, &http.Server{
			Handler: f.handler, ReadHeaderTimeout: t.head, IdleTimeout: t.idle, MaxHeaderBytes: defaultHeaderBytes,
			ErrorLog: log.New(serverErrors{f.log}, "", 0),
		})
		f.servers[t] = h
		f.ended.Go(func() { _ = h.server.Serve(h) }) // it ends with http.ErrServerClosed only
	}
	select {
	case h.conns <- conn:
	case <-h.done:
		_ = conn.Close() // the server has ended
	}
}

// close ends all connections.
func (f *frontend) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, h := range f.servers {
		_ = h.server.Close() // what is still open is given up
	}
}

// wait returns once no server runs any more.
func (f *frontend) wait() { f.ended.Wait() }

// serverErrors logs what net/http tells of connections. Most of it is callers who send what
// is no request; a panic in the serving of one is a fault of the program.
type serverErrors struct{ log logr.Logger }

var errPanic = errors.New("panic in the serving of a request")

// Write implements io.Writer. Each call is one message.
func (s serverErrors) Write(message []byte) (int, error) {
	if bytes.Contains(message, []byte("panic serving")) {
		s.log.Error(errPanic, "request ended without an answer", "message", string(message))
	} else {
		s.log.V(1).Info("caller's connection", "message", string(message))
	}
	return len(message), nil
}

// handover is a listener that gives a server the connections it is handed.
type handover struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandover(address net.Addr, server *http.Server) *handover {
	return &handover{server: server, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.address }

// currentLimits returns the limits in force, or none.
func (g *Server) currentLimits() route.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

// Run serves callers until Stop has ended and reports the end on the returned
// channel.
func (g *Server) Run(ctx context.Context, listener net.Listener, stop <-chan struct{}) <-chan error {
	front := newFrontend(g.base.Log, http.HandlerFunc(g.serve), g.currentLimits)
	done := make(chan error, 1)
	ended := make(chan struct{})
	aside, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ends after the last request
	beside := []<-chan error{g.expireConns(aside), g.freeCopies(aside)}
	go func() {
		defer close(ended)
		g.await(ctx, stop)
		_ = listener.Close() // ends the accepting
		front.close()
	}()
	go func() {
		front.accept(listener)
		<-ended
		front.wait()
		cancel()
		var failed error
		for _, end := range beside {
			if err := <-end; err != nil {
				failed = err
			}
		}
		done <- failed
	}()
	return done
}
