package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Limits of membership reconciliation.
const (
	// voterTimeout is the time without a reply after which a voter may be removed.
	voterTimeout = 5 * time.Second
	// learnerTimeout is the time without a reply after which a learner is removed.
	learnerTimeout = 15 * time.Second
	// maxLearnerLag is how many records a learner may lack and still become a
	// voter: the next append delivers them.
	maxLearnerLag = 16
)

// NextMembership reconciles the membership: it returns the one that the leader should
// propose next, or nil. It keeps the number of voters whose loss is tolerated as high as
// possible and changes one voter per step:
//
//   - a learner that has caught up with the log becomes a voter;
//   - an unresponsive voter is removed when a learner can replace it, or when the
//     number of voters is even, so that the majority gets smaller;
//   - an older replica at the address of a newer one has lost its disk and counts
//     as unresponsive at once.
//
// An unresponsive voter stays if the number of voters is odd and no learner can replace
// it: when it returns, its log may be the only copy in addition to the leader's.
func (c *Core) NextMembership(now time.Duration) *wire.Membership {
	latest, latestIndex := c.log.latestMembership()
	if c.role != Leader || latestIndex > c.commit || !c.committedInTerm() {
		return nil
	}
	if unresponsive := c.unresponsiveLearner(now, latest); unresponsive != "" {
		return WithoutReplica(latest, unresponsive)
	}
	failed := c.failedVoter(now, latest)
	learner := c.readyLearner(now, latest)
	even := len(voterIDs(latest))%2 == 0
	switch {
	case failed != "" && (even || learner != "") && len(voterIDs(latest)) > 1:
		return WithoutReplica(latest, failed)
	case learner != "":
		return withVoter(latest, learner)
	}
	return nil
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

// failedVoter returns a voter to remove, or "" if there is none. It prefers a voter
// that a newer replica at its address has replaced.
func (c *Core) failedVoter(now time.Duration, m *wire.Membership) string {
	unresponsive := ""
	replicas := m.GetReplicas()
	for i, r := range replicas {
		if r.GetLearner() || r.GetId() == c.id {
			continue
		}
		if slices.ContainsFunc(replicas[i+1:], func(newer *wire.Replica) bool { return newer.GetAddress() == r.GetAddress() }) {
			return r.GetId()
		}
		if c.timeSinceContact(now, r.GetId()) > voterTimeout {
			unresponsive = r.GetId()
		}
	}
	return unresponsive
}

func (c *Core) readyLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		match := c.MatchIndex(r.GetId())
		if r.GetLearner() && match > 0 && match+maxLearnerLag >= c.commit && c.timeSinceContact(now, r.GetId()) < c.timing.Election {
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
