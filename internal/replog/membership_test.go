package replog_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// reconcile does what the adapter around a core does in deployments that reconcile the
// membership automatically: the leader proposes the steps of Core.NextMembership, and a
// replica that is not a member asks a leader to join.
func (c *cluster) reconcile(m *member) error {
	if !c.autoReconcile || !m.up || m.frozen {
		return nil
	}
	if next := m.core.NextMembership(c.clock(m)); next != nil {
		return c.proposeMembership(m, next)
	}
	if m.core.IsMember() && m.core.HasLeader(c.clock(m), time.Second) {
		return nil
	}
	for _, leader := range c.members {
		if !leader.up || leader.frozen || leader.side != m.side || leader.core.Role() != replog.Leader {
			continue
		}
		next := replog.WithLearner(leader.core.Membership(), &wire.Replica{Id: m.id, Address: m.address, FailureDomain: m.domain})
		if next != nil {
			return c.proposeMembership(leader, next)
		}
	}
	return nil
}

// reconcileAutomatically starts all replicas anew as ones that join and leave the log by themselves.
func (c *cluster) reconcileAutomatically() {
	c.autoReconcile = true
	for _, m := range c.members {
		c.start(m)
	}
}

func (c *cluster) proposeMembership(leader *member, next *wire.Membership) error {
	_, actions, err := leader.core.ProposeMembership(c.clock(leader), next)
	if err != nil {
		return nil // an earlier step is not committed yet; the proposal is retried
	}
	return c.perform(leader, actions)
}

// loseDisk makes a replica lose its disk and restart empty at its address or at another
// one. It does so only while all other replicas hold all records: the log is not
// guaranteed to survive more losses.
func (c *cluster) loseDisk() {
	if !c.fullyReplicated() {
		return
	}
	active := c.activeMembers()
	m := active[c.draw(len(active))]
	m.up, m.retired = false, true
	fresh := &member{id: "r" + strconv.Itoa(c.nextID), address: m.address, domain: m.domain, clockRate: m.clockRate, disk: disk{hardState: &wire.HardState{}}}
	if c.draw(3) == 0 {
		fresh.address = "a" + strconv.Itoa(c.nextID)
	}
	c.nextID++
	c.members = append(c.members, fresh)
	c.start(fresh)
}

// loseReplica makes a replica lose its disk, or a new one join, or one leave for good.
func (c *cluster) loseReplica() error {
	switch active := len(c.activeMembers()); {
	case c.draw(2) == 0:
		c.loseDisk()
	case active < maxActiveMembers && c.draw(2) == 0:
		c.addMember().domain = c.members[c.draw(len(c.members))].domain
	case active > minActiveMembers:
		return c.leaveForGood(c.activeMembers()[c.draw(active)])
	}
	return nil
}

const (
	failureDomains   = 3
	minActiveMembers = 3
	maxActiveMembers = 6
)

// addMember starts a replica with an empty disk at an address of its own.
func (c *cluster) addMember() *member {
	n := strconv.Itoa(c.nextID)
	c.nextID++
	fresh := &member{id: "r" + n, address: "a" + n, clockRate: 1, disk: disk{hardState: &wire.HardState{}}}
	c.members = append(c.members, fresh)
	c.start(fresh)
	return fresh
}

// leaveForGood makes a replica announce its stop to the leader and end. It does so only while all
// replicas hold all records, and if the leader is not busy with another membership.
func (c *cluster) leaveForGood(m *member) error {
	if !c.fullyReplicated() {
		return nil
	}
	leader := c.currentLeader()
	next, err := leader.core.LeaveStep(c.clock(leader), m.id)
	if err != nil {
		return nil //nolint:nilerr // the replica stays and may leave later
	}
	if next != nil {
		err = c.proposeMembership(leader, next)
	}
	m.up, m.retired = false, true
	return err
}

// currentLeader returns the leader with a valid lease, or nil.
func (c *cluster) currentLeader() *member {
	for _, m := range c.members {
		if m.up && m.core.Role() == replog.Leader && m.core.LeaseValid(c.clock(m)) {
			return m
		}
	}
	return nil
}

func (c *cluster) activeMembers() []*member {
	var out []*member
	for _, m := range c.members {
		if !m.retired {
			out = append(out, m)
		}
	}
	return out
}

// fullyReplicated reports whether every replica that is not retired is a voter with all
// records of a leader. One retired voter may remain if the number of voters is odd: as
// many further losses are tolerated as with the even number without it.
func (c *cluster) fullyReplicated() bool {
	for _, leader := range c.members {
		if leader.up && leader.core.Role() == replog.Leader && leader.core.LeaseValid(c.clock(leader)) {
			return c.fullyReplicatedBy(leader)
		}
	}
	return false
}

