package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultKeepAlive is how long an idle connection is kept when its target does
	// not announce a keep-alive timeout.
	defaultKeepAlive = 2 * time.Second
	// keepAliveDivisor divides the target's announced keep-alive timeout. An idle
	// connection is not reused after that part of the timeout, so that the target
	// does not close it while a request is in flight.
	keepAliveDivisor = 2
	// userTimeout is the value of TCP_USER_TIMEOUT: how long sent bytes may stay
	// unacknowledged.
	userTimeout = 5 * time.Second
)

// Pool keeps idle connections to targets. It is safe for concurrent use.
//
// A target may write an earlier answer once more on a connection that is in use again. An answer
// that names its request is told apart from that by the name, unless an earlier request on the
// connection had the same name: so no connection carries two requests with the same name, and one
// without a name has a connection of its own.
type Pool struct {
	open        Dial
	dialTimeout time.Duration
	maxIdle     int
	seed        maphash.Seed // of the hashes of requests

	mu   sync.Mutex // guards idle; never held while another lock is taken
	idle map[string][]*Conn
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a pool.
type Option func(*Pool)

// WithDial sets how connections are opened, instead of by the operating system.
func WithDial(dial Dial) Option { return func(p *Pool) { p.open = dial } }

// NewPool returns an empty pool that keeps at most maxIdle idle connections per
// target.
func NewPool(dialTimeout time.Duration, maxIdle int, options ...Option) *Pool {
	p := &Pool{
		open: (&net.Dialer{}).DialContext, dialTimeout: dialTimeout, maxIdle: maxIdle, seed: maphash.MakeSeed(), idle: map[string][]*Conn{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Get returns an idle or new connection, for a request with the given name, to the target with the
// given identity at the given address. The name is empty for a request without one. The error matches
// ErrUnreachable when no connection could be made.
func (p *Pool) Get(ctx context.Context, identity, address, request string) (*Conn, error) {
	key := identity + "@" + address
	if request == "" {
		return p.dial(ctx, key, address)
	}
	hash := maphash.String(p.seed, request)
	c := p.takeIdle(key, hash)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, key, address); err != nil {
			return nil, err
		}
	}
	c.carried = append(c.carried, hash)
	return c, nil
}

// Connect opens an idle connection to a target, to see whether that is possible. The error matches
// ErrUnreachable.
func (p *Pool) Connect(ctx context.Context, identity, address string) error {
	c, err := p.dial(ctx, identity+"@"+address, address)
	if err != nil {
		return err
	}
	p.keep(c, defaultKeepAlive)
	return nil
}

// StaysOpen opens a connection to a target, and reports whether the target has neither ended it nor written to
// it when something arrives on the channel wait. The connection becomes an idle one if so.
func (p *Pool) StaysOpen(ctx context.Context, identity, address string, wait <-chan time.Duration) bool {
	c, err := p.dial(ctx, identity+"@"+address, address)
	if err != nil {
		return false
	}
	<-wait
	if ctx.Err() != nil || !c.stillOpen() {
		c.Close()
		return false
	}
	p.keep(c, defaultKeepAlive)
	return true
}

// keep adds a connection that may be idle for a time, or closes it if there are enough.
func (p *Pool) keep(c *Conn, limit time.Duration) {
	c.idleSince, c.idleLimit = time.Now(), limit
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.maxIdle {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

func (p *Pool) dial(ctx context.Context, key, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	conn, err := p.open(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	setUserTimeout(conn, userTimeout)
	resets := &resetConn{Conn: conn}
	source := &boundedConn{Conn: resets}
	return &Conn{
		conn: conn, resets: resets, source: source, key: key,
		reader: bufio.NewReaderSize(source, readBufferBytes), writer: bufio.NewWriterSize(resets, writeBufferBytes),
	}, nil
}

// takeIdle returns an idle connection that can carry a request with the given hash, or nil.
func (p *Pool) takeIdle(key string, hash uint64) *Conn {
	now := time.Now()
	for {
		c := p.popIdle(key, hash)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleLimit && c.stillOpen() {
			c.reused = len(c.carried) > 0
			return c
		}
		c.Close()
	}
}

// popIdle removes and returns the newest of the idle connections that have not carried a request with
// the given hash, or nil.
func (p *Pool) popIdle(key string, hash uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if slices.Contains(c.carried, hash) {
			continue
		}
		if p.idle[key] = slices.Delete(list, i, i+1); len(list) == 1 {
			delete(p.idle, key)
		}
		return c
	}
	return nil
}

// Put returns a connection to the pool after its answer was read completely. The
// duration keep is the keep-alive timeout that the target announced, or 0.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if !c.reusable() || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	limit := defaultKeepAlive
	if keep > 0 {
		limit = keep / keepAliveDivisor
	}
	p.keep(c, limit)
}

// Expire closes connections that have been idle for too long, and those that their targets have
// closed or write on.
func (p *Pool) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit && c.stillOpen() {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}
