package control

import (
	"context"
	"maps"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// do runs a function in the goroutine that owns the replica.
func (n *Node) do(ctx context.Context, call func()) error {
	done := make(chan struct{})
	wrapped := func() {
		call()
		close(done)
	}
	select {
	case n.inbox <- wrapped:
	case <-n.failed:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-n.failed:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deliver hands messages of another replica to the core.
func (n *Node) Deliver(ctx context.Context, messages []*wire.Message) error {
	return n.do(ctx, func() {
		for _, m := range messages {
			if m.GetFromAddress() != "" {
				n.addresses[m.GetFrom()] = m.GetFromAddress()
			}
			n.pending = append(n.pending, n.core.Receive(n.timers.Now(), m)...)
		}
	})
}

// propose appends a command to the log and waits until it is committed.
func (n *Node) propose(ctx context.Context, command *wire.Command) (Outcome, uint64, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return Outcome{}, 0, errors.Wrap(err, "command cannot be encoded")
	}
	return n.await(ctx, func() (uint64, []replog.Action, error) {
		return n.core.Propose(n.timers.Now(), data)
	})
}

func (n *Node) await(ctx context.Context, propose func() (uint64, []replog.Action, error)) (Outcome, uint64, error) {
	done := make(chan proposalResult, 1)
	err := n.do(ctx, func() {
		index, actions, err := propose()
		if err != nil {
			done <- proposalResult{err: err}
			return
		}
		if old, ok := n.waiters[index]; ok {
			old.done <- proposalResult{err: ErrSuperseded}
		}
		n.waiters[index] = waiter{term: n.core.Term(), done: done}
		n.pending = append(n.pending, actions...)
	})
	if err != nil {
		return Outcome{}, 0, err
	}
	select {
	case r := <-done:
		return r.outcome, r.index, r.err
	case <-ctx.Done():
		return Outcome{}, 0, ctx.Err()
	}
}

// Change validates a change and commits it. Findings refuse it before it
// reaches the log.
func (n *Node) Change(ctx context.Context, c *wire.Change) (*wire.ChangeResult, error) {
	refused, err := n.validate(ctx, c)
	if err != nil || refused != nil {
		return refused, err
	}
	c.ProposedUnixMs = unixMillis()
	outcome, _, err := n.propose(ctx, &wire.Command{Change: c})
	return outcome.Change, err
}

// validate answers a change that needs no record: a resend, or one with
// findings.
func (n *Node) validate(ctx context.Context, c *wire.Change) (*wire.ChangeResult, error) {
	var answer *wire.ChangeResult
	var current bool
	var texts map[string]string
	err := n.do(ctx, func() {
		if known, ok := n.state.Known(c.GetIdentity()); ok {
			answer = answerKnown(known, ChangeDigest(c))
			return
		}
		current = c.GetExpectedVersion() == n.state.Version()
		if current && n.published.Version() != n.state.Version() {
			texts = maps.Clone(n.state.Texts())
		}
	})
	if err != nil || answer != nil || !current {
		return answer, err
	}
	scratch := n.published
	if texts != nil {
		scratch = config.NewStore()
		if err := scratch.Reset(c.GetExpectedVersion(), config.TextSections(texts)); err != nil {
			n.log.Error(err, "the configuration in force cannot be read; the change is checked by itself")
		}
	}
	if err := scratch.Check(c.GetEdits()); err != nil {
		return &wire.ChangeResult{Status: wire.ChangeStatus_CHANGE_STATUS_INVALID, Findings: []string{err.Error()}}, nil
	}
	return nil, nil
}

// OpenDomain asks for the right of the first keepers of a failure domain to
// vote.
func (n *Node) OpenDomain(ctx context.Context, o *wire.OpenDomain) (*wire.OpenDomainResult, error) {
	outcome, _, err := n.propose(ctx, &wire.Command{OpenDomain: o})
	return outcome.Domain, err
}

// RecordOrder commits a step of an order and returns its fencing number.
func (n *Node) RecordOrder(ctx context.Context, step *wire.OrderStep) (uint64, error) {
	_, index, err := n.propose(ctx, &wire.Command{OrderStep: step})
	return index, err
}

// Bootstrap makes the replicas of a membership the first ones. It is refused by
// a replica that belongs to a log already, except with the same membership.
func (n *Node) Bootstrap(ctx context.Context, m *wire.Membership) error {
	var refused error
	err := n.do(ctx, func() {
		if n.core.LastIndex() > 0 {
			if !proto.Equal(n.core.Membership(), m) {
				refused = errors.New("this replica belongs to a log already")
			}
			return
		}
		first := &wire.Snapshot{Index: 1, Term: 1, Membership: m}
		message := &wire.Message{Kind: wire.Kind_KIND_SNAPSHOT, To: n.core.ID(), Term: 1, Snapshot: first}
		for _, a := range n.core.Receive(n.timers.Now(), message) {
			if _, reply := a.(replog.Send); !reply {
				n.pending = append(n.pending, a)
			}
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// ChangeReplicas adds or removes one replica.
func (n *Node) ChangeReplicas(ctx context.Context, change *wire.ReplicaChange) error {
	_, _, err := n.await(ctx, func() (uint64, []replog.Action, error) {
		next := cloneMembership(n.core.Membership())
		if change.GetRemove() != "" {
			next.Replicas = without(next.Replicas, change.GetRemove())
		}
		if r := change.GetAdd(); r != nil {
			next.Replicas = append(without(next.Replicas, r.GetId()), &wire.Replica{
				Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Learner: true,
			})
		}
		return n.core.ProposeMembership(n.timers.Now(), next)
	})
	return err
}

func without(replicas []*wire.Replica, id string) []*wire.Replica {
	var out []*wire.Replica
	for _, r := range replicas {
		if r.GetId() != id {
			out = append(out, r)
		}
	}
	return out
}

// Identity returns who this replica is.
func (n *Node) Identity(ctx context.Context) (*wire.ReplicaIdentity, error) {
	out := &wire.ReplicaIdentity{}
	err := n.do(ctx, func() {
		out.Id = n.core.ID()
		out.Empty = n.core.LastIndex() == 0
		out.Membership = n.core.Membership()
	})
	return out, err
}

// Leads reports whether this replica leads under a valid lease at this moment,
// and its term.
func (n *Node) Leads(ctx context.Context) (uint64, bool) {
	var term uint64
	var leads bool
	if err := n.do(ctx, func() {
		term, leads = n.core.Term(), n.core.LeaseValid(n.timers.Now())
	}); err != nil {
		return 0, false
	}
	return term, leads
}

// Read runs a function on the state. With current set it fails unless the state
// is that of a leader with a valid lease.
func (n *Node) Read(ctx context.Context, current bool, read func(*replog.Core, *State)) error {
	var refused error
	err := n.do(ctx, func() {
		if current && !n.core.LeaseValid(n.timers.Now()) {
			refused = ErrNotCurrent
			return
		}
		read(n.core, n.state)
	})
	if err != nil {
		return err
	}
	return refused
}

// Declarations returns the declarations in force at this replica, or nil.
func (n *Node) Declarations() *declaration.Set { return n.published.Current() }