func (c *cluster) fullyReplicatedBy(leader *member) bool {
	voters, retired, standby := 0, 0, 0
	for _, r := range leader.core.Membership().GetReplicas() {
		m := c.member(r.GetId())
		switch {
		case m.retired:
			retired++
		case r.GetLearner() && standby == 0 && standsBy(leader, r):
			standby++
			continue
		case r.GetLearner() || leader.core.MatchIndex(m.id) < leader.core.LastIndex():
			return false
		}
		voters++
	}
	if retired > 1 || retired == 1 && voters%2 == 0 {
		return false
	}
	return voters-retired+standby == len(c.activeMembers()) && leader.core.Commit() == leader.core.LastIndex()
}

// standsBy reports whether a learner has a newer voter in its failure domain.
func standsBy(leader *member, learner *wire.Replica) bool {
	replicas := leader.core.Membership().GetReplicas()
	i := slices.Index(replicas, learner)
	return learner.GetFailureDomain() != "" && slices.ContainsFunc(replicas[i+1:], func(r *wire.Replica) bool {
		return !r.GetLearner() && r.GetFailureDomain() == learner.GetFailureDomain()
	})
}

// convergeMembership ends all faults and runs until the log is fully replicated. It
// returns an error if that takes more than 2000 steps.
func (c *cluster) convergeMembership() error {
	if err := c.converge(); err != nil {
		return err
	}
	for range 2000 {
		if c.fullyReplicated() {
			return nil
		}
		if err := c.tick(); err != nil {
			return err
		}
		if err := c.drain(); err != nil {
			return err
		}
	}
	return fmt.Errorf("the log is not fully replicated after the faults ended: %s", c.describe())
}

// describe lists the replicas for an error message.
func (c *cluster) describe() string {
	out := ""
	for _, m := range c.members {
		out += fmt.Sprintf("%s@%s up %t retired %t role %s term %d log %d to %d committed %d members", m.id, m.address, m.up, m.retired,
			m.core.Role(), m.core.Term(), m.core.FirstIndex(), m.core.LastIndex(), m.core.Commit())
		for _, r := range m.core.Membership().GetReplicas() {
			out += fmt.Sprintf(" %s learner %t", r.GetId(), r.GetLearner())
		}
		out += "\n"
	}
	return out
}

// TestMembershipReconciliation runs random schedules in which replicas lose their disks
// one at a time in addition to all other faults. The invariants hold, and in the end the
// log is fully replicated without an operator.
func TestMembershipReconciliation(t *testing.T) {
	lostDisks := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "schedule")
		random := rand.New(rand.NewPCG(seed, 4))
		voters := rapid.SampledFrom([]int{3, 4, 5, 6}).Draw(t, "voters")
		steps := rapid.IntRange(100, 800).Draw(t, "steps")
		c := newCluster(voters, random.IntN, noDefect)
		if rapid.Bool().Draw(t, "failure domains") {
			for i, m := range c.members {
				m.domain = "z" + strconv.Itoa(i%failureDomains)
			}
			c.describeMembers()
		}
		c.reconcileAutomatically()
		for range steps {
			if err := c.advance(); err != nil {
				t.Fatalf("step %d: %v", c.step, err)
			}
		}
		lostDisks += len(c.members) - voters
		if err := c.convergeMembership(); err != nil {
			t.Fatal(err)
		}
		if err := c.linearizable(); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%d disks were lost", lostDisks)
	require.Positive(t, lostDisks, "no schedule lost a disk")
}

// TestRestartRestoresCommitted kills all replicas at once. After the restart, and before
// a leader is elected, each knows which records it had committed.
func TestRestartRestoresCommitted(t *testing.T) {
	c := newCluster(3, rand.New(rand.NewPCG(7, 3)).IntN, noDefect)
	require.NoError(t, c.converge())
	for range 10 {
		require.NoError(t, c.propose())
		require.NoError(t, c.drain())
		require.NoError(t, c.tick())
	}
	require.NoError(t, c.converge())
	require.NoError(t, c.tick())
	for _, m := range c.members {
		applied := m.applied
		c.start(m)
		require.NoError(t, c.perform(m, m.core.Tick(c.clock(m))))
		require.Equal(t, replog.Follower, m.core.Role())
		require.Equal(t, applied, m.applied, "%s has not applied the same records as before the restart", m.id)
	}
}
