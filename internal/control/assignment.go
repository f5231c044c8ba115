package control

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// probeInterval is how often a replica checks which other replicas respond, and
	// probeTimeout bounds the wait for their responses.
	probeInterval = time.Second
	probeTimeout  = 400 * time.Millisecond
	// shareTimeout bounds sending loads to the leader.
	shareTimeout = 400 * time.Millisecond
)

const (
	methodIdentity  = "Control.Identity"
	methodPostLoads = "Control.PostLoads"
)

// EngineAssignment tracks which replicas respond and their failure domains, so that each
// engine's reports are read by one replica: one in the engine's failure domain if any
// responds there.
type EngineAssignment struct {
	service *Service
	domain  string

	mu      sync.Mutex        // guards domains; never held while another lock is taken
	domains map[string]string // failure domains of the replicas that responded to the last probe, by address
}

// NewEngineAssignment returns the neighbours of a replica in the given failure domain.
func NewEngineAssignment(service *Service, domain string) *EngineAssignment {
	service.domain = domain
	return &EngineAssignment{service: service, domain: domain, domains: map[string]string{}}
}

// Run probes the other replicas until the context ends and reports its end on the
// returned channel.
func (n *EngineAssignment) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range n.service.timers.Subscribe(ctx, probeInterval) {
			n.probe(ctx)
		}
		done <- nil
	}()
	return done
}

// probe asks all other replicas for their failure domain and records those that respond.
func (n *EngineAssignment) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	standing, err := n.service.node.LogStatus(ctx)
	if err != nil {
		return // the replica is stopping or its disk hangs; the last result stays in use
	}
	responding := map[string]string{}
	var mu sync.Mutex // guards responding
	var wg sync.WaitGroup
	for _, address := range unique(standing.Addresses(), n.service.self) {
		wg.Go(func() {
			identity := &wire.ReplicaIdentity{}
			client, err := n.service.peers.Client(address)
			if err != nil || client.Call(ctx, methodIdentity, &wire.Empty{}, identity) != nil {
				return // the replica is not reachable
			}
			mu.Lock()
			defer mu.Unlock()
			responding[address] = identity.GetFailureDomain()
		})
	}
	wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains = responding
}

// IsReader reports whether this replica is the one that reads the reports of an engine in
// a failure domain.
func (n *EngineAssignment) IsReader(engine, domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.service.self
	local := n.domain == domain
	for _, d := range n.domains {
		local = local || d == domain
	}
	if local && n.domain != domain {
		return false
	}
	ownWeight := weight(engine, self)
	for address, d := range n.domains {
		if (!local || d == domain) && weight(engine, address) > ownWeight {
			return false
		}
	}
	return true
}

// weight ranks replicas for an engine (rendezvous hashing).
func weight(engine, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(engine + "/" + replica)) // writing to a hash does not fail
	return h.Sum64()
}

// ForwardLoads sends loads that this replica read to the leader, which publishes them
// to all instances.
func (n *EngineAssignment) ForwardLoads(ctx context.Context, loads []*wire.Load) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if err := n.service.callLeader(ctx, methodPostLoads, &wire.Loads{Loads: loads}, &wire.Empty{}); err != nil {
		n.service.log.V(1).Info("cannot send loads to the leader", "reason", err.Error())
	}
}

// PostLoads publishes loads that another replica has read.
func (c *controlCalls) PostLoads(loads *wire.Loads, _ *wire.Empty) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	c.service.board.PublishLoads(loads.GetLoads(), c.service.timers.Now())
	return nil
}
