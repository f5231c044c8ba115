package control

import (
	"context"
	"net/rpc"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// leaveTimeout bounds how long a replica that stops waits for its leave.
	leaveTimeout = time.Second
	// leaveInterval is the pause before a leave that found no leader, or another change of the
	// membership, is tried again.
	leaveInterval = 50 * time.Millisecond
)

// Leave announces that this replica is about to stop, so that the others do not count on its vote:
// a replica that has been replaced would else keep the majority too large until its silence is
// noticed. It returns once the leader has decided, or an error if none has within leaveTimeout; the
// replica then fails as if it were killed. Older leaders do not know the call.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	identity, err := s.node.Identity(ctx)
	if err != nil {
		return err
	}
	for {
		err := s.leave(ctx, identity.GetId())
		if err == nil || !mayLeaveLater(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveInterval):
		}
	}
}

// mayLeaveLater reports whether a leave that failed can succeed soon: no leader was known or reached,
// the one asked did not lead any more, or another change of the membership was not committed.
func mayLeaveLater(err error) bool {
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		return !errors.Is(err, ErrStopped)
	}
	return slices.Contains([]string{replog.ErrMembershipPending.Error(), replog.ErrNotLeader.Error(), ErrNotCurrent.Error()}, string(answered))
}

func (s *Service) leave(ctx context.Context, id string) error {
	err := s.node.Leave(ctx, id)
	if !errors.Is(err, replog.ErrNotLeader) {
		return err
	}
	status, err := s.node.LogStatus(ctx)
	if err != nil {
		return err
	}
	if !status.member {
		return nil // this replica has led until it was removed, or never joined
	}
	_, err = s.forward(ctx, &wire.ForwardedCommand{Leave: id}, func() error {
		return s.callLeader(ctx, methodLeave, &wire.ReplicaChange{Remove: id}, &wire.Empty{})
	})
	return err
}

// Leave handles the announcement of a replica that it is about to stop.
func (c *controlCalls) Leave(request *wire.ReplicaChange, _ *wire.Empty) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	return c.service.node.Leave(ctx, request.GetRemove())
}
