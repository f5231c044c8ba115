package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of the steward's decisions.
const (
	// voterSilence is the silence after which a voter may be dropped.
	voterSilence = 5 * time.Second
	// learnerSilence is the silence after which a learner is dropped.
	learnerSilence = 15 * time.Second
	// caughtUpWithin is how many records a learner may lack and still become a
	// voter: the rest reaches it with the next append.
	caughtUpWithin = 16
)

// Steward returns the membership that the leader should propose next, or nil. It
// keeps the number of voters that can be lost as high as it can, one voter a
// step:
//
//   - a learner that has the log becomes a voter;
//   - a silent voter is dropped when a learner can take its place, or when the
//     number of voters is even, so that the majority gets smaller;
//   - an older replica at the address of a newer one has lost its disk and counts
//     as silent at once.
//
// A silent voter of an odd number stays without a replacement: its log may be the
// only copy beside the leader's when it returns.
func (c *Core) Steward(now time.Duration) *wire.Membership {
	latest, at := c.log.latestMembership()
	if c.role != Leader || at > c.commit || !c.committedInTerm() {
		return nil
	}
	if gone := c.silentLearner(now, latest); gone != "" {
		return Without(latest, gone)
	}
	dead := c.deadVoter(now, latest)
	learner := c.readyLearner(now, latest)
	even := len(voterIDs(latest))%2 == 0
	switch {
	case dead != "" && (even || learner != "") && len(voterIDs(latest)) > 1:
		return Without(latest, dead)
	case learner != "":
		return withVoter(latest, learner)
	}
	return nil
}

// Join returns the membership with a replica as a learner, or nil when it is a
// member at that address already.
func Join(m *wire.Membership, r *wire.Replica) *wire.Membership {
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
		learner = old.GetLearner() // a voter that moved stays one
	}
	next.Replicas = append(next.Replicas, &wire.Replica{
		Id: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Learner: learner,
	})
	return next
}

func (c *Core) silentFor(now time.Duration, id string) time.Duration {
	p := c.others[id]
	if id == c.id || p == nil {
		return 0
	}
	return now - p.heard
}

func (c *Core) silentLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		if r.GetLearner() && c.silentFor(now, r.GetId()) > learnerSilence {
			return r.GetId()
		}
	}
	return ""
}

// deadVoter prefers a voter that a newer replica at its address supersedes.
func (c *Core) deadVoter(now time.Duration, m *wire.Membership) string {
	silent := ""
	replicas := m.GetReplicas()
	for i, r := range replicas {
		if r.GetLearner() || r.GetId() == c.id {
			continue
		}
		if slices.ContainsFunc(replicas[i+1:], func(newer *wire.Replica) bool { return newer.GetAddress() == r.GetAddress() }) {
			return r.GetId()
		}
		if c.silentFor(now, r.GetId()) > voterSilence {
			silent = r.GetId()
		}
	}
	return silent
}

func (c *Core) readyLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		match := c.MatchIndex(r.GetId())
		if r.GetLearner() && match > 0 && match+caughtUpWithin >= c.commit && c.silentFor(now, r.GetId()) < c.timing.Election {
			return r.GetId()
		}
	}
	return ""
}

// Without returns a copy of a membership that lacks one replica.
func Without(m *wire.Membership, id string) *wire.Membership {
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

// HearsLeader reports whether this replica leads with a valid lease or has heard
// a leader within the given time.
func (c *Core) HearsLeader(now, within time.Duration) bool {
	if c.role == Leader {
		return c.LeaseValid(now)
	}
	return c.leader != "" && now < c.heard+within
}

// Member reports whether a membership that this replica knows holds it.
func (c *Core) Member() bool {
	return slices.ContainsFunc(c.Membership().GetReplicas(), func(r *wire.Replica) bool { return r.GetId() == c.id })
}
