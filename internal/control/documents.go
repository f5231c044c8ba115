package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of calls about documents.
const (
	// documentTimeout bounds a call about a document, a hand-over to the leader
	// included. Operators move on after a second.
	documentTimeout = 900 * time.Millisecond
	// maxFollowWait bounds how long a follower's question is held.
	maxFollowWait = 2 * time.Second
)

// Methods that replicas answer about documents and membership.
const (
	// MethodFollow hands an instance what it lacks.
	MethodFollow    = "Control.Follow"
	methodOffer     = "Control.Offer"
	methodRead      = "Control.ReadDocument"
	methodJoin      = "Control.Join"
	forwardedReason = "the question was handed on once already"
)

// ErrNoLeader is returned while no leader is known here.
var ErrNoLeader = errors.New("no leader is known")

// Offer commits a document, here or at the leader.
func (s *Service) Offer(ctx context.Context, d *wire.Document) (*wire.DocumentResult, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	result, err := s.node.Offer(ctx, d)
	if !errors.Is(err, replog.ErrNotLeader) {
		return result, err
	}
	result = &wire.DocumentResult{}
	return result, s.askLeader(ctx, methodOffer, d, result)
}

// ReadDocument returns the document in force, nil before the first, or an error
// when nobody in reach can tell which one that is.
func (s *Service) ReadDocument(ctx context.Context) (*wire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	d, err := s.node.Document(ctx)
	if !errors.Is(err, ErrNotCurrent) {
		return d, err
	}
	answer := &wire.Document{}
	if err := s.askLeader(ctx, methodRead, &wire.Empty{}, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *Service) askLeader(ctx context.Context, method string, request, answer message) error {
	standing, err := s.node.Standing(ctx)
	if err != nil {
		return err
	}
	if standing.Leader() == "" || standing.Leader() == s.self {
		return ErrNoLeader
	}
	client, err := s.peers.Client(standing.Leader())
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

// Offer commits a document that another replica took from an operator.
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

// ReadDocument returns the document in force if this replica leads.
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

// Follow answers with what an instance lacks.
func (c *controlCalls) Follow(request *wire.FollowRequest, answer *wire.FollowResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	s := c.service
	s.sawFollower(request)
	s.uses.take(request.GetInstance(), request.GetUses(), s.timers.Now())
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxFollowWait)
	got := s.board.Await(s.ctx, request, wait, s.timers.Now)
	ctx, cancel := context.WithTimeout(s.ctx, documentTimeout)
	defer cancel()
	standing, err := s.node.Standing(ctx)
	if err != nil {
		return err
	}
	answer.Leader, answer.LeaderAddress = standing.Leader() == s.self, standing.Leader()
	answer.Others = s.uses.others(request.GetInstance(), s.timers.Now())
	answer.Fresh, answer.Replicas = standing.Fresh(), standing.Addresses()
	answer.Document, answer.Targets = got.GetDocument(), got.GetTargets()
	answer.ListEpoch, answer.ListVersion = got.GetListEpoch(), got.GetListVersion()
	answer.ListChanged, answer.ListAgeMs = got.GetListChanged(), got.GetListAgeMs()
	answer.Loads, answer.LoadsVersion = got.GetLoads(), got.GetLoadsVersion()
	answer.Followers = uint32(s.followers())
	return nil
}

func (s *Service) sawFollower(r *wire.FollowRequest) {
	now := s.timers.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[r.GetInstance()] = watcher{domain: r.GetFailureDomain(), version: r.GetDocument(), seen: now}
	if now-s.pruned > pruneInterval {
		s.pruned = now
		s.prune(now)
	}
}

// followers returns the number of instances that follow here.
func (s *Service) followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}
