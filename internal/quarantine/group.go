package quarantine

import (
	"slices"
	"time"
)

// group is a set of parts that the same crashes speak against equally, or one request. Only a request
// with all of the parts is held back; one with some of them shows which it is.
type group struct {
	parts   []string // sorted
	crashes int      // of different targets
	trials  int      // of the crashes, those that lengthen the time
	final   int      // number of trials from which on there is no other
	// suspectedAt is as in suspect.
	suspectedAt time.Duration
	known       bool // a request with it was answered before, so that it may be blamed wrongly
	lastCrash   time.Duration
}

// hold returns how long the group is held back after its last crash.
func (g *group) hold() time.Duration {
	if g.trials >= g.final {
		return crashLifetime
	}
	first := minCrashes
	if g.known {
		first = minCrashesUnclear
	}
	return baseHold << (g.trials - first)
}

// newGroup returns the worst suspect together with those that are nearly as likely and were
// in the same requests: which of them it is shows when a request has only some of them.
func newGroup(worst suspect, suspects []suspect, crashes []crash) *group {
	g := groupOf(worst, suspects, crashes, func(s suspect) bool { return nearlyDivisor*s.crashes >= nearlyFactor*worst.crashes })
	if worst.known || worst.othersSound || len(g.parts) > 1 {
		return g
	}
	return groupOf(worst, suspects, crashes, func(s suspect) bool { return nearlyDivisorUnclear*s.requests > worst.requests })
}

// groupOf returns the worst suspect together with those that are nearly as likely, as nearly says, and were in the
// same requests.
func groupOf(worst suspect, suspects []suspect, crashes []crash, nearly func(suspect) bool) *group {
	g := &group{
		parts: []string{worst.part}, crashes: worst.crashes, trials: worst.trials, final: minCrashesUnclear + maxTrials,
		known: worst.known, lastCrash: worst.last, suspectedAt: worst.suspectedAt,
	}
	for _, s := range suspects {
		if s.part == worst.part || s.sound != worst.sound || !nearly(s) || !onlyWith(s.part, worst.part, crashes) {
			continue
		}
		if joint := append(slices.Clone(g.parts), s.part); countWith(joint, crashes) >= minCrashes {
			g.parts = joint
		}
	}
	slices.Sort(g.parts)
	return g
}

// onlyWith reports whether a part was in no request of the crashes without another one.
func onlyWith(part, other string, crashes []crash) bool {
	return !slices.ContainsFunc(crashes, func(c crash) bool { return slices.Contains(c.parts, part) && !slices.Contains(c.parts, other) })
}

// countWith counts the crashes under requests with all of the parts.
func countWith(parts []string, crashes []crash) int {
	n := 0
	for _, c := range crashes {
		if containsAll(c.parts, parts) {
			n++
		}
	}
	return n
}

// lengthen counts uncertain crashes too under requests with all parts of a group that is held back, since these were last
// answered whole.
func (g *group) lengthen(all []crash, sound time.Duration) {
	var counter crashCounter
	for _, c := range all {
		if c.at > sound && containsAll(c.parts, g.parts) {
			counter.add(c.target, c.at, c.answering)
		}
	}
	if counter.last > g.lastCrash {
		g.crashes, g.trials, g.lastCrash = max(g.crashes, counter.count), max(g.trials, counter.trials), counter.last
	}
}
