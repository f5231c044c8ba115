package cli

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
)

const (
	callTimeout = 6 * time.Second
	tryPause    = 200 * time.Millisecond
)

// client calls the replicas, one after the other until one can answer. A change
// may be sent twice: its identity makes that harmless.
type client struct {
	peers   []inifile.Peer
	clients []*peer.Client
	timeout time.Duration
}

func newClient(peers []inifile.Peer, creds *peer.Credentials, timeout time.Duration) *client {
	c := &client{peers: peers, timeout: timeout}
	traffic := &peer.Traffic{}
	for _, p := range peers {
		c.clients = append(c.clients, peer.NewClient(p.Address, creds, traffic))
	}
	return c
}

func (c *client) close() {
	for _, p := range c.clients {
		p.Close()
	}
}

// any calls the replicas in turn until one answers or the time is up.
func (c *client) any(method string, request, response proto.Message) error {
	deadline := time.Now().Add(c.timeout)
	last := errors.New("there are no replicas")
	for {
		for i := range c.clients {
			err := c.at(i, method, request, response)
			if err == nil {
				return nil
			}
			last = errors.Wrapf(err, "replica %s", c.peers[i].Name)
			if strings.Contains(err.Error(), "does not permit") {
				return &exitError{ExitFailed, last}
			}
		}
		if time.Now().After(deadline) {
			return &exitError{ExitUnreachable, last}
		}
		time.Sleep(tryPause)
	}
}

// at calls one replica.
func (c *client) at(i int, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(callTimeout, c.timeout))
	defer cancel()
	return c.clients[i].Call(ctx, method, request, response)
}
