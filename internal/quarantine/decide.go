package quarantine

import (
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

// decide finds the parts to hold back, group by group: each explains some of the crashes, and the
// next one is sought among the others.
func (l *Ledger) decide(now time.Duration) {
	pastMattering := func(c crash) bool { return !l.matters(c, now) }
	l.crashes = slices.DeleteFunc(l.crashes, pastMattering)
	l.uncertain = slices.DeleteFunc(l.uncertain, pastMattering)
	held := l.heldCrashes()
	certain, all := besideRequests(begunLast(l.crashes), held), besideRequests(l.allCrashes(), held)
	l.held = nil
	requests := l.requestNames()
	for g := l.nextGroup(certain, all, requests); g != nil; g = l.nextGroup(certain, all, requests) {
		l.held = append(l.held, g)
		certain, all = without(certain, all, g), without(all, all, g)
	}
	l.lengthen()
	l.forgetUncertain(now)
	maps.DeleteFunc(l.soundNews, func(part string, _ soundNews) bool {
		sound, known := l.sound.get(part)
		return !l.suspected(part) && (!known || now-sound > soundNewsTime)
	})
	l.dropClaims(now)
}

// nextGroup returns the parts that explain most of the crashes which no group that is held back explains, or nil if nothing
// else is to be held back: certain ones, and all of them. A part is blamed for certain crashes only if no other part explains these
// better: what an engine had just begun may end with what crashed it before it began.
func (l *Ledger) nextGroup(certain, all []crash, requests map[string]string) *group {
	suspects := l.suspects(certain, requests)
	worst := slices.IndexFunc(suspects, func(s suspect) bool { return s.enough })
	if worst < 0 {
		return l.uncertainGroup(all, nil)
	}
	if g := l.uncertainGroup(all, &suspects[worst]); g != nil {
		return g
	}
	return newGroup(suspects[worst], suspects, certain)
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

// without returns the crashes that a group does not explain. Of all crashes, it explains those under requests with
// its parts, and with them whatever else ended in the same crash.
func without(crashes, all []crash, g *group) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool {
		return slices.ContainsFunc(all, func(other crash) bool {
			return other.with(c) && containsAll(other.parts, g.parts)
		})
	})
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
