package control

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// do runs a function in the goroutine that owns the replica and waits until it has run.
// It returns ErrStopped if the replica stops before that, or the error of the context. After an
// error the function has not run and never will, so that it may write variables of the caller.
func (n *Node) do(ctx context.Context, call func()) error {
	done := make(chan struct{})
	var taken atomic.Bool // by the replica, which runs the call, or by the caller, which leaves
	wrapped := func() {
		if taken.CompareAndSwap(false, true) {
			call()
			close(done)
		}
	}
	leave := func(err error) error {
		if taken.CompareAndSwap(false, true) {
			return err
		}
		<-done // the call is running or has run
		return nil
	}
	select {
	case n.inbox <- wrapped:
	case <-n.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return leave(ErrStopped)
	case <-ctx.Done():
		return leave(ctx.Err())
	}
}

// Deliver passes messages from another replica to the core.
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
	return n.awaitCommit(ctx, func() (uint64, []replog.Action, error) {
		return n.core.Propose(n.timers.Now(), data)
	})
}

// awaitCommit runs a proposal in the goroutine that owns the replica and waits until
// its record is committed. It returns the outcome and the index of the record.
func (n *Node) awaitCommit(ctx context.Context, propose func() (uint64, []replog.Action, error)) (Outcome, uint64, error) {
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

// Change validates a change and commits it. A change with findings is rejected
// before it reaches the log.
func (n *Node) Change(ctx context.Context, c *wire.Change) (*wire.ChangeResult, error) {
	immediate, err := n.validate(ctx, c)
	if err != nil || immediate != nil {
		return immediate, err
	}
	c.ProposedUnixMs = unixMillis()
	outcome, _, err := n.propose(ctx, &wire.Command{Change: c})
	return outcome.Change, err
}

// validate returns the result of a change that needs no record in the log: a
// resend, or a change with findings. It returns nil for any other change.
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
	store := n.published
	if texts != nil {
		store = config.NewStore()
		if err := store.Reset(c.GetExpectedVersion(), config.SectionsFromTexts(texts)); err != nil {
			n.log.Error(err, "cannot load the configuration in force; validating the change without it")
		}
	}
	if err := store.Check(c.GetEdits()); err != nil {
		return &wire.ChangeResult{Status: wire.ChangeStatus_CHANGE_STATUS_INVALID, Findings: []string{err.Error()}}, nil
	}
	return nil, nil
}

// OpenDomain commits a request to grant the first keepers of a failure domain the right
// to vote. It returns the incarnations of the keepers that were granted it first.
func (n *Node) OpenDomain(ctx context.Context, o *wire.OpenDomain) (*wire.OpenDomainResult, error) {
	outcome, _, err := n.propose(ctx, &wire.Command{OpenDomain: o})
	return outcome.Domain, err
}

// RecordOrder commits a step of an order and returns its fencing number, which is the
// index of the record.
func (n *Node) RecordOrder(ctx context.Context, step *wire.OrderStep) (uint64, error) {
	_, index, err := n.propose(ctx, &wire.Command{OrderStep: step})
	return index, err
}

// Bootstrap starts the log with the given membership as the initial one. A replica
// that already belongs to a log returns an error, except for the same membership.
func (n *Node) Bootstrap(ctx context.Context, m *wire.Membership) error {
	var refused error
	err := n.do(ctx, func() {
		if !slices.Contains(replicaIDs(m), n.core.ID()) {
			refused = errors.New("this replica is not in the membership: it has lost its disk since its ID was asked")
			return
		}
		if n.core.LastIndex() > 0 {
			if !proto.Equal(n.core.Membership(), m) {
				refused = errors.New("this replica belongs to a log already")
			}
			return
		}
		n.pending = append(n.pending, n.installMembership(m)...)
	})
	if err != nil {
		return err
	}
	return refused
}

// installMembership returns the actions that make a membership the first record of an
// empty log.
func (n *Node) installMembership(m *wire.Membership) []replog.Action {
	first := &wire.Snapshot{Index: 1, Term: 1, Membership: m}
	message := &wire.Message{Kind: wire.Kind_KIND_SNAPSHOT, To: n.core.ID(), Term: 1, Snapshot: first}
	var out []replog.Action
	for _, a := range n.core.Receive(n.timers.Now(), message) {
		if _, reply := a.(replog.Send); !reply {
			out = append(out, a)
		}
	}
	return out
}

// ChangeReplicas adds or removes one replica.
func (n *Node) ChangeReplicas(ctx context.Context, change *wire.ReplicaChange) error {
	_, _, err := n.awaitCommit(ctx, func() (uint64, []replog.Action, error) {
		next := replog.WithoutReplica(n.core.Membership(), change.GetRemove())
		if r := change.GetAdd(); r != nil {
			next = replog.WithoutReplica(next, r.GetId())
			next.Replicas = append(next.Replicas, &wire.Replica{
				Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(), Learner: true,
			})
		}
		replog.BoundTolerance(next)
		return n.core.ProposeMembership(n.timers.Now(), next)
	})
	return err
}

// Identity returns the replica's ID, its membership and whether its log is empty.
func (n *Node) Identity(ctx context.Context) (*wire.ReplicaIdentity, error) {
	out := &wire.ReplicaIdentity{}
	err := n.do(ctx, func() {
		out.Id = n.core.ID()
		out.Empty = n.core.LastIndex() == 0
		out.Membership = n.core.Membership()
	})
	return out, err
}

// Leads returns the replica's term and reports whether it currently leads with a
// valid lease.
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

