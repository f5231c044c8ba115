package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// anyone stands for every source of a link.
	anyone = "*"
	// chunk is how much is passed on at a time, in bytes.
	chunk = 16 << 10
	// linkCheck is how often a connection that is held looks whether it may go on.
	linkCheck = 5 * time.Millisecond
)

// link names a direction between two processes.
type link struct{ from, to string }

// state is how a link is disturbed. It is the zero value without faults. Faults of a kind
// that overlap are counted.
type state struct {
	silent int // directions from the source
	back   int // directions to the source
	slow   int
}

// network is the state of all links. Its proxies treat each connection as the link
// between its two ends says.
type network struct {
	mu    sync.Mutex // guards the rest
	links map[link]state
	conns map[link]map[net.Conn]struct{}
	names map[string]string // of processes, by IP number
	ends  []func()
	open  sync.WaitGroup
}

func newNetwork() *network {
	return &network{links: map[link]state{}, conns: map[link]map[net.Conn]struct{}{}, names: map[string]string{}}
}

// name tells the network whose connections come from an IP number.
func (n *network) name(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = name
}

// change changes how a link is disturbed.
func (n *network) change(l link, by func(s *state)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.links[l]
	by(&s)
	n.links[l] = s
}

// heal ends all disturbances.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// reset resets the connections of a link.
func (n *network) reset(l link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for have, conns := range n.conns {
		if have.to != l.to || l.from != anyone && have.from != l.from {
			continue
		}
		for c := range conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset in place of an end
			}
			_ = c.Close() // it is given up either way
		}
	}
}

// of returns the state of a link, that of any source included.
func (n *network) of(l link) state {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, all := n.links[l], n.links[link{anyone, l.to}]
	return state{silent: s.silent + all.silent, back: s.back + all.back, slow: s.slow + all.slow}
}

// proxy passes connections to an address on to the process with a name, at another one.
func (n *network) proxy(address, to, target string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.ends = append(n.ends, func() { _ = listener.Close() })
	n.mu.Unlock()
	n.open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the network is closed
			}
			n.open.Go(func() { n.pass(conn, to, target) })
		}
	})
	return listener.Addr().String(), nil
}

// close ends all proxies and connections.
func (n *network) close() {
	n.heal()
	n.mu.Lock()
	for _, end := range n.ends {
		end()
	}
	for _, conns := range n.conns {
		for c := range conns {
			_ = c.Close() // it is given up either way
		}
	}
	n.mu.Unlock()
	n.open.Wait()
}

func (n *network) pass(source net.Conn, to, target string) {
	host, _, err := net.SplitHostPort(source.RemoteAddr().String())
	if err != nil {
		host = ""
	}
	n.mu.Lock()
	l := link{n.names[host], to}
	n.mu.Unlock()
	defer n.track(l, source)()
	var destination net.Conn
	for {
		if n.of(l).silent == 0 {
			if destination, err = net.Dial("tcp", target); err != nil {
				return
			}
			break
		}
		time.Sleep(linkCheck)
	}
	defer n.track(l, destination)()
	var copying sync.WaitGroup
	copying.Go(func() {
		n.copy(destination, source, func() (bool, bool) { s := n.of(l); return s.silent > 0, s.slow > 0 })
	})
	copying.Go(func() {
		n.copy(source, destination, func() (bool, bool) { s := n.of(l); return s.back > 0, s.slow > 0 })
	})
	copying.Wait()
}

// track notes a connection of a link until the returned function closes it.
func (n *network) track(l link, c net.Conn) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[l] == nil {
		n.conns[l] = map[net.Conn]struct{}{}
	}
	n.conns[l][c] = struct{}{}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns[l], c)
		_ = c.Close() // it may be closed already
	}
}

// copy passes on one direction; what is held is passed on later, as a network does that
// sends again.
func (n *network) copy(to, from net.Conn, disturbed func() (held, slow bool)) {
	buffer := make([]byte, chunk)
	for {
		size, err := from.Read(buffer)
		held, slow := disturbed()
		if slow {
			time.Sleep(linkDelay)
		}
		for held {
			time.Sleep(linkCheck)
			held, _ = disturbed()
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				_ = from.Close() // the other direction ends with it
				return
			}
		}
		if err != nil {
			passEnd(to, err)
			return
		}
	}
}

// passEnd ends a direction as its source ended it.
func passEnd(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err != io.EOF { //nolint:errorlint // Read returns it as it is
		_ = to.Close() // a reset ends both directions
		return
	}
	_ = tcp.CloseWrite() // it may be closed already
}

// TestNetwork: a link passes bytes, holds them back either way, and resets.
func TestNetwork(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	n := newNetwork()
	n.name("127.0.0.1", "caller")
	address, err := n.proxy("127.0.0.1:0", "echo", server.Addr().String())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	echo := func() bool {
		_, err := conn.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = conn.Read(make([]byte, 1))
		return err == nil
	}
	require.True(t, echo())
	for _, l := range []link{{"caller", "echo"}, {anyone, "echo"}} {
		n.change(l, func(s *state) { s.silent++ })
		require.False(t, echo())
		n.change(l, func(s *state) { s.silent-- })
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(make([]byte, 1))
		require.NoError(t, err, "what was held comes later")
	}
	n.change(link{"caller", "echo"}, func(s *state) { s.back++ })
	require.False(t, echo())
	n.reset(link{"caller", "echo"})
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	n.close()
	require.NoError(t, server.Close())
}
