package peer

import (
	"context"
	"fmt"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
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
	rpc      *rpc.Client
	conn     *meteredConn
	answered atomic.Int64 // number of calls that were answered
}

// UnansweredError is returned for a call whose context ended before the response was complete.
type UnansweredError struct {
	passed int64
	err    error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%v, %d bytes passed meanwhile", e.err, e.passed)
}

// Unwrap returns the context's error.
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
	answeredBefore, passedBefore := conn.answered.Load(), conn.conn.passed()
	call := conn.rpc.Go(method, request, response, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		conn.answered.Add(1)
		return c.finish(conn, call.Error)
	case <-ctx.Done():
		// No call was answered meanwhile, so the connection is considered dead.
		if conn.answered.Load() == answeredBefore {
			c.drop(conn)
		}
		return &UnansweredError{passed: conn.conn.passed() - passedBefore, err: ctx.Err()}
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
