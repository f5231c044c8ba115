package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxUncertain bounds the uncertain crashes that are remembered, and uncertainLifetime is how long one is that does not
	// explain why a part is held back.
	maxUncertain      = 128
	uncertainLifetime = 5 * time.Minute
	// recentTime is how long before a crash a part may have been answered whole not to be among those that may be its reason:
	// parts of most requests are, and others need not be told of them.
	recentTime = time.Second
	// momentTime is how soon after each other crashes of different targets are one moment, unless the later one had been sent
	// its request since. Targets that end together end for a reason that they share, such as a power loss; instances see
	// that some tenths of a second apart.
	momentTime = 100 * time.Millisecond
	// minMoments is the number of moments at which targets must have crashed, of which there are minCrashesUnclear, before
	// a part that was not answered whole since is held back. While nothing at all was answered whole meanwhile, it is
	// minMomentsUnclear: targets may then be ending whatever they are sent.
	minMoments        = 5
	minMomentsUnclear = 8
)

// MayHaveCrashed records that a target crashed at a time while it had a request whose prompt has the given parts, and
// whose answer had not begun or had been going on for at most LateBegun. SentAt is when the request was sent. What else the
// target had may be the reason as well.
func (l *Ledger) MayHaveCrashed(request, target string, parts []string, sentAt, at, now time.Duration) {
	if ended, seen := l.ended[target]; seen && sentAt >= ended && sentAt-ended <= restartTime {
		return // the target was down
	}
	suspect := slices.DeleteFunc(names(parts), func(part string) bool {
		sound, known := l.sound.get(part)
		return known && at-sound <= recentTime
	})
	if l.addUncertain(crash{id: request + "@" + target, target: target, parts: suspect, at: at, answering: at - sentAt}, true, now) {
		l.decide(now)
	}
}

// addUncertain adds an uncertain crash, and reports whether it is new and matters.
func (l *Ledger) addUncertain(c crash, own bool, now time.Duration) bool {
	known := l.anyCrash(func(other crash) bool { return other.id == c.id })
	if known || len(c.parts) == 0 {
		return false
	}
	l.tellSound(c)
	if !l.matters(c, now) {
		return false
	}
	c.news = l.record(own)
	l.uncertain = append(l.uncertain, c)
	slices.SortStableFunc(l.uncertain, byTime)
	l.renewShared(c)
	if len(l.uncertain) > maxUncertain {
		oldest := slices.IndexFunc(l.uncertain, func(c crash) bool { return !l.explains(c) })
		l.uncertain = slices.Delete(l.uncertain, max(0, oldest), max(0, oldest)+1)
	}
	return true
}

// renewShared makes uncertain crashes news for those who were not told of them, because a new crash is the second with one
// of their parts.
func (l *Ledger) renewShared(c crash) {
	for _, part := range c.parts {
		if l.crashesWith(part) != tellCrashes {
			continue
		}
		for i := range l.uncertain {
			if other := &l.uncertain[i]; slices.Contains(other.parts, part) {
				other.news.version = l.record(false).version
			}
		}
	}
}

// crashesWith counts the crashes under requests with a part, certain or not.
func (l *Ledger) crashesWith(part string) int {
	n := 0
	l.anyCrash(func(c crash) bool {
		if slices.Contains(c.parts, part) {
			n++
		}
		return false
	})
	return n
}

// worthTelling reports whether another crash has a part of an uncertain one: most have no other.
func (l *Ledger) worthTelling(c crash) bool {
	return slices.ContainsFunc(c.parts, func(part string) bool { return l.crashesWith(part) >= tellCrashes })
}

func byTime(a, b crash) int { return cmp.Compare(a.at, b.at) }

// mergeUncertain adds the uncertain crashes that other instances know.
func (l *Ledger) mergeUncertain(e *wire.Evidence, now time.Duration) {
	changed := false
	for _, c := range e.GetUncertainCrashes()[:min(maxUncertain, len(e.GetUncertainCrashes()))] {
		added := l.addUncertain(decodeCrash(c, now), false, now)
		changed = changed || added
	}
	if changed {
		l.decide(now)
	}
}

