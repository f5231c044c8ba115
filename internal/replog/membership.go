package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Limits of membership reconciliation.
const (
	// voterTimeout is the time without a reply after which a voter may be removed, where replicas
	// do not ask to join again by themselves.
	voterTimeout = 5 * time.Second
	// rejoiningVoterElections is the same time where they do, in minimum election timeouts.
	rejoiningVoterElections = 4
	// learnerTimeout is the time without a reply after which a learner is removed.
	learnerTimeout = 15 * time.Second
	// maxLearnerLag is how many records a learner may lack and still become a
	// voter: the next append delivers them.
	maxLearnerLag = 16
	// minVoters is the number of voters below which none is removed without a replacement: what is
	// committed is then on two disks at least.
	minVoters = 3
)

// NextMembership reconciles the membership: it returns the one that the leader should
// propose next, or nil. It keeps the number of voters whose loss is tolerated as high as
// possible and changes one voter per step:
//
//   - a learner that has caught up with the log becomes a voter;
//   - a failed voter is removed when a learner can replace it, or when the number of
//     voters is even, so that the majority gets smaller;
//   - where replicas rejoin by themselves, failed voters of an odd number are removed when
//     there are two or more, which makes the majority smaller as well.
//
// A voter has failed if it has not replied for some time. An older replica at the address of
// a newer one has lost its disk, and one that has announced its stop is gone: both count as
// failed at once.
//
// The one failed voter of an odd number stays if no learner can replace it: when it returns,
// its log may be the only copy in addition to the leader's.
func (c *Core) NextMembership(now time.Duration) *wire.Membership {
	latest, latestIndex := c.log.latestMembership()
	if c.role != Leader || latestIndex > c.commit || !c.committedInTerm() {
		return nil
	}
	if unresponsive := c.unresponsiveLearner(now, latest); unresponsive != "" {
		return WithoutReplica(latest, unresponsive)
	}
	failed := c.failedVoters(now, latest)
	learner := c.readyLearner(now, latest)
	switch {
	case len(failed) > 0 && c.mayRemove(len(voterIDs(latest)), len(failed), learner != ""):
		return WithoutReplica(latest, failed[0])
	case learner != "":
		return withVoter(latest, learner)
	}
	return nil
}

// mayRemove reports whether one of the failed voters may be removed.
func (c *Core) mayRemove(voters, failed int, replaced bool) bool {
	if replaced {
		return voters > 1
	}
	return voters > minVoters && (voters%2 == 0 || c.rejoining && failed > 1)
}

// LeaveStep records that a replica is about to stop, and returns the membership that the leader
// should propose next for it, or nil if nothing is left to do: the replica is no voter any more,
// or its vote is kept until it returns. It returns ErrNotLeader on a replica that does not lead and
// ErrMembershipPending while an earlier membership is not committed.
func (c *Core) LeaveStep(now time.Duration, id string) (*wire.Membership, error) {
	latest, latestIndex := c.log.latestMembership()
	switch {
	case c.role != Leader:
		return nil, ErrNotLeader
	case latestIndex > c.commit || !c.committedInTerm():
		return nil, ErrMembershipPending
	}
	c.leaving[id] = now
	if !slices.Contains(voterIDs(latest), id) {
		return nil, nil
	}
	return c.NextMembership(now), nil
}

// WithLearner returns the membership with a replica added as a learner, or nil if the
// replica is a member at that address already.
func WithLearner(m *wire.Membership, r *wire.Replica) *wire.Membership {
	next := &wire.Membership{}
	learner := true
	for _, old := range m.GetReplicas() {
		if old.GetId() != r.GetId() {
			next.Replicas = append(next.Replicas, old)
			continue
		}
		if old.GetAddress() == r.GetAddress() {
			return nil
		}
		learner = old.GetLearner() // a voter with a new address stays a voter
	}
	next.Replicas = append(next.Replicas, &wire.Replica{
		Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Learner: learner,
	})
	return next
}

func (c *Core) timeSinceContact(now time.Duration, id string) time.Duration {
	p := c.replicaProgress[id]
	if id == c.id || p == nil {
		return 0
	}
	return now - p.lastContact
}

func (c *Core) unresponsiveLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		if r.GetLearner() && c.timeSinceContact(now, r.GetId()) > learnerTimeout {
			return r.GetId()
		}
	}
	return ""
}

// failedVoters returns the voters that have failed, in the order in which they are to be removed:
// first those that a newer replica at their address has replaced, last the leader itself, which
// fails by leaving only.
func (c *Core) failedVoters(now time.Duration, m *wire.Membership) []string {
	var replaced, failed, self []string
	replicas := m.GetReplicas()
	for i, r := range replicas {
		id := r.GetId()
		newer := func(other *wire.Replica) bool { return other.GetAddress() == r.GetAddress() }
		switch {
		case r.GetLearner():
		case id == c.id:
			if c.hasLeft(id) {
				self = append(self, id)
			}
		case slices.ContainsFunc(replicas[i+1:], newer):
			replaced = append(replaced, id)
		case c.hasLeft(id) || c.timeSinceContact(now, id) > c.voterTimeout():
			failed = append(failed, id)
		}
	}
	return slices.Concat(replaced, failed, self)
}

// hasLeft reports whether a replica has announced its stop and was not heard of since, but for
// its last replies.
func (c *Core) hasLeft(id string) bool {
	announced, ok := c.leaving[id]
	p := c.replicaProgress[id]
	return ok && (p == nil || p.lastContact < announced+c.timing.Election)
}

func (c *Core) voterTimeout() time.Duration {
	if c.rejoining {
		return rejoiningVoterElections * c.timing.Election
	}
	return voterTimeout
}

func (c *Core) readyLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		match := c.MatchIndex(r.GetId())
		if r.GetLearner() && match > 0 && match+maxLearnerLag >= c.commit && c.timeSinceContact(now, r.GetId()) < c.timing.Election && !c.hasLeft(r.GetId()) {
			return r.GetId()
		}
	}
	return ""
}

// WithoutReplica returns a copy of a membership that lacks one replica.
func WithoutReplica(m *wire.Membership, id string) *wire.Membership {
	next := &wire.Membership{}
	for _, r := range m.GetReplicas() {
		if r.GetId() != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

func withVoter(m *wire.Membership, id string) *wire.Membership {
	next := &wire.Membership{}
	for _, r := range m.GetReplicas() {
		if r.GetId() == id {
			r = &wire.Replica{Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress()}
		}
		next.Replicas = append(next.Replicas, r)
	}
	return next
}

// HasLeader reports whether this replica leads with a valid lease or has received a
// message from a leader within the given time.
func (c *Core) HasLeader(now, within time.Duration) bool {
	if c.role == Leader {
		return c.LeaseValid(now)
	}
	return c.leader != "" && now < c.leaderContact+within
}

// IsMember reports whether the latest membership that this replica knows contains it.
func (c *Core) IsMember() bool {
	return slices.ContainsFunc(c.Membership().GetReplicas(), func(r *wire.Replica) bool { return r.GetId() == c.id })
}
