package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// joinInterval is how often a replica looks whether it still belongs to the log.
const joinInterval = 500 * time.Millisecond

// message is what net/rpc carries here.
type message = proto.Message

// Join takes a replica that lost its place, or never had one, into the log.
func (c *controlCalls) Join(request *wire.JoinRequest, answer *wire.JoinResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	err := c.service.join(ctx, request)
	answer.Member = err == nil
	standing, standingErr := c.service.node.Standing(ctx)
	answer.Addresses = standing.Addresses()
	if err == nil {
		return standingErr
	}
	return err
}

func (s *Service) join(ctx context.Context, request *wire.JoinRequest) error {
	err := s.node.Join(ctx, request.GetReplica())
	if !errors.Is(err, replog.ErrNotLeader) {
		return err
	}
	if request.GetForwarded() {
		return errors.Wrap(err, forwardedReason)
	}
	return s.askLeader(ctx, methodJoin, &wire.JoinRequest{Replica: request.GetReplica(), Forwarded: true}, &wire.JoinResponse{})
}

// KeepPlace asks other replicas to take this one in whenever it has no leader or
// no place in the log, until the context ends. Seeds returns peer addresses to
// start from. It reports its end on the returned channel.
func (s *Service) KeepPlace(ctx context.Context, seeds func() []string) <-chan error {
	done := make(chan error, 1)
	go func() {
		for range s.timers.Subscribe(ctx, joinInterval) {
			s.keepPlace(ctx, seeds())
		}
		done <- nil
	}()
	return done
}

func (s *Service) keepPlace(ctx context.Context, seeds []string) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	standing, err := s.node.Standing(ctx)
	if err != nil || standing.fresh && standing.member {
		return
	}
	self, err := s.node.Identity(ctx)
	if err != nil {
		return // the replica is stopping, or its disk failed and was reported
	}
	request := &wire.JoinRequest{Replica: &wire.Replica{Id: self.GetId(), Name: s.name, Address: s.self}}
	for _, address := range unique(append(standing.Addresses(), seeds...), s.self) {
		client, err := s.peers.Client(address)
		if err != nil {
			s.log.Error(err, "seed cannot be used", "address", address)
			continue
		}
		answer := &wire.JoinResponse{}
		attempt, stop := context.WithTimeout(ctx, documentTimeout/3)
		err = client.Call(attempt, methodJoin, request, answer)
		stop()
		if err == nil && answer.GetMember() {
			return
		}
	}
}

// unique drops repeated addresses and one of its own, keeping the order.
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
