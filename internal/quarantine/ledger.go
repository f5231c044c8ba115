// Package quarantine decides which parts of prompts are kept from engines because engine after
// engine crashed when it began to answer requests with these parts, and which requests are kept from
// targets because each that began to run them crashed. It uses neither clocks nor
// sockets: the caller passes the current time. Instances exchange what they have seen as
// wire.Evidence, and each decides by itself.
package quarantine

import (
	"encoding/hex"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
	// crashLifetime is how long a crash is remembered.
	crashLifetime = 2 * time.Hour
	// maxNameBytes bounds the names of parts. A longer one is replaced by its hash.
	maxNameBytes = 16
	// soundNewsTime is how long a whole answer stays news after the last crash that it speaks
	// against was dropped.
	soundNewsTime = time.Minute
	// soundRefresh is how much newer a whole answer must be to be news to other instances, if
	// no crash lies in between.
	soundRefresh = 5 * time.Second
)

// Ledger holds crashes of engines with the requests that they had just begun to answer, and
// which parts of prompts were in requests that were answered whole. It is not safe for concurrent
// use.
type Ledger struct {
	instance  string
	crashes   []crash
	uncertain []crash // of which any request may be the reason that ended in them
	sound     recent
	lastSound time.Duration        // of the last whole answer to any prompt with parts
	soundNews map[string]soundNews // by part that was in the request of a crash
	held      []*group
	requests  map[string]*repeated     // by name
	answered  recent                   // requests that this instance saw answered
	ended     map[string]time.Duration // when targets ended connections last
	claims    map[string]claim         // by the first part of a group
	latest    news
}

// news numbers the records of a ledger in the order in which they came, so that others can be told
// what is new to them.
type news struct {
	version uint64 // grows with all news
	own     uint64 // grows with the news that did not come from other instances
}

// soundNews is the whole answer with a part that others are told of.
type soundNews struct {
	news news
	at   time.Duration
}

// crash is one engine's crash, as the instance saw it that waited for the answer to a request.
type crash struct {
	id     string // of the request and the engine
	target string
	parts  []string // of the request's prompt, sorted
	at     time.Duration
	// answering is how long the engine had been answering the request, or had had it if the crash is uncertain.
	answering time.Duration
	news      news
}

// encode returns the crash for another instance.
func (c crash) encode(now time.Duration) *wire.EngineCrash {
	return &wire.EngineCrash{Id: c.id, Target: c.target, Parts: c.parts, AgeMs: uint64((now - c.at).Milliseconds()), AnsweringMs: uint32(c.answering.Milliseconds())}
}

// decodeCrash returns the crash that another instance knows.
func decodeCrash(c *wire.EngineCrash, now time.Duration) crash {
	return crash{id: c.GetId(), target: c.GetTarget(), parts: names(c.GetParts()), at: now - age(c.GetAgeMs()), answering: time.Duration(c.GetAnsweringMs()) * time.Millisecond}
}

// New returns an empty ledger of an instance.
func New(instance string) *Ledger {
	return &Ledger{instance: instance, soundNews: map[string]soundNews{}, claims: map[string]claim{}, requests: map[string]*repeated{}, ended: map[string]time.Duration{}, latest: news{own: 1}}
}

// record returns the number of a new record. Own is true for one of this instance.
func (l *Ledger) record(own bool) news {
	l.latest.version++
	out := news{version: l.latest.version}
	if own {
		l.latest.own++
		out.own = l.latest.own
	}
	return out
}

// anyCrash reports whether a crash, certain or not, matches.
func (l *Ledger) anyCrash(matches func(crash) bool) bool {
	return slices.ContainsFunc(l.crashes, matches) || slices.ContainsFunc(l.uncertain, matches)
}

// Crashed records that a target crashed when it had been answering a request, whose prompt has the
// given parts, for a time of at most JustBegun. The request's own part must not be among them.
func (l *Ledger) Crashed(request, target string, parts []string, answering, now time.Duration) {
	l.add(crash{id: request + "@" + target, target: target, parts: names(parts), at: now, answering: answering}, true, now)
}

