package replog

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Limits of membership reconciliation.
const (
	// voterTimeout is the time without a reply after which a voter may be removed, where replicas
	// do not ask to join again by themselves.
	voterTimeout = 5 * time.Second
	// learnerTimeout is the time without a reply after which a learner is removed.
	learnerTimeout = 15 * time.Second
	// maxLearnerLag is how many records a learner may lack and still become a
	// voter: the next append delivers them.
	maxLearnerLag = 16
	// minVoters is the number of voters below which none is removed without a replacement: what is
	// committed is then on two disks at least.
	minVoters = 3
	// wholeTime is how long all voters must answer before the losses that they bear are tolerated ever after: replicas
	// that are being replaced answer beside their successors for a while.
	wholeTime = 5 * time.Second
	// silentHeartbeats is how many heartbeats without a reply make a voter one that may have failed.
	silentHeartbeats = 2
)

// NextMembership reconciles the membership: it returns the one that the leader should
// propose next, or nil. It changes one voter per step and keeps this invariant: whatever is silent, the voters stay so
// many that they bear the loss of as many disks as they were seen to bear when all of them answered, which is (n-1)/2 of
// n, rounded down. A voter that does not answer may be partitioned and come back, while the disks of others are lost for
// good.
//
//   - A failed voter is removed if the others bear as many losses without it. Of an even number one always is: the
//     majority gets smaller.
//   - Any other failed voter stays until a learner has caught up with the log. That one is promoted first, which makes
//     the number even.
//   - Without failed voters, learners that have caught up are promoted. Nobody is while a voter may have failed:
//     whether it has is known soon, and a larger number of voters would keep one that is gone.
//   - Of an even number of voters, one that a newer voter in its failure domain seems to replace becomes a learner. It may
//     then end at any time, and at the moment of a loss nothing is to be decided.
//   - Once a larger number of voters has been whole for some time, the losses that it bears are tolerated ever after.
//
// A voter has failed if it has not replied for some time. An older replica at the address of
// a newer one has lost its disk, and one that has announced its stop is gone: both count as
// failed at once.
func (c *Core) NextMembership(now time.Duration) *wire.Membership {
	latest, latestIndex := c.log.latestMembership()
	if c.role != Leader || latestIndex > c.commit || !c.committedInTerm() {
		return nil
	}
	if unresponsive := c.unresponsiveLearner(now, latest); unresponsive != "" {
		return WithoutReplica(latest, unresponsive)
	}
	survey := c.surveyVoters(now, latest)
	c.whole.update(now, latestIndex, survey)
	if len(survey.failed) > 0 {
		return c.replaceFailed(now, latest, survey)
	}
	if survey.silent {
		return nil
	}
	if next := c.placeVoters(now, latest); next != nil {
		return next
	}
	if lossesBorne(survey.voters) > toleratedLosses(latest) && c.whole.lasted(now, wholeTime) {
		return withTolerance(latest)
	}
	return nil
}

// replaceFailed returns the next step where voters have failed, or nil while nothing can be done.
func (c *Core) replaceFailed(now time.Duration, m *wire.Membership, survey voterSurvey) *wire.Membership {
	if survey.voters > minVoters && lossesBorne(survey.voters-1) >= toleratedLosses(m) {
		return WithoutReplica(m, survey.failed[0])
	}
	if ready := c.readyLearners(now, m); len(ready) > 0 {
		return withVoter(m, c.placementOf(m, ready).best(ready))
	}
	return nil
}

// wholeVoters records since when all voters of a membership have answered.
type wholeVoters struct {
	whole bool
	index uint64 // of the membership
	since time.Duration
}

func (w *wholeVoters) update(now time.Duration, index uint64, survey voterSurvey) {
	whole := len(survey.failed) == 0 && !survey.silent
	if whole != w.whole || index != w.index {
		*w = wholeVoters{whole: whole, index: index, since: now}
	}
}

// lasted reports whether all voters have answered for a time.
func (w *wholeVoters) lasted(now, d time.Duration) bool { return w.whole && now-w.since >= d }

