package soak_test

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// anySource matches every source of a link.
	anySource = "*"
	// halfOfSources matches about every second connection of a link, whatever its source: connections to targets
	// do not come from the address of their instance.
	halfOfSources = "half"
	// copyBufferBytes is the size of a copy buffer in bytes.
	copyBufferBytes = 16 << 10
	// blockPollInterval is the interval at which a blocked connection checks whether it is
	// still blocked.
	blockPollInterval = 5 * time.Millisecond
)

// link identifies the connections from one process to another.
type link struct{ from, to string }

// connEnd is the end of a proxied connection that one of its two parts leads to.
type connEnd int

const (
	sourceEnd connEnd = iota
	destinationEnd
)

// linkState counts the faults that affect a link at present, by kind. It is the zero value
// without faults.
type linkState struct {
	forwardBlocks  int // faults that block traffic from the source
	backwardBlocks int // faults that block traffic to the source
	delays         int // faults that delay traffic
	narrow         int // faults that let few bytes a second pass to the source
}

// narrowBytes is how many bytes a second pass to the source of a narrow link, on each connection.
const narrowBytes = 40 << 10

// network holds the state of all links. Its proxies apply to each connection the faults
// of the link between its two ends.
type network struct {
	mu      sync.Mutex // guards the rest
	links   map[link]linkState
	conns   map[link]map[net.Conn]connEnd
	names   map[string]string // names of processes by IP address
	closers []func()
	active  sync.WaitGroup
}

func newNetwork() *network {
	return &network{links: map[link]linkState{}, conns: map[link]map[net.Conn]connEnd{}, names: map[string]string{}}
}

// setName sets the name of the process whose connections come from an IP address.
func (n *network) setName(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = name
}

// updateState updates the state of a link.
func (n *network) updateState(l link, update func(s *linkState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.links[l]
	update(&s)
	n.links[l] = s
}

// clearFaults ends all faults.
func (n *network) clearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// reset resets the connections of a link, at both ends.
func (n *network) reset(l link) {
	n.closeConns(l, resetConn, sourceEnd, destinationEnd)
}

// end closes the connections of a link in the orderly way for their sources, also in the middle of an answer.
func (n *network) end(l link) {
	n.closeConns(l, func(c net.Conn) { _ = c.Close() }, sourceEnd) // it may be closed already
}

// closeConns closes the connections of a link at the given ends first. The proxy resets the other end.
func (n *network) closeConns(l link, closeConn func(net.Conn), ends ...connEnd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, conns := range n.conns {
		if key.to != l.to || l.from != anySource && l.from != halfOfSources && key.from != l.from {
			continue
		}
		for c, end := range conns {
			if slices.Contains(ends, end) && (l.from != halfOfSources || end == sourceEnd && inHalf(c)) {
				closeConn(c)
			}
		}
	}
}

// inHalf reports whether a connection is one of the half that halfOfSources matches. The kernel prefers
// ports of one parity, so that the lowest bit tells nothing.
func inHalf(c net.Conn) bool {
	sum := 0
	for _, a := range []net.Addr{c.LocalAddr(), c.RemoteAddr()} {
		if tcp, ok := a.(*net.TCPAddr); ok {
			sum += tcp.Port
		}
	}
	return sum/2%2 == 0
}

// resetConn closes a connection with a reset instead of a FIN.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if it is closed already
	}
	_ = c.Close() // the connection is abandoned either way
}

// state returns the state of a link, including the faults that affect every source.
func (n *network) state(l link) linkState {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, anyState := n.links[l], n.links[link{anySource, l.to}]
	return linkState{forwardBlocks: s.forwardBlocks + anyState.forwardBlocks, backwardBlocks: s.backwardBlocks + anyState.backwardBlocks, delays: s.delays + anyState.delays, narrow: s.narrow + anyState.narrow}
}

// proxy forwards connections from an address to the target address of the named process.
// It returns the address at which it listens.
func (n *network) proxy(address, to, target string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.closers = append(n.closers, func() { _ = listener.Close() })
	n.mu.Unlock()
	n.active.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the network is closed
			}
			n.active.Go(func() { n.forward(conn, to, target) })
		}
	})
	return listener.Addr().String(), nil
}

// close closes all proxies and connections and waits for their goroutines.
func (n *network) close() {
	n.clearFaults()
	n.mu.Lock()
	for _, closeListener := range n.closers {
		closeListener()
	}
	for _, conns := range n.conns {
		for c := range conns {
			_ = c.Close() // the connection is abandoned either way
		}
	}
	n.mu.Unlock()
	n.active.Wait()
}