// Answered records that a request with the given parts was answered whole.
func (l *Ledger) Answered(parts []string, now time.Duration) {
	for _, part := range names(parts) {
		l.addSound(part, now, true, now)
	}
}

// known reports whether a crash is in the ledger.
func (l *Ledger) known(c crash) bool {
	return slices.ContainsFunc(l.crashes, func(other crash) bool { return other.id == c.id })
}

// matters reports whether a crash speaks against any part: it is not too long ago, and not all parts
// were answered whole since.
func (l *Ledger) matters(c crash, now time.Duration) bool {
	return now-c.at <= crashLifetime && slices.ContainsFunc(c.parts, func(part string) bool {
		return l.soundAt(part) < c.at
	})
}

// add adds a crash if it is new and matters. What this instance knows of whole answers with these
// parts becomes news: for others, if it refutes the crash.
func (l *Ledger) add(c crash, own bool, now time.Duration) {
	if l.known(c) || len(c.parts) == 0 || now-c.at > crashLifetime {
		return
	}
	l.tellSound(c)
	if !l.matters(c, now) {
		return
	}
	c.news = l.record(own)
	l.crashes = append(l.crashes, c)
	l.renewShared(c)
	slices.SortStableFunc(l.crashes, func(a, b crash) int { return int(a.at - b.at) })
	l.decide(now)
	if len(l.crashes) > maxCrashes {
		l.forgetOne()
	}
}

// tellSound makes what this instance knows of whole answers with the parts of a new crash news for others, if it refutes
// the crash, or if they were told of none.
func (l *Ledger) tellSound(c crash) {
	for _, part := range c.parts {
		sound, known := l.sound.get(part)
		told, was := l.soundNews[part]
		if known && (!was || told.at < c.at && c.at <= sound) {
			l.soundNews[part] = soundNews{l.record(true), sound}
		}
	}
}

// forgetOne forgets the oldest crash that does not explain why a part is held back, or the oldest.
func (l *Ledger) forgetOne() {
	oldest := slices.IndexFunc(l.crashes, func(c crash) bool { return !l.explains(c) })
	l.crashes = slices.Delete(l.crashes, max(0, oldest), max(0, oldest)+1)
}

// explains reports whether a crash is one of those for which a part is held back.
func (l *Ledger) explains(c crash) bool {
	return slices.ContainsFunc(l.held, func(g *group) bool { return containsAll(c.parts, g.parts) })
}

// addSound adds a whole answer. Only parts that were in the request of a crash are news to other
// instances.
func (l *Ledger) addSound(part string, at time.Duration, own bool, now time.Duration) {
	before, known := l.sound.get(part)
	if known && at <= before {
		return
	}
	l.sound.put(part, at)
	l.lastSound = max(l.lastSound, at)
	if !l.suspected(part) {
		return
	}
	crashedSince := l.anyCrash(func(c crash) bool { return c.at >= before && c.at <= at && slices.Contains(c.parts, part) })
	if !known || crashedSince || at-before >= soundRefresh {
		l.soundNews[part] = soundNews{l.record(own), at}
	}
	if crashedSince || !known {
		l.decide(now)
	}
}

// suspected reports whether a part was in the request of a crash.
func (l *Ledger) suspected(part string) bool {
	return l.anyCrash(func(c crash) bool { return slices.Contains(c.parts, part) })
}

// Suspects reports whether a whole answer to a request with the given parts would refute a crash.
func (l *Ledger) Suspects(r Request, parts []string) bool {
	return slices.ContainsFunc(r.names(), func(name string) bool { return l.against(name) > 0 }) ||
		slices.ContainsFunc(names(parts), func(part string) bool {
			sound := l.soundAt(part)
			return l.anyCrash(func(c crash) bool { return c.at > sound && slices.Contains(c.parts, part) })
		})
}

