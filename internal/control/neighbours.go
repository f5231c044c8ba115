package control

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// askInterval is how often a replica asks the others whether they are there, and
	// askTime bounds the answer.
	askInterval = time.Second
	askTime     = 400 * time.Millisecond
	// shareTime bounds the handing of loads to the leader.
	shareTime = 400 * time.Millisecond
)

const (
	methodIdentity  = "Control.Identity"
	methodPostLoads = "Control.PostLoads"
)

// Neighbours knows which replicas are there and where, so that each engine has one
// reader: a replica of its own failure domain where there is one.
type Neighbours struct {
	service *Service
	domain  string

	mu      sync.Mutex        // guards domains; never held while another lock is taken
	domains map[string]string // of the replicas that answered last time, by address
}

// NewNeighbours returns the neighbours of a replica in a failure domain.
func NewNeighbours(service *Service, domain string) *Neighbours {
	service.domain = domain
	return &Neighbours{service: service, domain: domain, domains: map[string]string{}}
}

// Run asks until the context ends and reports its end on the returned channel.
func (n *Neighbours) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range n.service.timers.Subscribe(ctx, askInterval) {
			n.ask(ctx)
		}
		done <- nil
	}()
	return done
}

func (n *Neighbours) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	standing, err := n.service.node.Standing(ctx)
	if err != nil {
		return // the replica is stopping or its disk hangs; the last answers count on
	}
	found := map[string]string{}
	var mu sync.Mutex // guards found
	var asking sync.WaitGroup
	for _, address := range unique(standing.Addresses(), n.service.self) {
		asking.Go(func() {
			identity := &wire.ReplicaIdentity{}
			client, err := n.service.peers.Client(address)
			if err != nil || client.Call(ctx, methodIdentity, &wire.Empty{}, identity) != nil {
				return // it is not there
			}
			mu.Lock()
			defer mu.Unlock()
			found[address] = identity.GetFailureDomain()
		})
	}
	asking.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains = found
}

// Reads reports whether this replica is the reader of an engine in a failure domain.
func (n *Neighbours) Reads(engine, domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.service.self
	home := n.domain == domain
	for _, d := range n.domains {
		home = home || d == domain
	}
	if home && n.domain != domain {
		return false
	}
	mine := weight(engine, self)
	for address, d := range n.domains {
		if (!home || d == domain) && weight(engine, address) > mine {
			return false
		}
	}
	return true
}

// weight ranks replicas for an engine (rendezvous hashing).
func weight(engine, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(engine + "/" + replica)) // a hash does not fail
	return h.Sum64()
}

// ShareLoads hands loads that were read here to the leader, which hands them to all
// instances.
func (n *Neighbours) ShareLoads(ctx context.Context, loads []*wire.Load) {
	ctx, cancel := context.WithTimeout(ctx, shareTime)
	defer cancel()
	if err := n.service.askLeader(ctx, methodPostLoads, &wire.Loads{Loads: loads}, &wire.Empty{}); err != nil {
		n.service.log.V(1).Info("loads not handed to the leader", "reason", err.Error())
	}
}

// PostLoads takes loads that another replica has read.
func (c *controlCalls) PostLoads(loads *wire.Loads, _ *wire.Empty) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	c.service.board.PostLoads(loads.GetLoads(), c.service.timers.Now())
	return nil
}
