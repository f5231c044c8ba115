package quarantine

import (
	"cmp"
	"slices"
	"time"
)

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

// partsOf returns the parts of all requests of the crashes, sorted.
func partsOf(crashes []crash) []string {
	var out []string
	for _, c := range crashes {
		out = append(out, c.parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
