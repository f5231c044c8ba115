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
	callTimeout   = 6 * time.Second
	retryInterval = 200 * time.Millisecond
)

// client calls the replicas one after another until one answers. A change may be
// sent more than once: replicas deduplicate changes by their identity.
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

// callAny calls the replicas in turn until one answers or the client's timeout expires.
func (c *client) callAny(method string, request, response proto.Message) error {
	deadline := time.Now().Add(c.timeout)
	lastErr := errors.New("no replicas are configured")
	for {
		for i := range c.clients {
			err := c.callReplica(i, method, request, response)
			if err == nil {
				return nil
			}
			lastErr = errors.Wrapf(err, "replica %s", c.peers[i].Name)
			if strings.Contains(err.Error(), "does not permit") {
				return &exitError{ExitFailed, lastErr}
			}
		}
		if time.Now().After(deadline) {
			return &exitError{ExitUnreachable, lastErr}
		}
		time.Sleep(retryInterval)
	}
}

// callReplica calls the replica with index i.
func (c *client) callReplica(i int, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(callTimeout, c.timeout))
	defer cancel()
	return c.clients[i].Call(ctx, method, request, response)
}