func (n *network) forward(source net.Conn, to, target string) {
	host, _, err := net.SplitHostPort(source.RemoteAddr().String())
	if err != nil {
		host = ""
	}
	n.mu.Lock()
	l := link{n.names[host], to}
	n.mu.Unlock()
	defer n.track(l, source, sourceEnd)()
	var destination net.Conn
	for {
		if n.state(l).forwardBlocks == 0 {
			if destination, err = net.Dial("tcp", target); err != nil {
				return
			}
			break
		}
		time.Sleep(blockPollInterval)
	}
	defer n.track(l, destination, destinationEnd)()
	var directions sync.WaitGroup
	directions.Go(func() {
		n.copyDirection(destination, source, func() direction { s := n.state(l); return direction{s.forwardBlocks > 0, s.delays > 0, false} })
	})
	directions.Go(func() {
		n.copyDirection(source, destination, func() direction { s := n.state(l); return direction{s.backwardBlocks > 0, s.delays > 0, s.narrow > 0} })
	})
	directions.Wait()
}

// track records a connection of a link until the returned function closes it.
func (n *network) track(l link, c net.Conn, end connEnd) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[l] == nil {
		n.conns[l] = map[net.Conn]connEnd{}
	}
	n.conns[l][c] = end
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns[l], c)
		_ = c.Close() // it may be closed already
	}
}

// direction is how faults affect one direction of a connection.
type direction struct{ blocked, delayed, narrow bool }

// copyDirection forwards one direction of a connection. Blocked bytes are forwarded later,
// as after a retransmission in a real network.
func (n *network) copyDirection(to, from net.Conn, faults func() direction) {
	buffer := make([]byte, copyBufferBytes)
	for {
		size, err := from.Read(buffer)
		state := faults()
		if state.delayed {
			time.Sleep(linkDelay)
		}
		if state.narrow {
			time.Sleep(time.Duration(size) * time.Second / narrowBytes)
		}
		for state.blocked {
			time.Sleep(blockPollInterval)
			state = faults()
		}
		if size > 0 {
			if _, writeErr := to.Write(buffer[:size]); writeErr != nil {
				resetConn(from) // ends the other direction too
				return
			}
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

// closeWrite closes a direction in the way that its source closed it.
func closeWrite(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err != io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
		resetConn(to) // an orderly end could pass for the end of an answer
		return
	}
	_ = tcp.CloseWrite() // it may be closed already
}

// TestNetwork checks that a link forwards bytes, blocks them in either direction, and
// resets connections.
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
	n.setName("127.0.0.1", "caller")
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
	for _, l := range []link{{"caller", "echo"}, {anySource, "echo"}} {
		n.updateState(l, func(s *linkState) { s.forwardBlocks++ })
		require.False(t, echo())
		n.updateState(l, func(s *linkState) { s.forwardBlocks-- })
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(make([]byte, 1))
		require.NoError(t, err, "blocked bytes arrive later")
	}
	n.updateState(link{"caller", "echo"}, func(s *linkState) { s.narrow++ })
	begun := time.Now()
	_, err = conn.Write(make([]byte, narrowBytes/10))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, narrowBytes/10))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond, "a narrow link takes its time")
	n.updateState(link{"caller", "echo"}, func(s *linkState) { s.backwardBlocks++ })
	require.False(t, echo())
	n.reset(link{"caller", "echo"})
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	n.close()
	require.NoError(t, server.Close())
}

// TestProxyPassesResetsOn checks that a connection that its target resets does not end in the
// orderly way for the other side.
func TestProxyPassesResetsOn(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 1))
		resetConn(c)
	}()
	n := newNetwork()
	address, err := n.proxy("127.0.0.1:0", "target", server.Addr().String())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	n.close()
	require.NoError(t, server.Close())
}

// TestConnectionsEnd checks that connections can be ended in the orderly way, in the middle of an answer, and
// that this concerns about half of them if it is to.
func TestConnectionsEnd(t *testing.T) {
	const connections = 64
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("beginning"))
		}
	}()
	n := newNetwork()
	address, err := n.proxy("127.0.0.1:0", "target", server.Addr().String())
	require.NoError(t, err)
	var conns []net.Conn
	for range connections {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, len("beginning")))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	n.end(link{halfOfSources, "target"})
	ended := 0
	for _, conn := range conns {
		if inHalf(conn) {
			_, err := io.ReadAll(conn)
			require.NoError(t, err, "an orderly end")
			ended++
		}
	}
	require.Positive(t, ended)
	require.Less(t, ended, connections)
	n.end(link{anySource, "target"})
	for _, conn := range conns {
		_, err := io.ReadAll(conn)
		require.NoError(t, err, "an orderly end")
	}
	n.close()
	require.NoError(t, server.Close())
}
