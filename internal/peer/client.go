package peer

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// dialTimeout bounds connecting and the TLS handshake.
const dialTimeout = 300 * time.Millisecond

// ErrUnreachable is returned when no connection to the peer could be made. The peer
// then certainly did not receive the call.
var ErrUnreachable = errors.New("peer is unreachable")

// Client calls one peer over one connection, which it opens on demand and
// replaces after a failure. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	creds   *Credentials
	traffic *Traffic

	mu      sync.Mutex // guards current; held while dialing, so that only one call dials
	current *connection
}

type connection struct {
	rpc  *rpc.Client
	conn *meteredConn
}

// errSilent is why a call was given up on whose connection carried nothing for too long.
var errSilent = errors.New("connection is silent")

// UnansweredError is returned for a call that was given up before the response was complete.
type UnansweredError struct {
	passed int64
	err    error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%v, %d bytes passed meanwhile", e.err, e.passed)
}

// Unwrap returns why the call was given up.
func (e *UnansweredError) Unwrap() error { return e.err }

// NewClient returns a client for the peer at the address.
func NewClient(address netip.AddrPort, creds *Credentials, traffic *Traffic) *Client {
	return &Client{address: address, creds: creds, traffic: traffic}
}

// Address returns the peer's address.
func (c *Client) Address() netip.AddrPort { return c.address }

// Call sends the request and waits for the response or the end of the context. It returns
// an error that matches ErrUnreachable if no connection could be made, an
// rpc.ServerError if the peer answered with an error, and an UnansweredError if the
// context ended first. After any other error the call may or may not have arrived.
func (c *Client) Call(ctx context.Context, method string, request, response proto.Message) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return c.await(ctx, conn, conn.call(method, request, response), 0)
}

// CallUntilSilent is like Call, but it also gives up, with an UnansweredError, once no byte has passed
// on the connection for the given time: what is slow to arrive is not lost. A call that takes long in
// any case states how long in its request, and the time must be longer.
func (c *Client) CallUntilSilent(ctx context.Context, silence time.Duration, method string, request, response proto.Message) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return c.await(ctx, conn, conn.call(method, request, response), silence)
}

func (c *connection) call(method string, request, response proto.Message) *rpc.Call {
	return c.rpc.Go(method, request, response, make(chan *rpc.Call, 1))
}

// silenceChecks is how often during the time that a connection may be silent it is checked.
const silenceChecks = 2

// await waits for the response to a call. A silence of 0 stands for any time.
func (c *Client) await(ctx context.Context, conn *connection, call *rpc.Call, silence time.Duration) error {
	begun, received := conn.conn.passed(), conn.conn.received.Load()
	passed, silentChecks := begun, 0
	var check <-chan time.Time
	for {
		if silence > 0 {
			check = time.After(silence / silenceChecks)
		}
		select {
		case <-call.Done:
			return c.finish(conn, call.Error)
		case <-ctx.Done():
			if conn.conn.received.Load() == received {
				c.drop(conn) // considered dead
			}
			return &UnansweredError{passed: conn.conn.passed() - begun, err: ctx.Err()}
		case <-check:
		}
		silentChecks++
		if now := conn.conn.passed(); now != passed {
			passed, silentChecks = now, 0
		}
		if silentChecks == silenceChecks {
			c.drop(conn)
			return &UnansweredError{passed: passed - begun, err: errSilent}
		}
	}
}

func (c *Client) finish(conn *connection, err error) error {
	var serverErr rpc.ServerError
	if err != nil && !errors.As(err, &serverErr) {
		c.drop(conn)
	}
	return err
}

func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.creds.connect(ctx, c.address.String())
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	metered := newMeteredConn(conn, c.traffic)
	c.current = &connection{conn: metered, rpc: rpc.NewClientWithCodec(&clientCodec{newFramer(metered, c.traffic)})}
	return c.current, nil
}

func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == conn {
		c.current = nil
	}
	_ = conn.rpc.Close() // the connection is discarded in any case
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		_ = c.current.rpc.Close() // the connection is discarded in any case
		c.current = nil
	}
}
