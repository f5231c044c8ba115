package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// callTimeout bounds most calls to the node, including those that wait for a commit.
	callTimeout = 5 * time.Second
	// watcherTimeout is the time without requests after which an instance is no longer
	// listed.
	watcherTimeout = 30 * time.Second
	// pruneInterval is the minimum time between removals of unresponsive watchers in
	// recordFollower.
	pruneInterval = time.Second
)

// ErrNotPermitted is returned to a caller whose certificate does not permit the
// call.
var ErrNotPermitted = errors.New("the certificate does not permit this call")

// Service handles RPCs from replicas, other instances and operators.
type Service struct {
	ctx       context.Context //nolint:containedctx // net/rpc methods take none
	node      *Node
	store     *config.Store
	timers    vanillaward.Timers
	peers     *peer.Pool
	publisher *Publisher
	uses      *uses
	queued    *queued
	subsets   *subsets
	pace      *pace
	answering chan struct{} // holds an element for each answer to a follower that is being made
	shed      atomic.Uint64 // answers without uses and loads
	// statusCache is the state of the log for followers
	statusCache statusCache
	evidence    *evidence
	log         logr.Logger
	name        string
	self        string      // peer address of this replica
	domain      string      // failure domain of this replica, or empty if unknown
	leaving     atomic.Bool // this replica stops, and does not join again

	mu        sync.Mutex // guards the rest; never held while another lock is taken
	watchers  map[string]watcher
	lastPrune time.Duration // when unresponsive watchers were last removed
	helpers   helpers
}

// watcher is an instance that gets the configuration from this replica, by Watch or by
// Follow.
type watcher struct {
	domain      string
	version     uint64 // version that it holds; the document number for a follower
	lastSeen    time.Duration
	behindSince time.Duration // when it was first seen without the version held here; 0 if it has that version
	// helpAddress is where a follower of the leader takes requests of others; empty if it takes none.
	helpAddress  string
	lacksTargets bool
}

// ServiceOption configures a service.
type ServiceOption func(*Service)

// WithFailureDomain sets the failure domain of the replica, which it states when it joins the log.
func WithFailureDomain(domain string) ServiceOption { return func(s *Service) { s.domain = domain } }

