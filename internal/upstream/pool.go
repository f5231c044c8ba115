package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// keepUnknown is how long a connection is kept idle when its target does not
	// tell how long it keeps it.
	keepUnknown = 2 * time.Second
	// keepPart is the part of the target's own time, as a divisor, after which an
	// idle connection is not used any more: it must not be closed while a request
	// is on its way.
	keepPart = 2
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
)

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	maxIdle     int

	mu   sync.Mutex // guards idle; never held while another lock is taken
	idle map[string][]*Conn
}

// NewPool returns an empty pool that keeps at most maxIdle idle connections to
// one target.
func NewPool(dialTimeout time.Duration, maxIdle int) *Pool {
	return &Pool{dialTimeout: dialTimeout, maxIdle: maxIdle, idle: map[string][]*Conn{}}
}

// Get returns a connection to the target with an identity at an address. The
// error matches ErrUnreachable when none could be made.
func (p *Pool) Get(ctx context.Context, identity, address string) (*Conn, error) {
	key := identity + "@" + address
	if c := p.take(key); c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: p.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	setUserTimeout(conn, userTimeout)
	return &Conn{
		conn: conn, key: key,
		reader: bufio.NewReaderSize(conn, readBuffer), writer: bufio.NewWriterSize(conn, writeBuffer),
	}, nil
}

func (p *Pool) take(key string) *Conn {
	now := time.Now()
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if now.Sub(c.idle) < c.keep && c.silent() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if p.idle[key] = list[:len(list)-1]; len(list) == 1 {
		delete(p.idle, key)
	}
	return c
}

// Put takes back a connection whose answer was read whole. Keep is how long the
// target keeps it, 0 when it did not say.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if !c.clean() || c.Bound(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idle, c.keep = time.Now(), keepUnknown
	if keep > 0 {
		c.keep = keep / keepPart
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= p.maxIdle {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Expire closes connections that were idle for too long.
func (p *Pool) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idle) < c.keep {
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
