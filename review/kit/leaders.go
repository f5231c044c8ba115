package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"
)

// beforeLeader is how long a successor runs before the leader that it replaces is stopped.
const beforeLeader = catchUpTime + 500*time.Millisecond

// replacedLeaders replaces all three machines of the core by plan, one after the other, the new one first,
// each time the one that leads. Nothing else happens.
func replacedLeaders(c *cluster, trouble bool) (verdict, string) {
	op := newOperator(c.record)
	running, seeds, err := startCore(c, op)
	if err != nil {
		return cannotRun, err.Error()
	}
	for i := 0; i < len(zones) && trouble; i++ {
		if running, err = replaceLeader(c, running, i, seeds); err != nil {
			return cannotRun, err.Error()
		}
		version := 9 + 2*i
		if op.put(recoveryTime+ackTime, configuration(version, tenant("huka270", "key-a")), running...) == 200 {
			continue
		}
		if got := op.read(contactTime+ackTime, running...); got < uint64(version-2) {
			return broken, "after planned work alone the acknowledged configuration does not come any more, and no change is acknowledged"
		}
		return cannotRun, "a change was not acknowledged, but the configuration can be read"
	}
	if op.read(ackTime, running...) < 7 {
		return broken, "the configuration does not come"
	}
	return held, "the configuration was read back"
}

// replaceLeader is replace for the machine that leads.
func replaceLeader(c *cluster, running []*node, turn int, seeds []string) ([]*node, error) {
	leader := leaderOf(running)
	last := len(running) - 1
	if leader >= 0 {
		running[leader], running[last] = running[last], running[leader]
	}
	return replace(c, running, turn, beforeLeader, seeds)
}

// leaderOf returns which of the machines has last said in its log that it leads, or -1.
func leaderOf(nodes []*node) int {
	leader, latest := -1, ""
	for i, n := range nodes {
		data, err := os.ReadFile(filepath.Join(n.cluster.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, `"replica-role":"leader"`) {
				continue
			}
			if _, rest, ok := strings.Cut(line, `"ts":"`); ok && len(rest) > 24 && rest[:24] > latest {
				leader, latest = i, rest[:24]
			}
		}
	}
	return leader
}