// NewService returns the service for calls to the node. Self is the name and peer
// address of the node's replica; store holds the versions that the node publishes.
func NewService(ctx context.Context, node *Node, store *config.Store, timers vanillaward.Timers, peers *peer.Pool, self inifile.Peer, options ...ServiceOption) *Service {
	s := &Service{
		ctx: ctx, node: node, store: store, timers: timers, peers: peers, publisher: node.publisher, uses: newUses(), queued: newQueued(), subsets: newSubsets(), pace: newPace(), answering: make(chan struct{}, maxAnswers), evidence: newEvidence(node.publisher.epoch), log: node.log,
		name: self.Name, self: self.Address.String(), watchers: map[string]watcher{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Register registers the service's RPC methods with a server.
func (s *Service) Register(server *peer.Server) {
	server.Register("Replica", func(c peer.Caller) any { return &replicaCalls{s, c} })
	server.Register("Control", func(c peer.Caller) any { return &controlCalls{s, c} })
}

// replicaCalls holds the RPC methods that replicas call on each other.
type replicaCalls struct {
	service *Service
	caller  peer.Caller
}

// Deliver receives messages from another replica.
func (r *replicaCalls) Deliver(batch *wire.MessageBatch, _ *wire.Empty) error {
	if r.caller.Role() != peer.RoleInstance {
		return ErrNotPermitted
	}
	ctx, cancel := context.WithTimeout(r.service.ctx, callTimeout)
	defer cancel()
	return r.service.node.Deliver(ctx, batch.GetMessages())
}

// controlCalls holds the RPC methods for instances and operators.
type controlCalls struct {
	service *Service
	caller  peer.Caller
}

func (c *controlCalls) operatorOnly() error {
	if c.caller.Role() != peer.RoleOperator {
		return ErrNotPermitted
	}
	return nil
}

// Apply commits a change. Its operator is the name in the caller's certificate.
func (c *controlCalls) Apply(change *wire.Change, result *wire.ChangeResult) error {
	if err := c.operatorOnly(); err != nil {
		return err
	}
	change.Operator = c.caller.Name()
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	got, err := c.service.node.Change(ctx, change)
	if err != nil {
		return err
	}
	result.Status, result.Version, result.Findings = got.GetStatus(), got.GetVersion(), got.GetFindings()
	result.Winner, result.WinnerOperator = got.GetWinner(), got.GetWinnerOperator()
	return nil
}

// Watch returns the versions after the requested one.
func (c *controlCalls) Watch(request *wire.WatchRequest, answer *wire.WatchResponse) error {
	if c.caller.Role() == peer.RoleInstance && !request.GetVersionOnly() {
		c.service.recordWatcher(request)
	}
	config.CopyResponse(answer, c.service.store.HandleWatch(c.service.ctx, request))
	return nil
}

// OpenDomain grants the first keepers of a failure domain the right to vote.
func (c *controlCalls) OpenDomain(o *wire.OpenDomain, result *wire.OpenDomainResult) error {
	if c.caller.Role() != peer.RoleInstance {
		return ErrNotPermitted
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	got, err := c.service.node.OpenDomain(ctx, o)
	result.Incarnations = got.GetIncarnations()
	return err
}

// History returns the accepted changes after a version.
func (c *controlCalls) History(request *wire.HistoryRequest, answer *wire.HistoryResponse) error {
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	return c.service.node.Read(ctx, request.GetLinearizable(), func(_ *replog.Core, s *State) {
		answer.Items = s.History(request.GetFromVersion())
	})
}

// Identity returns the replica's ID, failure domain and membership.
func (c *controlCalls) Identity(_ *wire.Empty, answer *wire.ReplicaIdentity) error {
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	got, err := c.service.node.Identity(ctx)
	if errors.Is(err, ErrStopped) {
		answer.Failed = err.Error()
		return nil
	}
	answer.FailureDomain = c.service.domain
	answer.Id, answer.Empty, answer.Membership = got.GetId(), got.GetEmpty(), got.GetMembership()
	return err
}

// Bootstrap starts the log with an initial membership.
func (c *controlCalls) Bootstrap(m *wire.Membership, _ *wire.Empty) error {
	if err := c.operatorOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	return c.service.node.Bootstrap(ctx, m)
}

// ChangeReplicas adds or removes a replica.
func (c *controlCalls) ChangeReplicas(change *wire.ReplicaChange, _ *wire.Empty) error {
	if err := c.operatorOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	return c.service.node.ChangeReplicas(ctx, change)
}

// Watchers returns the instances that follow the configuration at this replica.
func (c *controlCalls) Watchers(_ *wire.Empty, answer *wire.WatchersResponse) error {
	answer.Instances = c.service.listWatchers()
	return nil
}

// Status returns the state of the log and the version that each instance holds. Only
// a leader with a valid lease returns a linearizable status; others return ErrNotCurrent.
func (c *controlCalls) Status(request *wire.StatusRequest, answer *wire.StatusResponse) error {
	ctx, cancel := context.WithTimeout(c.service.ctx, callTimeout)
	defer cancel()
	return c.service.status(ctx, request.GetLinearizable(), answer)
}

func (s *Service) status(ctx context.Context, linearizable bool, answer *wire.StatusResponse) error {
	err := s.node.Read(ctx, linearizable, func(core *replog.Core, state *State) {
		answer.Leader, answer.Term, answer.Version = core.LeaderID(), core.Term(), state.Version()
		answer.Current = core.LeaseValid(s.timers.Now())
		answer.Orders, answer.Evacuated = state.TargetOrders(), state.Evacuation().Orders()
		for _, r := range core.Membership().GetReplicas() {
			answer.Replicas = append(answer.Replicas, &wire.ReplicaStatus{
				Replica: r, MatchIndex: core.MatchIndex(r.GetId()), Leader: r.GetId() == core.LeaderID(),
			})
		}
	})
	if err != nil {
		return err
	}
	answer.Instances = s.allWatchers(ctx, answer.GetReplicas())
	answer.InForce = answer.GetVersion()
	for _, i := range answer.GetInstances() {
		answer.InForce = min(answer.InForce, i.GetVersion())
	}
	return nil
}

// allWatchers merges the lists of watchers of all replicas that respond. For an
// instance in several lists it keeps the entry with the latest request.
func (s *Service) allWatchers(ctx context.Context, replicas []*wire.ReplicaStatus) []*wire.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	lists := make([][]*wire.InstanceStatus, len(replicas)+1)
	lists[len(replicas)] = s.listWatchers()
	var wg sync.WaitGroup
	for i, r := range replicas {
		wg.Go(func() { lists[i] = s.fetchWatchers(ctx, r.GetReplica().GetAddress()) })
	}
	wg.Wait()
	latest := map[string]*wire.InstanceStatus{}
	for _, list := range lists {
		for _, w := range list {
			if old := latest[w.GetName()]; old == nil || w.GetSeenMsAgo() < old.GetSeenMsAgo() {
				latest[w.GetName()] = w
			}
		}
	}
	out := make([]*wire.InstanceStatus, 0, len(latest))
	for _, w := range latest {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *wire.InstanceStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// fetchWatchers returns the watchers of the replica at an address, or nil if the call
// fails.
func (s *Service) fetchWatchers(ctx context.Context, address string) []*wire.InstanceStatus {
	client, err := s.peers.Client(address)
	if err != nil {
		return nil
	}
	answer := &wire.WatchersResponse{}
	if err := client.Call(ctx, "Control.Watchers", &wire.Empty{}, answer); err != nil {
		return nil
	}
	return answer.GetInstances()
}

func (s *Service) recordWatcher(r *wire.WatchRequest) {
	now, held := s.timers.Now(), s.store.Version()
	s.mu.Lock()
	defer s.mu.Unlock()
	w := watcher{domain: r.GetFailureDomain(), version: r.GetVersion(), lastSeen: now}
	if r.GetVersion() < held {
		if w.behindSince = s.watchers[r.GetInstance()].behindSince; w.behindSince == 0 {
			w.behindSince = now
		}
	}
	s.watchers[r.GetInstance()] = w
}

// prune removes unresponsive watchers. It is called with the lock held.
func (s *Service) prune(now time.Duration) {
	for name, w := range s.watchers {
		if now-w.lastSeen > watcherTimeout {
			delete(s.watchers, name)
		}
	}
}

func (s *Service) listWatchers() []*wire.InstanceStatus {
	now := s.timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	var out []*wire.InstanceStatus
	for name, w := range s.watchers {
		status := &wire.InstanceStatus{
			Name: name, FailureDomain: w.domain, Version: w.version, SeenMsAgo: (now - w.lastSeen).Milliseconds(), LacksTargets: w.lacksTargets,
		}
		if w.behindSince > 0 {
			status.LagMs = (now - w.behindSince).Milliseconds()
		}
		out = append(out, status)
	}
	return out
}
