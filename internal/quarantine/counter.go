package quarantine

import (
	"slices"
	"time"
)

// against counts the crashes that speak against a part: those of different targets under requests
// with it, since it was last answered whole.
func against(part string, crashes []crash, sound time.Duration) crashCounter {
	var counter crashCounter
	for _, c := range crashes {
		if c.at > sound && slices.Contains(c.parts, part) {
			counter.add(c.target, c.at, c.answering)
		}
	}
	return counter
}

// crashCounter counts crashes, in the order of their times. Two of the same target within restartTime are
// one.
type crashCounter struct {
	count     int
	trials    int // as in group
	last      time.Duration
	lastTrial time.Duration
	// suspectedAt is when the count reached minCrashes.
	suspectedAt time.Duration
	lastOf      map[string]time.Duration // by target
	// moments is the number of crashes that came momentTime or more after the one before, or at a target that had begun to work
	// on its request since then; the first included.
	moments    int
	lastMoment time.Duration
	first      time.Duration
}

// add counts a crash of a target that had been working on a request for a time.
func (c *crashCounter) add(target string, at, working time.Duration) {
	if c.lastOf == nil {
		c.lastOf = map[string]time.Duration{}
	}
	if before, seen := c.lastOf[target]; !seen || at-before > restartTime {
		c.count++
		if c.count == 1 {
			c.first = at
		}
		if c.count == 1 || at-c.lastMoment >= momentTime || at-working > c.lastMoment {
			c.moments, c.lastMoment = c.moments+1, at
		}
		if c.count == minCrashes {
			c.suspectedAt = at
		}
		if c.count <= minCrashesUnclear || at-c.lastTrial > burstTime {
			c.trials, c.lastTrial = c.trials+1, at
		}
	}
	c.lastOf[target], c.last = at, at
}
