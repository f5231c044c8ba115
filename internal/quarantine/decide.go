package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// JustBegun is how long an engine has been answering a request at most if its crash is attributed
// to that request. What an engine ran for longer it did not crash on.
const JustBegun = 500 * time.Millisecond

const (
	// minCrashes is the number of engines that must have crashed before a part is held back of
	// which no request is known that was answered whole, while others with parts of the same
	// requests were. Otherwise it is minCrashesUnclear, for parts that were answered whole since
	// then: at first, each part of all requests looks as suspect as any other.
	minCrashes        = 3
	minCrashesUnclear = 5
	// minCrashesFurther is the number in place of minCrashes once another part is held back: two that
	// crash engines at the same time are rarer than engines that crash for other reasons.
	minCrashesFurther = 4
	// A part is nearly as likely as another one if it has nearlyFactor of nearlyDivisor of its
	// crashes.
	nearlyFactor  = 3
	nearlyDivisor = 4
	// While nothing is known to be sound, a part is near enough to another one if more than one in
	// nearlyDivisorUnclear of the other's requests have it: a part of all requests is in all crashes, whatever
	// causes them. Repeats of a request are one, so that what begins alike is not taken for the request.
	nearlyDivisorUnclear = 2
	// baseHold is how long something is held back after the last of minCrashes crashes, or of
	// minCrashesUnclear if it was answered before. It doubles with each further crash. Of those after
	// minCrashesUnclear, only one in burstTime counts: what was under way when the others crashed is no
	// new trial.
	baseHold  = 20 * time.Second
	burstTime = 10 * time.Second
	// maxTrials is the number of trials that may crash their targets. After the last one there is no other
	// until the crashes are forgotten.
	maxTrials = 3
	// restartTime is how soon after a crash the same target cannot crash again; two requests
	// with the same part may end together in one crash.
	restartTime = 2 * time.Second
	// besideMargin is how much earlier an engine must have begun to answer a request than another
	// one for the latter to be the likelier reason of its crash.
	besideMargin = 20 * time.Millisecond
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

// Held is why a request is held back.
type Held struct {
	// Part is one of the request's parts that crashed engines, or the name of the request.
	Part string
	// Whole reports that targets crashed on the request, not only on a part of it.
	Whole bool
	// Crashes is the number of engines that crashed.
	Crashes int
	// Age is the time since the last crash.
	Age time.Duration
	// Wait is how long the part will be held back.
	Wait time.Duration
}

// Check reports whether a request with the given parts may be sent to an engine. It returns nil
// if so. Once the time of a part has passed, one request is let through as a trial, by one of the
// instances that exchange evidence.
func (l *Ledger) Check(parts []string, now time.Duration) *Held {
	if len(l.held) == 0 || len(parts) == 0 {
		return nil
	}
	has := names(parts)
	for _, g := range l.held {
		if !containsAll(has, g.parts) {
			continue
		}
		if held := l.checkGroup(g, now); held != nil {
			return held
		}
	}
	return nil
}

// checkGroup returns why a request with all parts of a group is held back, or nil if it is let through as
// a trial.
func (l *Ledger) checkGroup(g *group, now time.Duration) *Held {
	wait := g.lastCrash + g.hold() - now
	if wait <= 0 && l.mayTry(g, now) {
		return nil
	}
	return &Held{Part: g.parts[0], Crashes: g.crashes, Age: now - g.lastCrash, Wait: max(wait, claimTime)}
}

// Parts returns the number of groups of parts that are held back.
func (l *Ledger) Parts() int { return len(l.held) }

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

// decide finds the parts to hold back, group by group: each explains some of the crashes, and the
// next one is sought among the others.
func (l *Ledger) decide(now time.Duration) {
	pastMattering := func(c crash) bool { return !l.matters(c, now) }
	l.crashes = slices.DeleteFunc(l.crashes, pastMattering)
	l.uncertain = slices.DeleteFunc(l.uncertain, pastMattering)
	unexplained := besideRequests(begunLast(l.crashes), l.heldCrashes())
	l.held = nil
	requests := l.requestNames()
	for {
		suspects := l.suspects(unexplained, requests)
		worst := slices.IndexFunc(suspects, func(s suspect) bool { return s.enough })
		if worst < 0 {
			break
		}
		g := newGroup(suspects[worst], suspects, unexplained)
		l.held = append(l.held, g)
		unexplained = without(unexplained, g)
	}
	l.holdUncertain()
	l.forgetUncertain(now)
	maps.DeleteFunc(l.soundNews, func(part string, _ soundNews) bool {
		sound, known := l.sound.get(part)
		return !l.suspected(part) && (!known || now-sound > soundNewsTime)
	})
	l.dropClaims(now)
}

// begunLast returns the crashes without those of requests that ran beside another one which their
// engine began to answer later, and ended with.
func begunLast(crashes []crash) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool {
		return slices.ContainsFunc(crashes, func(other crash) bool { return other.with(c) && other.answering+besideMargin < c.answering })
	})
}

