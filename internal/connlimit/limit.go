// Package connlimit bounds the connections of a listener: all of them, those that have not sent a complete
// request head, and both by source address.
package connlimit

import (
	"container/list"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
)

// Limits are numbers of connections; 0 stands for no limit.
type Limits struct {
	Open              int // connections
	Headless          int // connections that have not sent a complete head
	OpenByAddress     int
	HeadlessByAddress int
}

// bufferBytes is the size of the operating system's buffers of a connection in each direction. By themselves they
// grow to megabytes for a sender that is not read, or a reader that does not read, and take the machine's memory.
const bufferBytes = 64 << 10

// logInterval bounds the log lines about connections that were closed.
const logInterval = 10 * time.Second

// Listener is a listener whose connections are limited. A connection over a limit is closed: the oldest of
// those that have not sent a complete head, or else the new one.
type Listener struct {
	net.Listener
	log     logr.Logger
	limits  Limits
	bounded bool         // the operating system's buffers have bufferBytes
	closed  atomic.Int64 // connections that were closed over a limit

	mu        sync.Mutex // guards the rest; never held while another lock is taken
	open      int
	headless  *list.List // of *Conn, the oldest first
	addresses map[string]*address
	logged    time.Time
}

type address struct{ open, headless int }

// New returns a limited listener.
func New(log logr.Logger, listener net.Listener, limits Limits) *Listener {
	return &Listener{Listener: listener, log: log, limits: limits, headless: list.New(), addresses: map[string]*address{}}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Closed returns the number of connections so far that were closed over a limit.
func (l *Listener) Closed() int64 { return l.closed.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && l.bounded {
			_ = tcp.SetReadBuffer(bufferBytes) // without it the buffer has the usual size
			_ = tcp.SetWriteBuffer(bufferBytes)
		}
		limited := &Conn{Conn: conn, listener: l, address: host(conn)}
		victim := l.add(limited)
		if victim != nil {
			_ = victim.Close() // nothing that was read from it has begun to run
		}
		if victim != limited {
			return limited, nil
		}
	}
}

func host(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// add counts a connection, and returns the one to close if that is one too many.
func (l *Listener) add(c *Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.addresses[c.address]
	if from == nil {
		from = &address{}
		l.addresses[c.address] = from
	}
	l.open++
	from.open++
	from.headless++
	c.element = l.headless.PushBack(c)
	var victim *Conn
	switch {
	case exceeds(from.open, l.limits.OpenByAddress), exceeds(from.headless, l.limits.HeadlessByAddress):
		victim = l.oldest(c.address)
	case exceeds(l.open, l.limits.Open), exceeds(l.headless.Len(), l.limits.Headless):
		victim = l.headless.Front().Value.(*Conn)
	default:
		return nil
	}
	l.forgetHead(victim)
	l.closed.Add(1)
	if now := time.Now(); now.Sub(l.logged) > logInterval {
		l.logged = now
		l.log.Info("connections over the limit are closed", "listener", l.Addr().String(), "address", c.address,
			"open", l.open, "headless", l.headless.Len(), "closed-so-far", l.closed.Load())
	}
	return victim
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }

// oldest returns the oldest connection from an address without a complete head.
func (l *Listener) oldest(from string) *Conn {
	for e := l.headless.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*Conn); ok && c.address == from {
			return c
		}
	}
	return nil // not reached: the new connection is one
}

// forgetHead counts a connection no more among those without a complete head. It is called with the lock held.
func (l *Listener) forgetHead(c *Conn) {
	if c.element == nil {
		return
	}
	l.headless.Remove(c.element)
	c.element = nil
	l.addresses[c.address].headless--
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetHead(c)
	l.open--
	from := l.addresses[c.address]
	if from.open--; from.open == 0 {
		delete(l.addresses, c.address)
	}
}

// Conn is a connection of a limited listener.
type Conn struct {
	net.Conn
	listener *Listener
	address  string
	element  *list.Element // among those without a complete head; guarded by the listener's lock
	once     sync.Once
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.listener.remove(c) })
	return err
}

// CloseWrite closes the writing side, as net/http does before it closes a connection that is still sending.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that was not sent.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// HeadComplete states that a request head, or a first message, has arrived.
func (c *Conn) HeadComplete() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.forgetHead(c)
}

// ConnState is to be the hook of an http.Server on a limited listener: it notes complete heads.
func ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateActive {
		HeadComplete(conn)
	}
}

// HeadComplete states that a request head, or a first message, has arrived on a connection, if a limited
// listener has accepted it.
func HeadComplete(conn net.Conn) {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	if c, ok := conn.(*Conn); ok {
		c.HeadComplete()
	}
}

// LimitClients is like Limit for a listener of clients that are not the system's own processes: it bounds the operating
// system's buffers too.
func LimitClients(log logr.Logger, metrics *telemetry.Metrics, name string, listener net.Listener, s settings.Limits) *Listener {
	l := Limit(log, metrics, name, listener, s)
	l.bounded = true
	return l
}

// Limit returns a listener with the limits of the settings, whose connections the metrics show under a name.
func Limit(log logr.Logger, metrics *telemetry.Metrics, name string, listener net.Listener, s settings.Limits) *Listener {
	l := New(log, listener, Limits{
		Open: s.MaxConnections, Headless: s.MaxUnreadHeads, OpenByAddress: s.MaxAddressConnections, HeadlessByAddress: s.MaxAddressUnreadHeads,
	})
	metrics.Gauge(fmt.Sprintf("vanillaward_listener_connections{listener=%q}", name), func() float64 { return float64(l.Open()) })
	metrics.Gauge(fmt.Sprintf("vanillaward_listener_closed_connections{listener=%q}", name), func() float64 { return float64(l.Closed()) })
	return l
}
