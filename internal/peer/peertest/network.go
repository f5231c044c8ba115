// Package peertest is a network in memory whose hosts have links of a given width, for tests
// under the virtual time of testing/synctest.
package peertest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// segmentBytes is how much a link carries of one connection before the next one's turn.
const segmentBytes = 1460

// errRefused is returned for an address at which nothing listens.
var errRefused = errors.New("nothing listens at this address")

// Network connects hosts. Writers never wait: what a link has not carried yet is kept.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*listener
	links     map[string]*link // incoming, by host
	pipes     []*pipe
	separated map[[2]string]bool // pairs of hosts between which nothing passes
}

// New returns a network without hosts.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, links: map[string]*link{}, separated: map[[2]string]bool{}}
}

// Separate partitions two hosts without narrow links. Until Heal, what they send each other is held up and connections
// between them cannot be opened.
func (n *Network) Separate(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separated[[2]string{a, b}], n.separated[[2]string{b, a}] = true, true
	for _, p := range n.pipes {
		if n.separated[p.hosts] {
			p.hold()
		}
	}
}

// Heal ends all partitions. What was held up arrives.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separated = map[[2]string]bool{}
	for _, p := range n.pipes {
		p.release()
	}
}

// Narrow limits what a host receives to a number of bytes a second, from all its connections
// together, until the context ends.
func (n *Network) Narrow(ctx context.Context, host string, bytesPerSecond int) {
	l := &link{bytesPerSecond: bytesPerSecond, queued: make(chan struct{}, 1)}
	n.mu.Lock()
	n.links[host] = l
	n.mu.Unlock()
	go l.run(ctx)
}

// Received returns the bytes that a narrowed host's link has carried.
func (n *Network) Received(host string) int {
	n.mu.Lock()
	l := n.links[host]
	n.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// Listen returns a listener at an address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// DialFrom returns a function that connects a host to addresses.
func (n *Network) DialFrom(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		other := netip.MustParseAddrPort(address).Addr().String()
		n.mu.Lock()
		separated := n.separated[[2]string{host, other}]
		n.mu.Unlock()
		if separated {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l := n.listeners[address]
		if l == nil {
			return nil, errRefused
		}
		to, from := newPipe(n.links[host], other, host), newPipe(n.links[other], host, other)
		n.pipes = append(n.pipes, to, from)
		client := &conn{in: to, out: from, local: host + ":1", remote: address}
		server := &conn{in: from, out: to, local: address, remote: host + ":1"}
		select {
		case l.conns <- server:
			return client, nil
		case <-l.closed:
			return nil, errRefused
		}
	}
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// link carries the bytes of a host's connections in turn.
type link struct {
	bytesPerSecond int
	queued         chan struct{} // has an element when a pipe was added

	mu      sync.Mutex // guards the fields below
	pipes   []*pipe    // that have bytes to carry
	carried int
}

func (l *link) add(p *pipe) {
	l.mu.Lock()
	l.pipes = append(l.pipes, p)
	l.mu.Unlock()
	select {
	case l.queued <- struct{}{}:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	for {
		p := l.next()
		if p == nil {
			select {
			case <-l.queued:
				continue
			case <-ctx.Done():
				return
			}
		}
		segment := p.take()
		time.Sleep(time.Duration(len(segment)) * time.Second / time.Duration(l.bytesPerSecond))
		if p.deliver(segment) {
			l.add(p)
		}
		l.mu.Lock()
		l.carried += len(segment)
		l.mu.Unlock()
	}
}

func (l *link) next() *pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pipes) == 0 {
		return nil
	}
	p := l.pipes[0]
	l.pipes = l.pipes[1:]
	return p
}

// pipe is one direction of a connection.
type pipe struct {
	link  *link     // nil carries at once
	hosts [2]string // from and to

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	unsent  []byte
	arrived []byte
	onLink  bool // bytes are unsent or under way
	closed  bool // by the writer; what is unsent still arrives
	broken  bool // by the reader; what is unsent is dropped
	held    bool // by a partition
}

func newPipe(l *link, from, to string) *pipe {
	p := &pipe{link: l, hosts: [2]string{from, to}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.broken {
		return 0, io.ErrClosedPipe
	}
	if p.held {
		p.unsent = append(p.unsent, data...)
		return len(data), nil
	}
	if p.link == nil {
		p.arrived = append(p.arrived, data...)
		p.changed.Broadcast()
		return len(data), nil
	}
	p.unsent = append(p.unsent, data...)
	if !p.onLink {
		p.onLink = true
		p.link.add(p)
	}
	return len(data), nil
}

// hold holds up what is written from now on, and the end of the connection.
func (p *pipe) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.onLink = true, true
}

// release lets arrive what was held up.
func (p *pipe) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held {
		return
	}
	p.arrived = append(p.arrived, p.unsent...)
	p.held, p.onLink, p.unsent = false, false, nil
	p.changed.Broadcast()
}

// take removes the next segment that the link carries.
func (p *pipe) take() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(segmentBytes, len(p.unsent))
	segment := p.unsent[:n]
	p.unsent = p.unsent[n:]
	return segment
}

// deliver hands the reader a segment, and reports whether there is more to carry.
func (p *pipe) deliver(segment []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived = append(p.arrived, segment...)
	p.onLink = len(p.unsent) > 0
	p.changed.Broadcast()
	return p.onLink
}

func (p *pipe) read(into []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.arrived) == 0 {
		if p.broken {
			return 0, net.ErrClosed
		}
		if p.closed && !p.onLink {
			return 0, io.EOF
		}
		p.changed.Wait()
	}
	n := copy(into, p.arrived)
	p.arrived = p.arrived[n:]
	return n, nil
}

func (p *pipe) close(byReader bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if byReader {
		p.broken, p.unsent = true, nil // what the reader did not wait for is not carried
	}
	p.closed = true
	p.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote string
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.close(true)
	c.out.close(false)
	return nil
}

func (c *conn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.local))
}

func (c *conn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.remote))
}

// Deadlines are not needed: writers never wait, and readers wait until the connection is closed.
func (c *conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