// voterSurvey is what a leader knows of the voters.
type voterSurvey struct {
	voters int
	failed []string // in the order in which they are to be removed
	silent bool     // whether another voter may have failed
}

// surveyVoters finds the voters that have failed. Those that a newer replica at their address has replaced come
// first, then the others by the time of their silence, and last the leader itself, which fails by leaving only.
func (c *Core) surveyVoters(now time.Duration, m *wire.Membership) voterSurvey {
	var out voterSurvey
	var replaced, silent, self []string
	for _, r := range m.GetReplicas() {
		id := r.GetId()
		if r.GetLearner() {
			continue
		}
		out.voters++
		switch {
		case id == c.id:
			if c.hasLeft(id) {
				self = append(self, id)
			}
		case isReplaced(m, r):
			replaced = append(replaced, id)
		case c.hasLeft(id) || c.hasFailed(now, id):
			silent = append(silent, id)
		case c.isSilent(now, id):
			out.silent = true
		}
	}
	slices.SortStableFunc(silent, func(a, b string) int {
		return cmp.Compare(c.timeSinceContact(now, b), c.timeSinceContact(now, a))
	})
	out.failed = slices.Concat(replaced, silent, self)
	return out
}

// isReplaced reports whether a newer replica stands at the address of a replica, which has then lost its disk.
func isReplaced(m *wire.Membership, r *wire.Replica) bool {
	replicas := m.GetReplicas()
	for i, other := range replicas {
		if other.GetId() == r.GetId() {
			return slices.ContainsFunc(replicas[i+1:], func(newer *wire.Replica) bool { return newer.GetAddress() == r.GetAddress() })
		}
	}
	return false
}

// hasLeft reports whether a replica has announced its stop and was not heard of since, but for
// its last replies.
func (c *Core) hasLeft(id string) bool {
	announced, ok := c.leaving[id]
	p := c.replicaProgress[id]
	return ok && (p == nil || p.lastContact < announced+c.timing.Election)
}

// hasFailed reports whether a voter has been silent for so long that it counts as failed. It does not before it
// had time to answer this leader.
func (c *Core) hasFailed(now time.Duration, id string) bool {
	return now >= c.ledSince+c.timing.Heartbeat && c.timeSinceContact(now, id) > c.voterTimeout()
}

// isSilent reports whether a voter may have failed: it has not answered this leader lately.
func (c *Core) isSilent(now time.Duration, id string) bool {
	p := c.replicaProgress[id]
	return p == nil || !p.answered || c.timeSinceContact(now, id) > silentHeartbeats*c.timing.Heartbeat
}

// voterTimeout returns the time without a reply after which a voter has failed. Where replicas join again by
// themselves it is shorter than the time after which a leader without a majority steps down: once two of four are
// silent, this leader is the only one that can still make the majority smaller.
func (c *Core) voterTimeout() time.Duration {
	if c.rejoining {
		return c.timing.Election
	}
	return voterTimeout
}

// timeSinceContact returns for how long a replica has not answered, while this one could have heard it.
func (c *Core) timeSinceContact(now time.Duration, id string) time.Duration {
	p := c.replicaProgress[id]
	if id == c.id || p == nil {
		return 0
	}
	return now - max(p.lastContact, c.steadySince)
}

func (c *Core) unresponsiveLearner(now time.Duration, m *wire.Membership) string {
	for _, r := range m.GetReplicas() {
		if r.GetLearner() && c.timeSinceContact(now, r.GetId()) > learnerTimeout {
			return r.GetId()
		}
	}
	return ""
}

// readyLearners returns the IDs of the learners that could vote.
func (c *Core) readyLearners(now time.Duration, m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		if r.GetLearner() && c.isReady(now, r.GetId()) {
			out = append(out, r.GetId())
		}
	}
	return out
}

// isReady reports whether a learner has caught up with the log and answers.
func (c *Core) isReady(now time.Duration, id string) bool {
	match := c.MatchIndex(id)
	return match > 0 && match+maxLearnerLag >= c.commit && c.timeSinceContact(now, id) < c.timing.Election && !c.hasLeft(id)
}
