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
	// forwardTimeout bounds forwarding loads to the leader.
	forwardTimeout = 400 * time.Millisecond
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

// NewEngineAssignment returns the engine assignment of a replica in the given failure
// domain.
func NewEngineAssignment(service *Service, domain string) *EngineAssignment {
	service.domain = domain
	return &EngineAssignment{service: service, domain: domain, domains: map[string]string{}}
}

// Run probes the other replicas until the context ends. It then sends nil on the returned
// channel.
func (a *EngineAssignment) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range a.service.timers.Subscribe(ctx, probeInterval) {
			a.probe(ctx)
		}
		done <- nil
	}()
	return done
}

// probe requests the failure domains of all other replicas and records those that respond.
func (a *EngineAssignment) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := a.service.node.LogStatus(ctx)
	if err != nil {
		return // the replica is stopping or its disk hangs; the last result stays in use
	}
	responding := map[string]string{}
	var mu sync.Mutex // guards responding
	var wg sync.WaitGroup
	for _, address := range unique(status.Addresses(), a.service.self) {
		wg.Go(func() {
			identity := &wire.ReplicaIdentity{}
			client, err := a.service.peers.Client(address)
			if err != nil || client.Call(ctx, methodIdentity, &wire.Empty{}, identity) != nil {
				return // the replica is not reachable
			}
			mu.Lock()
			defer mu.Unlock()
			responding[address] = identity.GetFailureDomain()
		})
	}
	wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.domains = responding
}

// IsReader reports whether this replica is the one that reads the reports of an engine in
// a failure domain.
func (a *EngineAssignment) IsReader(engine, domain string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.service.self
	local := a.domain == domain
	for _, d := range a.domains {
		local = local || d == domain
	}
	if local && a.domain != domain {
		return false
	}
	ownWeight := weight(engine, self)
	for address, d := range a.domains {
		if (!local || d == domain) && weight(engine, address) > ownWeight {
			return false
		}
	}
	return true
}

// weight returns the rendezvous hash of an engine and a replica. Of the replicas that may
// read the engine's reports, the one with the highest weight reads them.
func weight(engine, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(engine + "/" + replica)) // writing to a hash does not fail
	return h.Sum64()
}

// ForwardLoads forwards loads that this replica read to the leader, which publishes them
// to all instances.
func (a *EngineAssignment) ForwardLoads(ctx context.Context, loads []*wire.Load) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := a.service.callLeader(ctx, methodPostLoads, &wire.Loads{Loads: loads}, &wire.Empty{}); err != nil {
		a.service.log.V(1).Info("cannot forward loads to the leader", "reason", err.Error())
	}
}

// PostLoads publishes loads that another replica has read.
func (c *controlCalls) PostLoads(loads *wire.Loads, _ *wire.Empty) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	c.service.publisher.PublishLoads(loads.GetLoads(), c.service.timers.Now())
	return nil
}