// forgetUncertain forgets the uncertain crashes that are too old and do not explain why a part is held back. It comes after
// the decision: what another ledger has kept for so long explains it there.
func (l *Ledger) forgetUncertain(now time.Duration) {
	l.uncertain = slices.DeleteFunc(l.uncertain, func(c crash) bool { return now-c.at > uncertainLifetime && !l.explains(c) })
}

// allCrashes returns the crashes, certain or not, by time.
func (l *Ledger) allCrashes() []crash {
	all := append(slices.Clone(l.crashes), l.uncertain...)
	slices.SortStableFunc(all, byTime)
	return all
}

// uncertainGroup returns the parts that most likely explain crashes, certain or not, if these are enough to hold a part
// back, or if certain ones blame a part, which may be nil. It returns nil if nothing is to be held back, or that part.
func (l *Ledger) uncertainGroup(all []crash, blamed *suspect) *group {
	if len(l.uncertain) == 0 {
		return nil
	}
	minCount := minCrashesUnclear
	if blamed != nil {
		minCount = min(minCount, blamed.crashes)
	}
	suspects := l.uncertainSuspects(all, minCount)
	isCause := func(s suspect) bool { return s.enough || blamed != nil && s.part == blamed.part }
	cause := slices.IndexFunc(suspects, isCause)
	if cause < 0 {
		return nil
	}
	worst := likeliest(suspects, suspects[cause])
	if blamed != nil && worst.part == blamed.part {
		return nil
	}
	g := groupOf(worst, suspects, all, func(s suspect) bool { return nearlyDivisor*s.crashes >= nearlyFactor*worst.crashes })
	g.known = g.trials >= minCrashesUnclear // else its time begins with minCrashes
	return g
}

// lengthen counts uncertain crashes too for the time of the groups that are held back.
func (l *Ledger) lengthen() {
	if len(l.uncertain) == 0 {
		return
	}
	all := l.allCrashes()
	for _, g := range l.held {
		g.lengthen(all, l.soundAt(g.parts[0]))
	}
}

// likeliest returns the suspect that most likely explains the crashes for which one of the suspects is to be held back, which are in
// the order of likelier: of those with the most crashes, or one fewer, which may not have been heard of yet, the one in the
// fewest requests for each crash. A part of most requests is in all crashes, whatever causes them.
func likeliest(suspects []suspect, cause suspect) suspect {
	out := cause
	if first := suspects[0]; first.crashes >= min(minCrashesUnclear, cause.crashes) {
		out = first
	}
	for _, s := range suspects {
		if s.known == out.known && s.crashes+1 >= out.crashes && s.requests*out.crashes < out.requests*s.crashes {
			out = s
		}
	}
	return out
}

// uncertainSuspects returns the parts against which at least minCount of the given crashes speak, certain or not, in the
// order of likelier.
func (l *Ledger) uncertainSuspects(crashes []crash, minCount int) []suspect {
	var out []suspect
	for part, n := range countParts(crashes) {
		if n < minCount {
			continue
		}
		s := suspect{part: part, sound: l.soundAt(part)}
		_, s.known = l.sound.get(part)
		counted := against(part, crashes, s.sound)
		if counted.count < minCount {
			continue
		}
		needed := minMoments
		if l.lastSound < counted.first {
			needed = minMomentsUnclear
		}
		s.enough = counted.count >= minCrashesUnclear && counted.moments >= needed
		s.crashes, s.trials, s.last, s.suspectedAt = counted.count, counted.trials, counted.last, counted.suspectedAt
		s.requests = requestsWith(part, crashes, s.sound, nil)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b suspect) int { return cmp.Or(likelier(a, b), cmp.Compare(a.part, b.part)) })
	return out
}

// countParts counts the crashes under requests with each part.
func countParts(crashes []crash) map[string]int {
	out := map[string]int{}
	for _, c := range crashes {
		for _, part := range c.parts {
			out[part]++
		}
	}
	return out
}
