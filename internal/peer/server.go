package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/connlimit"
	"github.com/vanillaward/vanillaward/internal/membudget"
)

// handshakeTimeout bounds how long an unauthenticated peer can hold a
// connection.
const handshakeTimeout = 5 * time.Second

// firstCallTimeout bounds how long a peer may keep a connection without its first call; peers connect to make
// one.
const firstCallTimeout = 10 * time.Second

// Caller is the authenticated other side of a connection.
type Caller struct {
	name string
	role Role
}

// Name returns the common name of the caller's certificate.
func (c Caller) Name() string { return c.name }

// Role returns what the caller's certificate entitles it to.
func (c Caller) Role() Role { return c.role }

// Factory returns the receiver of calls for one connection.
type Factory func(Caller) any

// Server accepts connections from the system's own processes and serves calls to the
// registered receivers.
type Server struct {
	log       logr.Logger
	factories map[string]Factory
	creds     *Credentials
	traffic   *Traffic
	memory    *membudget.Budget // of messages that are being read; nil for any amount
	mu        sync.Mutex        // guards conns and stopping; never held while another lock is taken
	conns     map[net.Conn]struct{}
	stopping  bool
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithMemory bounds the bytes of messages that are being read. A connection with a message beyond it is closed.
func WithMemory(bytes int64) ServerOption {
	return func(s *Server) { s.memory = membudget.New(bytes) }
}

// NewServer returns a server that admits peers with valid credentials only.
func NewServer(log logr.Logger, creds *Credentials, traffic *Traffic, options ...ServerOption) *Server {
	s := &Server{
		log: log, creds: creds, traffic: traffic,
		factories: map[string]Factory{}, conns: map[net.Conn]struct{}{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Register makes the methods of the factory's receivers callable as
// "name.Method". It must not be called after Serve.
func (s *Server) Register(name string, factory Factory) { s.factories[name] = factory }

// Serve accepts connections until the context ends, then closes all of them. The
// returned channel delivers the error of the accept loop when it ends, or nil after
// the end of the context.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // the accept loop reports the error that matters
		s.closeAll()
	})
	go func() {
		defer stop()
		var serving sync.WaitGroup
		for {
			conn, err := listener.Accept()
			if err != nil {
				serving.Wait()
				if ctx.Err() != nil {
					err = nil
				}
				done <- err
				return
			}
			serving.Go(func() { s.serve(ctx, conn) })
		}
	}()
	return done
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure, caller, err := s.creds.authenticate(handshake, conn)
	if err != nil {
		s.log.Info("peer refused", "address", conn.RemoteAddr().String(), "reason", err.Error())
		_ = conn.Close()
		return
	}
	rpcServer, err := s.newRPCServer(caller)
	if err != nil {
		s.log.Error(err, "cannot register receiver")
		_ = conn.Close()
		return
	}
	if err := setReadDeadline(secure, time.Now().Add(firstCallTimeout)); err != nil {
		_ = conn.Close()
		return
	}
	framer := newFramer(newMeteredConn(secure, s.traffic), s.traffic)
	if s.memory != nil {
		framer.hold = s.memory.Hold()
	}
	rpcServer.ServeCodec(&serverCodec{framer: framer, called: func() { connlimit.HeadComplete(conn) }})
}

// newRPCServer returns an RPC server for one connection, whose receivers know the
// authenticated caller.
func (s *Server) newRPCServer(caller Caller) (*rpc.Server, error) {
	rpcServer := rpc.NewServer()
	for name, factory := range s.factories {
		if err := rpcServer.RegisterName(name, factory(caller)); err != nil {
			return nil, err
		}
	}
	return rpcServer, nil
}

func callerOf(state tls.ConnectionState) Caller {
	if len(state.PeerCertificates) == 0 {
		return Caller{}
	}
	subject := state.PeerCertificates[0].Subject
	role := RoleOperator
	if len(subject.OrganizationalUnit) > 0 && subject.OrganizationalUnit[0] == string(RoleInstance) {
		role = RoleInstance
	}
	return Caller{name: subject.CommonName, role: role}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for conn := range s.conns {
		_ = conn.Close() // ends the connection's goroutine
	}
}
