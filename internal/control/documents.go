package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of calls that concern documents.
const (
	// documentTimeout bounds a call that concerns a document, including forwarding
	// to the leader. Operators stop waiting for a response after a second.
	documentTimeout = 900 * time.Millisecond
	// maxFollowWait bounds how long a follower's request waits for a change.
	maxFollowWait = 2 * time.Second
)

// RPC methods of replicas that concern documents and membership.
const (
	// MethodFollow is the method that returns the updates that an instance lacks.
	MethodFollow = "Control.Follow"
	// MethodFetch is the method that returns a piece of the transfer of a document.
	MethodFetch = "Control.Fetch"
	methodOffer = "Control.Offer"
	methodRead  = "Control.ReadDocument"
	methodJoin  = "Control.Join"
	methodLeave = "Control.Leave"
	// forwardedReason is the error text that the peer receives if its forwarded join
	// request reaches a replica that does not lead.
	forwardedReason = "the question was handed on once already"
)

// ErrNoLeader is returned while this replica knows no other replica as the leader.
var ErrNoLeader = errors.New("no leader is known")

// Offer commits a document at this replica if it leads, or forwards it to the leader. It
// returns ErrNoLeader if the leader is unknown.
func (s *Service) Offer(ctx context.Context, d *wire.Document) (*wire.DocumentResult, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	result, err := s.node.Offer(ctx, d)
	if !errors.Is(err, replog.ErrNotLeader) {
		return result, err
	}
	result = &wire.DocumentResult{}
	return result, s.callLeader(ctx, methodOffer, d, result)
}

// ReadDocument returns the document in force. It returns an error, such as ErrNoLeader,
// if neither this replica nor a reachable leader can confirm that its document is current.
func (s *Service) ReadDocument(ctx context.Context) (*wire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	d, err := s.node.Document(ctx)
	if !errors.Is(err, ErrNotCurrent) {
		return d, err
	}
	answer := &wire.Document{}
	if err := s.callLeader(ctx, methodRead, &wire.Empty{}, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// callLeader calls a method of the leader. It returns ErrNoLeader if the leader is
// unknown or this replica.
func (s *Service) callLeader(ctx context.Context, method string, request, answer message) error {
	status, err := s.node.LogStatus(ctx)
	if err != nil {
		return err
	}
	if status.Leader() == "" || status.Leader() == s.self {
		return ErrNoLeader
	}
	client, err := s.peers.Client(status.Leader())
	if err != nil {
		return err
	}
	return client.Call(ctx, method, request, answer)
}

func (c *controlCalls) instanceOnly() error {
	if c.caller.Role() != peer.RoleInstance {
		return ErrNotPermitted
	}
	return nil
}

// Offer commits a document that another replica received from an operator.
func (c *controlCalls) Offer(d *wire.Document, result *wire.DocumentResult) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	got, err := c.service.node.Offer(ctx, d)
	result.Number, result.Installed = got.GetNumber(), got.GetInstalled()
	return err
}

// ReadDocument returns the document in force if this replica leads with a valid lease.
func (c *controlCalls) ReadDocument(_ *wire.Empty, answer *wire.Document) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	got, err := c.service.node.Document(ctx)
	answer.Number, answer.Body = got.GetNumber(), got.GetBody()
	return err
}

// Follow returns the updates that an instance lacks.
func (c *controlCalls) Follow(request *wire.FollowRequest, answer *wire.FollowResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	return c.service.follow(request, answer)
}

// follow answers a request for the updates that an instance lacks.
func (s *Service) follow(request *wire.FollowRequest, answer *wire.FollowResponse) error {
	s.recordFollower(request)
	s.uses.update(request.GetInstance(), request.GetUses(), s.timers.Now())
	s.queued.update(request.GetInstance(), request.GetQueued(), s.timers.Now())
	s.evidence.merge(request.GetEvidence(), s.timers.Now())
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxFollowWait)
	got := s.publisher.Await(s.ctx, request, wait, s.timers.Now)
	ctx, cancel := context.WithTimeout(s.ctx, documentTimeout)
	defer cancel()
	if err := s.beginAnswer(ctx); err != nil {
		return err
	}
	defer s.endAnswer()
	status, hash, err := s.recentStatus(ctx)
	if err != nil {
		return err
	}
	answer.Leader, answer.LeaderAddress = status.Leader() == s.self, status.Leader()
	answer.Fresh = status.LeaderReachable()
	if request.GetReplicasHash() != hash {
		answer.Replicas, answer.ReplicasHash = status.Addresses(), hash
	}
	answer.OthersQueued, answer.SumsQueued = s.queued.sumsExcluding(request.GetInstance(), s.timers.Now()), true
	answer.Document, answer.Targets = got.GetDocument(), got.GetTargets()
	answer.DocumentNumber = got.GetDocumentNumber()
	answer.ListEpoch, answer.ListVersion = got.GetListEpoch(), got.GetListVersion()
	answer.ListChanged, answer.ListAgeMs = got.GetListChanged(), got.GetListAgeMs()
	answer.ChangesSince, answer.Removed, answer.CompressedList = got.GetChangesSince(), got.GetRemoved(), got.GetCompressedList()
	answer.Loads, answer.LoadsVersion = got.GetLoads(), got.GetLoadsVersion()
	answer.Followers = uint32(s.followers())
	s.addUsesAndLoads(request, answer)
	if request.GetAsksForHelpers() {
		answer.Helpers = s.helpersOf(request)
	}
	if request.EvacuationIndex != nil {
		status.describeEvacuation(request.GetEvacuationIndex(), answer)
	}
	s.evidence.answer(request, answer, s.timers.Now())
	return nil
}

// Fetch returns a piece of the transfer of a document.
func (c *controlCalls) Fetch(request *wire.FetchRequest, answer *wire.FetchResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	got, err := c.service.publisher.Fetch(request)
	if err != nil {
		return err
	}
	answer.Number, answer.Base, answer.Digest = got.GetNumber(), got.GetBase(), got.GetDigest()
	answer.TransferBytes, answer.Offset, answer.Data = got.GetTransferBytes(), got.GetOffset(), got.GetData()
	return nil
}

func (s *Service) recordFollower(r *wire.FollowRequest) {
	now := s.timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[r.GetInstance()] = watcher{domain: r.GetFailureDomain(), version: r.GetDocument(), lastSeen: now, helpAddress: r.GetHelpAddress(), lacksTargets: r.GetLacksTargets()}
	if now-s.lastPrune > pruneInterval {
		s.lastPrune = now
		s.prune(now)
	}
}

// helpersOf returns the addresses of the instances that are to help a follower.
func (s *Service) helpersOf(r *wire.FollowRequest) []string {
	now := s.timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helpers.choose(s.watchers, r.GetInstance(), r.GetFailureDomain(), now)
}

// followers returns the number of instances that follow this replica.
func (s *Service) followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}
