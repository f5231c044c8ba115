package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// joinInterval is how often a replica checks whether it still belongs to the log.
const joinInterval = 500 * time.Millisecond

// message is a request or response of an RPC.
type message = proto.Message

// Join adds a replica that is not, or no longer, a member of the log.
func (c *controlCalls) Join(request *wire.JoinRequest, answer *wire.JoinResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	err := c.service.join(ctx, request)
	answer.Member = err == nil
	status, statusErr := c.service.node.LogStatus(ctx)
	answer.Addresses = status.Addresses()
	if err == nil {
		return statusErr
	}
	return err
}

// join adds a replica to the log, at the leader if this replica does not lead. A
// request is forwarded at most once.
func (s *Service) join(ctx context.Context, request *wire.JoinRequest) error {
	err := s.node.Join(ctx, request.GetReplica())
	if !errors.Is(err, replog.ErrNotLeader) {
		return err
	}
	if request.GetForwarded() {
		return errors.Wrap(err, forwardedReason)
	}
	_, err = s.forward(ctx, &wire.ForwardedCommand{Join: request.GetReplica()}, func() error {
		return s.callLeader(ctx, methodJoin, &wire.JoinRequest{Replica: request.GetReplica(), Forwarded: true}, &wire.JoinResponse{})
	})
	return err
}

// MaintainMembership asks other replicas to add this one whenever it has no leader or is
// not a member of the log, until the context ends. Seeds returns initial peer addresses.
// It then sends nil on the returned channel.
func (s *Service) MaintainMembership(ctx context.Context, seeds func() []string) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range s.timers.Subscribe(ctx, joinInterval) {
			s.rejoin(ctx, seeds())
		}
		done <- nil
	}()
	return done
}

// rejoin asks known replicas and seeds, one after another, to add this replica, unless
// it is a member and its leader is reachable. A member whose failure domain the membership does not state has the
// leader add that.
func (s *Service) rejoin(ctx context.Context, seeds []string) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	status, err := s.node.LogStatus(ctx)
	settled := status.leaderReachable && status.member
	if err != nil || s.leaving.Load() || settled && status.domain == s.domain {
		return
	}
	ownIdentity, err := s.node.Identity(ctx)
	if err != nil {
		return // the replica is stopping, or its disk failed, which was logged
	}
	request := &wire.JoinRequest{Replica: &wire.Replica{Id: ownIdentity.GetId(), Name: s.name, Address: s.self, FailureDomain: s.domain}}
	if settled {
		if err := s.join(ctx, request); err != nil {
			s.log.V(1).Info("failure domain not stated yet", "reason", err.Error())
		}
		return
	}
	for _, address := range unique(append(status.Addresses(), seeds...), s.self) {
		client, err := s.peers.Client(address)
		if err != nil {
			s.log.Error(err, "cannot parse replica address", "address", address)
			continue
		}
		answer := &wire.JoinResponse{}
		callCtx, cancelCall := context.WithTimeout(ctx, documentTimeout/3)
		err = client.Call(callCtx, methodJoin, request, answer)
		cancelCall()
		if err == nil && answer.GetMember() {
			return
		}
	}
}

// unique removes duplicate addresses and the replica's own, keeping the order.
func unique(addresses []string, own string) []string {
	seen := map[string]bool{own: true}
	var out []string
	for _, a := range addresses {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}
