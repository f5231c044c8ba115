package peer

import (
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Pool holds one client for each requested peer address. It is safe for concurrent
// use.
type Pool struct {
	creds   *Credentials
	traffic *Traffic

	mu      sync.Mutex // guards clients; never held while another lock is taken
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(creds *Credentials, traffic *Traffic) *Pool {
	return &Pool{creds: creds, traffic: traffic, clients: map[string]*Client{}}
}

// Client returns the client for the peer at an address. It returns an error unless the
// address is an IP address with a port.
func (p *Pool) Client(address string) (*Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c, nil
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "cannot parse peer address")
	}
	c := NewClient(addr, p.creds, p.traffic)
	p.clients[address] = c
	return c, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
