package replog_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// newReplacedCluster returns three replicas that agree and reconcile their membership, without random
// faults.
func newReplacedCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := newCluster(3, rand.New(rand.NewPCG(seed, 5)).IntN, noDefect)
	c.reconcileAutomatically()
	require.NoError(t, c.converge())
	return c
}

// runFor advances the cluster by a time.
func (c *cluster) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	for end := c.now + d; c.now < end; {
		require.NoError(t, c.tick())
		require.NoError(t, c.drain())
	}
}

// runUntilLed advances the cluster until it has a leader, for a time at most.
func (c *cluster) runUntilLed(t *testing.T, d time.Duration) *member {
	t.Helper()
	for end := c.now + d; c.now < end; {
		require.NoError(t, c.tick())
		require.NoError(t, c.drain())
		if leader := c.currentLeader(); leader != nil {
			return leader
		}
	}
	t.Fatal("no leader any more:\n" + c.describe())
	return nil
}

// endForGood ends a replica, without an announcement.
func (m *member) endForGood() { m.up, m.retired = false, true }

// loseDiskOf makes a replica lose its disk and start empty at its address.
func (c *cluster) loseDiskOf(m *member) {
	m.endForGood()
	fresh := c.addMember()
	fresh.address = m.address
}

func (c *cluster) requireRepaired(t *testing.T) {
	t.Helper()
	require.NoError(t, c.convergeMembership())
}

// follower returns an active replica that does not lead.
func (c *cluster) follower() *member {
	for _, m := range c.activeMembers() {
		if m != c.currentLeader() {
			return m
		}
	}
	return nil
}

const (
	replacedSeeds = 20
	// ledWithin is longer than the election timeouts of a few rounds.
	ledWithin = 6 * time.Second
	// catchUpTime is how long a replica has run when the one that it replaces does not count any more.
	catchUpTime = 4500 * time.Millisecond
)

// TestTwoLeaversAreNotCountedAsVoters guards against two replicas of five that ended one after the
// other and stayed voters for good, since their number was odd.
func TestTwoLeaversAreNotCountedAsVoters(t *testing.T) {
	for seed := range uint64(replacedSeeds) {
		c := newReplacedCluster(t, seed)
		c.addMember()
		c.runFor(t, catchUpTime)
		c.follower().endForGood()
		c.addMember()
		c.runFor(t, time.Second) // the new one votes before the silence of the old one is noticed
		c.follower().endForGood()
		c.runFor(t, 20*time.Second)
		c.loseDiskOf(c.follower())
		c.requireRepaired(t)
	}
}

// TestLeadersEndInTurn guards against leaders that end, one after the other, before the next one
// notices the end of the last, and that stay voters for good.
func TestLeadersEndInTurn(t *testing.T) {
	for seed := range uint64(replacedSeeds) {
		c := newReplacedCluster(t, seed)
		for range 6 {
			c.addMember()
			c.runFor(t, catchUpTime)
			leader := c.runUntilLed(t, ledWithin)
			leader.endForGood()
			c.runUntilLed(t, ledWithin)
		}
		c.requireRepaired(t)
	}
}

// TestReplacedReplicaLeavesFirst guards against a lost disk right after the announced stop of a
// replica that has been replaced, the leader too.
func TestReplacedReplicaLeavesFirst(t *testing.T) {
	for seed := range uint64(replacedSeeds) {
		c := newReplacedCluster(t, seed)
		c.addMember()
		c.runFor(t, catchUpTime)
		leaver := c.follower()
		if seed%2 == 0 {
			leaver = c.currentLeader()
		}
		require.NoError(t, c.leaveForGood(leaver))
		require.NoError(t, c.drain())
		c.loseDiskOf(c.follower())
		c.requireRepaired(t)
	}
}

// TestAnnouncedStopKeepsTheDisks guards against an announced stop of all replicas that leaves the
// records on a single disk.
func TestAnnouncedStopKeepsTheDisks(t *testing.T) {
	for seed := range uint64(replacedSeeds) {
		c := newReplacedCluster(t, seed)
		leader := c.currentLeader()
		for _, m := range c.members {
			next, err := leader.core.LeaveStep(c.clock(leader), m.id)
			require.NoError(t, err)
			require.Nil(t, next)
		}
		c.runFor(t, 20*time.Second)
		require.Len(t, votersOf(c.currentLeader()), 3)
	}
}

func votersOf(m *member) []*wire.Replica {
	var out []*wire.Replica
	for _, r := range m.core.Membership().GetReplicas() {
		if !r.GetLearner() {
			out = append(out, r)
		}
	}
	return out
}