// with reports whether two requests ended in the same crash.
func (c crash) with(other crash) bool {
	return other.target == c.target && (other.at-c.at).Abs() <= restartTime
}

// without returns the crashes that a group does not explain. It explains those under requests with
// its parts, and with them whatever else ended in the same crash.
func without(crashes []crash, g *group) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool {
		return slices.ContainsFunc(crashes, func(other crash) bool {
			return other.with(c) && containsAll(other.parts, g.parts)
		})
	})
}

// suspect is a part that several crashes speak against.
type suspect struct {
	part     string
	known    bool          // a request with it is known to have been answered whole
	sound    time.Duration // when the last one was
	crashes  int
	trials   int           // as in group
	last     time.Duration // when the last crash was
	enough   bool          // the crashes are enough to hold the part back
	requests int           // number of different requests of these crashes
	// othersSound reports that other parts of these requests were answered whole.
	othersSound bool
	// suspectedAt is when the last of the first minCrashes crashes was.
	suspectedAt time.Duration
}

// suspects returns the parts that at least minCrashes of the given crashes speak against, the
// likeliest first: those never answered whole, then those with the most crashes, then those answered
// whole the longest ago. Requests holds the names of requests by crashes.
func (l *Ledger) suspects(crashes []crash, requests map[string]string) []suspect {
	var out []suspect
	for _, part := range partsOf(crashes) {
		s, needed := suspect{part: part}, minCrashesUnclear
		_, s.known = l.sound.get(part)
		s.sound = l.soundAt(part)
		s.othersSound = l.othersSound(part, crashes)
		if !s.known && s.othersSound {
			needed = minCrashes
		}
		counted := against(part, crashes, s.sound)
		s.requests = requestsWith(part, crashes, s.sound, requests)
		s.crashes, s.trials, s.last, s.suspectedAt = counted.count, counted.trials, counted.last, counted.suspectedAt
		if needed == minCrashes && l.heldBefore(s.suspectedAt) {
			needed = minCrashesFurther
		}
		if s.crashes >= minCrashes {
			s.enough = s.crashes >= needed
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, likelier)
	return out
}

// likelier orders suspects, the likeliest first.
func likelier(a, b suspect) int {
	switch {
	case a.known != b.known && b.known:
		return -1
	case a.known != b.known:
		return 1
	}
	return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sound, b.sound), cmp.Compare(a.suspectedAt, b.suspectedAt))
}

// heldBefore reports whether a group that is held back was suspected before a time.
func (l *Ledger) heldBefore(at time.Duration) bool {
	return slices.ContainsFunc(l.held, func(g *group) bool { return g.suspectedAt < at })
}

// othersSound reports whether another part of the requests that crashed engines with a part was in
// a request that was answered whole.
func (l *Ledger) othersSound(part string, crashes []crash) bool {
	return slices.ContainsFunc(crashes, func(c crash) bool {
		return slices.Contains(c.parts, part) && slices.ContainsFunc(c.parts, func(other string) bool {
			_, known := l.sound.get(other)
			return known
		})
	})
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

// requestsWith returns the number of different requests of the crashes with a part, since it was last answered
// whole. Repeats of a request on which several targets crashed are one; names holds the names of such requests by
// the crashes.
func requestsWith(part string, crashes []crash, sound time.Duration, names map[string]string) int {
	requests := map[string]struct{}{}
	for _, c := range crashes {
		if c.at > sound && slices.Contains(c.parts, part) {
			requests[cmp.Or(names[c.id], c.id)] = struct{}{}
		}
	}
	return len(requests)
}

// requestNames returns the names of the requests on which targets crashed, by the crashes.
func (l *Ledger) requestNames() map[string]string {
	out := map[string]string{}
	for _, r := range l.requests {
		for _, c := range r.crashes {
			out[c.id] = c.name
		}
	}
	return out
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

// partsOf returns the parts of all requests of the crashes, sorted.
func partsOf(crashes []crash) []string {
	var out []string
	for _, c := range crashes {
		out = append(out, c.parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

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

// containsAll reports whether the sorted list has holds all of the parts.
func containsAll(has, parts []string) bool {
	for _, part := range parts {
		if _, found := slices.BinarySearch(has, part); !found {
			return false
		}
	}
	return true
}
