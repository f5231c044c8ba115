package replog

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// placement is how the replicas that could vote, in the order in which they came, stand over the failure domains.
type placement struct {
	replicas []*wire.Replica
	count    map[string]int
	fewest   int // in a failure domain
}

// placementOf returns the placement of the voters and the learners that are ready.
func (c *Core) placementOf(m *wire.Membership, ready []string) placement {
	p := placement{count: map[string]int{}}
	for _, r := range m.GetReplicas() {
		if !r.GetLearner() || slices.Contains(ready, r.GetId()) {
			p.replicas = append(p.replicas, r)
			p.count[r.GetFailureDomain()]++
		}
	}
	p.fewest = len(p.replicas)
	for _, n := range p.count {
		p.fewest = min(p.fewest, n)
	}
	return p
}

// superseded reports whether a newer voter seems to replace a replica: it stands in the same failure domain, and that
// has more replicas than another one. The guess may be wrong. Where a failure domain is not known, none is made.
func (p placement) superseded(id string) bool {
	if p.count[""] > 0 {
		return false
	}
	i := slices.IndexFunc(p.replicas, func(r *wire.Replica) bool { return r.GetId() == id })
	domain := p.replicas[i].GetFailureDomain()
	return p.count[domain] > p.fewest && slices.ContainsFunc(p.replicas[i+1:], func(r *wire.Replica) bool {
		return !r.GetLearner() && r.GetFailureDomain() == domain
	})
}

// best returns which of some learners should vote first: the newest that is not superseded, or else the newest.
func (p placement) best(learners []string) string {
	best := learners[len(learners)-1]
	for _, id := range learners {
		if !p.superseded(id) {
			best = id
		}
	}
	return best
}

// supersededVoter returns a voter that is superseded, or "". The leader is only if no other one is.
func (p placement) supersededVoter(leader string) string {
	found := ""
	for _, r := range p.replicas {
		id := r.GetId()
		if r.GetLearner() || !p.superseded(id) {
			continue
		}
		if id != leader {
			return id
		}
		found = id
	}
	return found
}

// placeVoters returns the next step towards as many voters as there are replicas that could vote, without one of an
// even number that is superseded. It returns nil if nothing is to be done. All voters answer.
func (c *Core) placeVoters(now time.Duration, m *wire.Membership) *wire.Membership {
	ready := c.readyLearners(now, m)
	p := c.placementOf(m, ready)
	voters := len(p.replicas) - len(ready)
	even := voters%2 == 0
	if len(ready) > 0 {
		learner := p.best(ready)
		if even || len(ready) > 1 || !p.superseded(learner) {
			return withVoter(m, learner)
		}
		return nil
	}
	if even && voters > minVoters {
		if id := p.supersededVoter(c.id); id != "" {
			return withoutVote(m, id)
		}
	}
	return nil
}
