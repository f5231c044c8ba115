package main

import (
	"net"
	"sync"
	"time"
)

// network is the links between the machines' own processes: one proxy before each machine that others reach there.
type network struct {
	mu      sync.Mutex
	cut     map[[2]string]bool // pairs of addresses whose packets are held up, in both orders
	healed  chan struct{}      // closed and replaced when a cut ends
	proxies []net.Listener
}

func newNetwork() *network {
	return &network{cut: map[[2]string]bool{}, healed: make(chan struct{})}
}

// before puts a proxy before the peer port of a machine, and has the machine name the proxy's address to the others
// and connect to them from its own address.
func (n *network) before(m *machine, proxyIP string) error {
	listener, err := net.Listen("tcp", proxyIP+":"+peerPort)
	if err != nil {
		return err
	}
	m.extra["listen"] = []string{"advertised-peers = " + proxyIP + ":" + peerPort, "source = " + m.ip + ":0"}
	n.proxies = append(n.proxies, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn, m.ip)
		}
	}()
	return nil
}

func (n *network) isCut(a, b string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}], n.healed
}

// separate begins a cut between one address and others.
func (n *network) separate(one string, others ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		n.cut[[2]string{one, other}], n.cut[[2]string{other, one}] = true, true
	}
}

// heal ends all cuts. What was held up on connections that were open before is delivered.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]string]bool{}
	close(n.healed)
	n.healed = make(chan struct{})
}

// serve joins a connection with one to the machine. A connection that begins during a cut carries nothing.
func (n *network) serve(conn net.Conn, to string) {
	defer func() { _ = conn.Close() }()
	from, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return
	}
	if cut, healed := n.isCut(from, to); cut {
		<-healed
		return
	}
	target, err := net.DialTimeout("tcp", to+":"+peerPort, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	var copying sync.WaitGroup
	copying.Go(func() { n.carry(target, conn, from, to) })
	copying.Go(func() { n.carry(conn, target, from, to) })
	copying.Wait()
}

// carry passes bytes on, and the end of the connection behind them. During a cut they wait.
func (n *network) carry(to, from net.Conn, a, b string) {
	buffer := make([]byte, 32<<10)
	for {
		read, err := from.Read(buffer)
		for cut, healed := n.isCut(a, b); cut; cut, healed = n.isCut(a, b) {
			<-healed
		}
		if read > 0 {
			if _, err := to.Write(buffer[:read]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (n *network) close() {
	for _, p := range n.proxies {
		_ = p.Close()
	}
	n.heal()
}