// Read runs a function on the core and the state. With linearizable set it returns
// ErrNotCurrent unless this replica leads with a valid lease and has applied what is committed: a new leader
// may learn in the same batch of calls that records which an earlier leader acknowledged are committed.
func (n *Node) Read(ctx context.Context, linearizable bool, read func(*replog.Core, *State)) error {
	var refused error
	err := n.do(ctx, func() {
		if linearizable && (!n.core.LeaseValid(n.timers.Now()) || n.applied < n.core.Commit()) {
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

// Offer commits a document. The result holds the number of the document that is then
// in force. On a replica that does not lead it returns replog.ErrNotLeader.
func (n *Node) Offer(ctx context.Context, d *wire.Document) (*wire.DocumentResult, error) {
	outcome, _, err := n.propose(ctx, &wire.Command{Document: d})
	return outcome.Document, err
}

// Document returns the document in force, or nil before the first. It returns
// ErrNotCurrent unless this replica leads with a valid lease.
func (n *Node) Document(ctx context.Context) (*wire.Document, error) {
	var out *wire.Document
	err := n.Read(ctx, true, func(_ *replog.Core, s *State) { out = s.Document() })
	return out, err
}

// Join adds a replica as a learner; the leader promotes it to a voter once it has
// caught up with the log. On a replica that does not lead it returns
// replog.ErrNotLeader.
func (n *Node) Join(ctx context.Context, r *wire.Replica) error {
	_, _, err := n.awaitCommit(ctx, func() (uint64, []replog.Action, error) {
		if n.core.Role() != replog.Leader {
			return 0, nil, replog.ErrNotLeader
		}
		if n.core.AnswersAt(n.timers.Now(), r.GetAddress(), r.GetId()) {
			return 0, nil, errAddressTaken
		}
		next := replog.WithLearner(n.core.Membership(), r)
		if next == nil {
			return 0, nil, errAlreadyMember
		}
		n.log.Info("replica joins as learner", "replica", r.GetId(), "address", r.GetAddress())
		return n.core.ProposeMembership(n.timers.Now(), next)
	})
	if errors.Is(err, errAlreadyMember) {
		return nil
	}
	return err
}

// Leave removes the vote of a replica that is about to stop, if more failures of the others are borne
// without it, and returns when that is committed. On a replica that does not lead it returns
// replog.ErrNotLeader, and replog.ErrMembershipPending while an earlier change is not committed.
func (n *Node) Leave(ctx context.Context, id string) error {
	for {
		_, _, err := n.awaitCommit(ctx, func() (uint64, []replog.Action, error) {
			next, err := n.core.LeaveStep(n.timers.Now(), id)
			if err != nil {
				return 0, nil, err
			}
			if next == nil {
				return 0, nil, errNothingToLeave
			}
			n.log.Info("replica leaves", "replica", id, "replicas", describeReplicas(next), "term", n.core.Term())
			return n.core.ProposeMembership(n.timers.Now(), next)
		})
		if errors.Is(err, errNothingToLeave) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errNothingToLeave ends the steps of a replica that leaves.
var errNothingToLeave = errors.New("the replica has no vote, or keeps it until it returns")

// errAddressTaken is returned for a replica whose address another one answers from: its request to join was held up, and it
// does not run any more.
var errAddressTaken = errors.New("another replica answers from the address of this one")

// errAlreadyMember ends a proposal for a replica that is already a member.
var errAlreadyMember = errors.New("the replica is a member already")

// LogStatus is a replica's current knowledge of its membership in the log and of the
// leader.
type LogStatus struct {
	leaderReachable bool
	member          bool
	domain          string // failure domain of this replica as the membership states it
	leader          string
	addresses       []string
	voters          int
	evacuation      Evacuation
	evacuationView  wire.EvacuationView
}

// Evacuation returns the evacuated failure domains that the replica knows of.
func (s LogStatus) Evacuation() Evacuation { return s.evacuation }

// Voters returns the number of voters in the membership that the replica knows.
func (s LogStatus) Voters() int { return s.voters }

// Learners returns the number of learners in the membership that the replica knows.
func (s LogStatus) Learners() int { return len(s.addresses) - s.voters }

// LeaderReachable reports whether the replica leads with a valid lease or has received a
// message from its leader within twice the minimum election timeout.
func (s LogStatus) LeaderReachable() bool { return s.leaderReachable }

// Member reports whether the replica is in the membership that it knows.
func (s LogStatus) Member() bool { return s.member }

// Leader returns the leader's peer address, or the empty string if it is unknown.
func (s LogStatus) Leader() string { return s.leader }

// Addresses returns the peer addresses of the replicas.
func (s LogStatus) Addresses() []string { return s.addresses }

// LogStatus returns the replica's current knowledge of its membership and of the leader.
func (n *Node) LogStatus(ctx context.Context) (LogStatus, error) {
	var out LogStatus
	err := n.do(ctx, func() {
		out.leaderReachable = n.core.HasLeader(n.timers.Now(), 2*n.timing.Election)
		out.member = n.core.IsMember()
		out.evacuation, out.evacuationView = n.state.Evacuation(), n.evacuationView()
		for _, r := range n.core.Membership().GetReplicas() {
			out.addresses = append(out.addresses, r.GetAddress())
			if !r.GetLearner() {
				out.voters++
			}
			if r.GetId() == n.core.ID() {
				out.domain = r.GetFailureDomain()
			}
			if r.GetId() == n.core.LeaderID() {
				out.leader = r.GetAddress()
			}
		}
	})
	return out, err
}

// Declarations returns the declarations in force at this replica, or nil if there are
// none.
func (n *Node) Declarations() *declaration.Set { return n.published.Current() }