// soundAt returns when a part was last answered whole, or the earliest time if that is not known.
func (l *Ledger) soundAt(part string) time.Duration {
	if at, known := l.sound.get(part); known {
		return at
	}
	return math.MinInt64
}

// Version returns a number that grows whenever Evidence has news.
func (l *Ledger) Version() uint64 { return l.latest.version }

// OwnVersion returns a number that grows whenever Evidence has news that did not come from Merge.
// It is 0 if there is no evidence.
func (l *Ledger) OwnVersion() uint64 {
	if len(l.crashes) == 0 && len(l.uncertain) == 0 && len(l.soundNews) == 0 && len(l.requests) == 0 {
		return 0
	}
	return l.latest.own
}

// Evidence returns what this instance knows, from others too.
func (l *Ledger) Evidence(now time.Duration) *wire.Evidence {
	return l.evidence(func(news) bool { return true }, 1, now)
}

// News returns what has become known since the given Version, for an instance: of requests those on
// which targets crashed more than once, and of uncertain crashes those with a part of another crash.
func (l *Ledger) News(version uint64, now time.Duration) *wire.Evidence {
	return l.evidence(func(n news) bool { return n.version > version }, tellCrashes, now)
}

// OwnNews returns what this instance has seen since the given OwnVersion, or all that it knows if
// that is 0.
func (l *Ledger) OwnNews(own uint64, now time.Duration) *wire.Evidence {
	return l.evidence(func(n news) bool { return own == 0 || n.own > own }, 1, now)
}

// evidence returns the records that are wanted, of requests those with at least minCount crashes. If that is above 1, it leaves out
// uncertain crashes that have no part in common with another crash.
func (l *Ledger) evidence(wanted func(news) bool, minCount int, now time.Duration) *wire.Evidence {
	out := &wire.Evidence{}
	l.addRequestEvidence(out, wanted, minCount, now)
	for _, c := range l.crashes {
		if wanted(c.news) {
			out.Crashes = append(out.Crashes, c.encode(now))
		}
	}
	for _, c := range l.uncertain {
		if wanted(c.news) && (minCount < tellCrashes || l.worthTelling(c)) {
			out.UncertainCrashes = append(out.UncertainCrashes, c.encode(now))
		}
	}
	for part, told := range l.soundNews {
		if at, known := l.sound.get(part); known && wanted(told.news) {
			out.Sound = append(out.Sound, &wire.SoundPart{Part: part, AgeMs: uint64((now - at).Milliseconds())})
		}
	}
	for part, c := range l.claims {
		if wanted(c.news) && c.holds(now) {
			out.Claims = append(out.Claims, &wire.TrialClaim{Part: part, Instance: c.instance, AgeMs: uint64((now - c.at).Milliseconds())})
		}
	}
	return out
}

// Merge adds what other instances know.
func (l *Ledger) Merge(e *wire.Evidence, now time.Duration) {
	for _, s := range e.GetSound() {
		l.addSound(name(s.GetPart()), now-age(s.GetAgeMs()), false, now)
	}
	for _, c := range e.GetCrashes()[:min(maxCrashes, len(e.GetCrashes()))] {
		l.add(decodeCrash(c, now), false, now)
	}
	l.mergeUncertain(e, now)
	l.mergeRequests(e, now)
	for _, c := range e.GetClaims()[:min(maxCrashes, len(e.GetClaims()))] {
		l.addClaim(name(c.GetPart()), claim{instance: c.GetInstance(), at: now - age(c.GetAgeMs())}, now)
	}
}

// age returns an age in milliseconds as a duration, at most a little more than crashLifetime.
func age(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64((crashLifetime+time.Second).Milliseconds()))) * time.Millisecond
}

// names returns the names of distinct parts, sorted.
func names(parts []string) []string {
	out := make([]string, 0, len(parts))
	for _, part := range parts {
		out = append(out, name(part))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// name returns the name by which a part is known to all instances.
func name(part string) string {
	if len(part) <= maxNameBytes {
		return part
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, part) // writing to a hash never fails
	return hex.EncodeToString(h.Sum(nil))
}
