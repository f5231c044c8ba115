package soak_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// successorTime is how long the successor of a replica runs until the old one does not count any more.
	successorTime = 6 * time.Second
	// nextLossTime bounds the time from the end of a replaced replica to the loss of a disk.
	nextLossTime = 1500 * time.Millisecond
	// minSplitTime and maxSplitTime bound how long a replica is cut off. An order that it holds up is late then.
	minSplitTime = 4 * time.Second
	maxSplitTime = 9 * time.Second
	// wholeTimeout bounds how long all replicas take to count again: one that has ended is dropped after 15 s.
	wholeTimeout = 45 * time.Second
	// downTime is how long a replica that loses its disk is down.
	downTime = time.Second
)

// makeReplicaFaults draws the losses of replicas of a seed. Each waits until all replicas count again.
func makeReplicaFaults(seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, 8))
	kinds := []fault{faultReplace, faultSplitWipe, faultReplace}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	var out []step
	for i, f := range kinds {
		s := step{at: time.Duration(i+1) * time.Second, fault: f, subject: controlName(random.IntN(controlCount)), to: controlName(random.IntN(controlCount))}
		s.duration = time.Duration(random.Int64N(int64(nextLossTime)))
		if f == faultSplitWipe {
			s.duration = minSplitTime + time.Duration(random.Int64N(int64(maxSplitTime-minSplitTime)))
		}
		out = append(out, s)
	}
	return out
}

// slotOf returns the slot of replicas that a step names by its first replica.
func slotOf(name string) int {
	return slices.Index([]string{controlName(0), controlName(1), controlName(2)}, name)
}

// runReplicaStep runs a loss of replicas, once the log has recovered from the one before.
func (c *cluster) runReplicaStep(s step) {
	c.wipeMu.Lock()
	defer c.wipeMu.Unlock()
	if waitUntilDone(func() string {
		if c.hasAllVoters() {
			return ""
		}
		return "log is not whole"
	}, wholeTimeout) != "" {
		c.addFinding("log does not have three voters and no learner %s after the last loss", wholeTimeout)
		return
	}
	slot := slotOf(s.subject)
	other := c.replica((slot + 1 + slotOf(s.to)%(controlCount-1)) % controlCount)
	if s.fault == faultSplitWipe {
		c.splitAndWipe(c.replica(slot), other, s.duration)
		return
	}
	if c.replace(slot) {
		time.Sleep(s.duration)
		c.loseDisk(other, downTime)
	}
}

// splitAndWipe cuts a replica off from the other ones for a time, and makes one of these lose its disk meanwhile.
func (c *cluster) splitAndWipe(cut, lost *process, d time.Duration) {
	var links []link
	for i := range controlCount {
		if r := c.replica(i); r != cut {
			links = append(links, link{cut.name, r.name}, link{r.name, cut.name})
		}
	}
	block := func(by int) {
		for _, l := range links {
			c.net.updateState(l, func(state *linkState) {
				state.forwardBlocks += by
				state.backwardBlocks += by
			})
		}
	}
	block(1)
	time.Sleep(d / 2)
	c.loseDisk(lost, downTime)
	time.Sleep(d / 2)
	block(-1)
}

// replace starts a successor of the replica of a slot, at another address, and ends the old one without a word. It reports
// false if there is none left.
func (c *cluster) replace(slot int) bool {
	old, successor := c.replica(slot), c.spareReplica()
	if successor == nil {
		return false
	}
	successor.domain = old.domain
	if err := c.start(successor, false); err != nil {
		c.addFinding("cannot start %s: %v", successor.name, err)
		return false
	}
	time.Sleep(successorTime)
	c.mu.Lock()
	c.replicas[slot] = successor.name
	c.mu.Unlock()
	old.kill()
	return true
}

// spareReplica returns a replica that has not been used yet, or nil.
func (c *cluster) spareReplica() *process {
	for i := controlCount; i < controlCount+spareReplicas; i++ {
		if p := c.processes[controlName(i)]; p.signalState().count == 0 {
			return p
		}
	}
	return nil
}

// TestSoakReplicas guards against a log that has no leader any more after losses of replicas that are tolerated, and against
// orders for failure domains that are held up by a cut between replicas and carried out later.
func TestSoakReplicas(t *testing.T) {
	playSeeds(t, loadOptions{operators: 2}, makeReplicaFaults)
}
