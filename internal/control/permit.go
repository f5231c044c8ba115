package control

import (
	"context"
	"net/rpc"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// permitTime is how long after it was issued a permit is valid. A command that is not held up arrives within a few
	// milliseconds.
	permitTime = 300 * time.Millisecond
	// steadyTime is how long after a stall a replica waits before it decides or passes on an order: what it reads then may be
	// as old as the stall, and that its caller has left shows by then.
	steadyTime = 250 * time.Millisecond
	// RPC methods of the leader for commands that replicas pass on.
	methodPermit    = "Control.Permit"
	methodForwarded = "Control.Forwarded"
)

// errCallerGone is returned for a command whose caller has given up before it was passed on.
var errCallerGone = errors.New("the caller has given up before the command was passed on")

// issuePermit returns a permit for a command that arrives soon. On a replica that does not lead with a valid lease it
// returns replog.ErrNotLeader or ErrNotCurrent.
func (n *Node) issuePermit(ctx context.Context) (*wire.Permit, error) {
	var out *wire.Permit
	var refused error
	err := n.do(ctx, func() {
		if refused = n.checkLeads(); refused == nil {
			out = &wire.Permit{Leader: n.core.ID(), Term: n.core.Term(), IssuedNs: int64(n.timers.Now())}
		}
	})
	if err != nil {
		return nil, err
	}
	return out, refused
}

// isValid reports whether this replica has issued a permit in its present term, and a short time ago.
func (n *Node) isValid(ctx context.Context, p *wire.Permit) (bool, error) {
	var valid bool
	err := n.do(ctx, func() {
		age := n.timers.Now() - time.Duration(p.GetIssuedNs())
		valid = p.GetLeader() == n.core.ID() && p.GetTerm() == n.core.Term() && age >= 0 && age <= permitTime && n.checkLeads() == nil
	})
	return valid, err
}

// checkLeads returns an error unless this replica leads with a valid lease. It is called in the goroutine that owns the
// replica.
func (n *Node) checkLeads() error {
	switch {
	case n.core.Role() != replog.Leader:
		return replog.ErrNotLeader
	case !n.core.LeaseValid(n.timers.Now()):
		return ErrNotCurrent
	}
	return nil
}

// awaitSteady returns at once if this replica has run without a stall for steadyTime, and else after that time or at the end
// of the context.
func (n *Node) awaitSteady(ctx context.Context) error {
	var steady time.Duration
	if err := n.do(ctx, func() { steady = n.core.SteadyFor(n.timers.Now()) }); err != nil {
		return err
	}
	if steady < steadyTime {
		timer.Sleep(ctx, steadyTime)
	}
	return ctx.Err()
}

// forward has the leader carry out a command. The command is sent with a permit that the leader has issued while its
// caller was waiting, and again with another one if it arrives too late. A leader of a build that knows no permits gets
// the command by the method that it knows, with legacy and its answer.
func (s *Service) forward(ctx context.Context, command *wire.ForwardedCommand, legacy func() error) (*wire.ForwardedResult, error) {
	for {
		permit := &wire.Permit{}
		err := s.callLeader(ctx, methodPermit, &wire.Empty{}, permit)
		if isUnknownMethod(err) {
			return &wire.ForwardedResult{}, legacy()
		}
		if err != nil {
			return nil, err
		}
		deadline, _ := ctx.Deadline() // each caller has set one
		if ctx.Err() != nil {
			return nil, errors.Wrap(errCallerGone, ctx.Err().Error())
		}
		command.Permit, command.WaitMs = permit, time.Until(deadline).Milliseconds()
		result := &wire.ForwardedResult{}
		if err := s.callLeader(ctx, methodForwarded, command, result); err != nil || !result.GetExpired() {
			return result, err
		}
	}
}

// isUnknownMethod reports whether a peer does not know the method of a call, as one of an earlier build.
func isUnknownMethod(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), "rpc: can't find method")
}

// Permit issues a permit for a command that another replica is about to pass on.
func (c *controlCalls) Permit(_ *wire.Empty, answer *wire.Permit) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.service.ctx, documentTimeout)
	defer cancel()
	got, err := c.service.node.issuePermit(ctx)
	answer.Leader, answer.Term, answer.IssuedNs = got.GetLeader(), got.GetTerm(), got.GetIssuedNs()
	return err
}

// Forwarded carries out a command that another replica passes on, unless its permit is not valid any more.
func (c *controlCalls) Forwarded(command *wire.ForwardedCommand, result *wire.ForwardedResult) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	wait := min(documentTimeout, time.Duration(command.GetWaitMs())*time.Millisecond)
	ctx, cancel := context.WithTimeout(c.service.ctx, wait)
	defer cancel()
	valid, err := c.service.node.isValid(ctx, command.GetPermit())
	if err != nil {
		return err
	}
	if !valid {
		result.Expired = true
		c.service.log.Info("command not carried out: its permit is not valid any more", "term", command.GetPermit().GetTerm(),
			"age-ms", (c.service.timers.Now() - time.Duration(command.GetPermit().GetIssuedNs())).Milliseconds(),
			"failure-domain", DomainOf(command.GetDomainOrder()), "join", command.GetJoin().GetId(), "leave", command.GetLeave())
		return nil
	}
	return c.service.carryOut(ctx, command, result)
}

// carryOut carries out a command that was passed on to this replica, which leads.
func (s *Service) carryOut(ctx context.Context, command *wire.ForwardedCommand, result *wire.ForwardedResult) error {
	switch {
	case command.GetDomainOrder() != nil:
		if err := checkOrder(command.GetDomainOrder()); err != nil {
			return err
		}
		got, err := s.node.OrderDomain(ctx, command.GetDomainOrder())
		result.DomainOrder = got
		return err
	case command.GetJoin() != nil:
		return s.node.Join(ctx, command.GetJoin())
	case command.GetLeave() != "":
		return s.node.Leave(ctx, command.GetLeave())
	}
	return errors.New("the command is not known")
}
