package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

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

// lossesBorne returns how many of a number of voters may lose their disks, or end for good, so that the others are
// still a majority.
func lossesBorne(voters int) int { return max(0, voters-1) / 2 }

// toleratedLosses returns how many lost voters a membership is to bear.
func toleratedLosses(m *wire.Membership) int {
	if tolerated := int(m.GetToleratedLosses()); tolerated > 0 {
		return tolerated
	}
	return lossesBorne(len(voterIDs(m)))
}

// withoutReplicas returns a membership without replicas that is to bear as many lost voters.
func withoutReplicas(m *wire.Membership) *wire.Membership {
	return &wire.Membership{ToleratedLosses: uint32(toleratedLosses(m))}
}

// BoundTolerance lowers how many lost voters a membership is to bear to what its voters do. It is for the membership that an
// operator orders, who may want fewer voters.
func BoundTolerance(m *wire.Membership) {
	m.ToleratedLosses = uint32(min(toleratedLosses(m), lossesBorne(len(voterIDs(m)))))
}

// withTolerance returns a copy of a membership that is to bear as many lost voters as its voters do.
func withTolerance(m *wire.Membership) *wire.Membership {
	return &wire.Membership{Replicas: m.GetReplicas(), ToleratedLosses: uint32(lossesBorne(len(voterIDs(m))))}
}

// WithLearner returns the membership with a replica added as a learner. Of a replica that is a member already it changes
// address and failure domain, and not whether it votes. It returns nil if nothing changes.
func WithLearner(m *wire.Membership, r *wire.Replica) *wire.Membership {
	added := &wire.Replica{
		Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(), Learner: true,
	}
	next := withoutReplicas(m)
	for _, old := range m.GetReplicas() {
		switch {
		case old.GetId() != r.GetId():
			next.Replicas = append(next.Replicas, old)
		case old.GetAddress() != r.GetAddress():
			added.Learner = old.GetLearner() // it comes last, as the newest replica at its address
		case r.GetFailureDomain() == "" || old.GetFailureDomain() == r.GetFailureDomain():
			return nil
		default:
			added.Learner = old.GetLearner()
			next.Replicas = append(next.Replicas, added)
			added = nil
		}
	}
	if added != nil {
		next.Replicas = append(next.Replicas, added)
	}
	return next
}

// WithoutReplica returns a copy of a membership that lacks one replica.
func WithoutReplica(m *wire.Membership, id string) *wire.Membership {
	next := withoutReplicas(m)
	for _, r := range m.GetReplicas() {
		if r.GetId() != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

// withVoter returns a copy of a membership in which a learner votes.
func withVoter(m *wire.Membership, id string) *wire.Membership { return withVote(m, id, true) }

// withoutVote returns a copy of a membership in which a voter is a learner.
func withoutVote(m *wire.Membership, id string) *wire.Membership { return withVote(m, id, false) }

func withVote(m *wire.Membership, id string, votes bool) *wire.Membership {
	next := withoutReplicas(m)
	for _, r := range m.GetReplicas() {
		if r.GetId() == id {
			r = &wire.Replica{
				Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), FailureDomain: r.GetFailureDomain(), Learner: !votes,
			}
		}
		next.Replicas = append(next.Replicas, r)
	}
	return next
}

// AnswersAt reports whether another replica than the one with an ID has lately answered this leader from an address. One
// that lost its disk does not: then a new replica runs at its address.
func (c *Core) AnswersAt(now time.Duration, address, id string) bool {
	return slices.ContainsFunc(c.Membership().GetReplicas(), func(r *wire.Replica) bool {
		other := r.GetId()
		return r.GetAddress() == address && other != id && (other == c.id || !c.isSilent(now, other))
	})
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
