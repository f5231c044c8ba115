package quarantine

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	// claimTime is how long a claim holds, and resultTime how much of that is left at least for the
	// result of the trial.
	claimTime  = 20 * time.Second
	resultTime = 10 * time.Second
	// settleTime is how long after its claim an instance waits for the claims of others: until they
	// have heard of it, and it of theirs.
	settleTime = 5 * time.Second
)

// claim is an instance's claim to send the one request that tries whether a part, or a request, still
// crashes targets. Of several at the same time, the one of the lowest rank holds: all instances that exchange
// evidence agree on it without asking anyone.
type claim struct {
	instance string
	at       time.Duration
	used     bool // the request was sent; known to the claiming instance only
	news     news
}

// mayTry reports whether a request may be sent as a trial. The first call claims it; a later one, once
// others have had time to object, uses the claim.
func (l *Ledger) mayTry(g *group, now time.Duration) bool {
	part := g.parts[0]
	c, ok := l.claims[part]
	if !ok || !c.holds(now) || c.at < g.lastCrash {
		l.claims[part] = claim{instance: l.instance, at: now, news: l.record(true)}
		return false
	}
	if c.instance != l.instance || c.used || now < c.at+settleTime || now > c.at+claimTime-resultTime {
		return false
	}
	c.used = true
	l.claims[part] = c
	return true
}

func (c claim) holds(now time.Duration) bool { return now < c.at+claimTime }

// addClaim adds a claim of another instance.
func (l *Ledger) addClaim(part string, c claim, now time.Duration) {
	if !c.holds(now) || c.instance == l.instance {
		return
	}
	held, ok := l.claims[part]
	switch {
	case ok && held.holds(now) && (held.instance == c.instance || rank(held.instance, part) <= rank(c.instance, part)):
		return
	case !ok && len(l.claims) >= maxCrashes:
		return
	}
	c.news = l.record(false)
	l.claims[part] = c
}

// rank orders the instances that may try a part, for each part in another way.
func rank(instance, part string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance+"\n"+part) // writing to a hash never fails
	return h.Sum64()
}

// dropClaims drops the claims that no longer hold, and those for what is not held back.
func (l *Ledger) dropClaims(now time.Duration) {
	maps.DeleteFunc(l.claims, func(part string, c claim) bool {
		held := slices.ContainsFunc(l.held, func(g *group) bool { return g.parts[0] == part })
		return !held && l.heldName(part) == nil || !c.holds(now)
	})
}
