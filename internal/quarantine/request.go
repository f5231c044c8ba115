package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"maps"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxRequests bounds the names of requests of which crashes are remembered, and maxRequestCrashes
	// the crashes under one of them.
	maxRequests       = 128
	maxRequestCrashes = 16
	// tellCrashes is the number of crashes from which on a replica tells instances of a request: a
	// single one may have any reason, and most requests do not come again.
	tellCrashes = 2
	// requestMark begins the names of requests. Names of parts that are hashes do not begin with it.
	requestMark = "="
)

// Request identifies a request: repeats of it are equal.
type Request struct {
	name  string // of the same caller, method, host, path with query, and body
	exact string // of these and the shared parts of the prompt; equal to name without any
}

// NewRequest returns the identity of a request. Path includes the query; parts are those that its prompt
// shares with others.
func NewRequest(caller, method, host, path string, body []byte, parts []string) Request {
	h := sha256.New()
	writeField(h, []byte(caller))
	writeField(h, []byte(method))
	writeField(h, []byte(host))
	writeField(h, []byte(path))
	writeField(h, body)
	r := Request{name: requestName(h)}
	for _, part := range parts {
		writeField(h, []byte(part))
	}
	r.exact = requestName(h)
	return r
}

// Name returns the name of the request for logs.
func (r Request) Name() string { return r.exact }

// writeField adds a field with its length, so that names differ wherever fields are divided.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:]) // writing to a hash never fails
	_, _ = h.Write(field)
}

// requestName returns the name for what was written to the hash so far.
func requestName(h hash.Hash) string {
	return requestMark + base64.RawURLEncoding.EncodeToString(h.Sum(nil))[:maxNameBytes-len(requestMark)]
}

// repeated is what is known under one name of a request on which a target crashed.
type repeated struct {
	crashes []requestCrash // by time
	known   bool           // a request with the name is known to have been answered
	sound   time.Duration  // when the last one was
	news    news           // of sound
	told    time.Duration  // the time of the answer that was news last
}

// requestCrash is a target's crash, as the instance saw it that waited for the answer.
type requestCrash struct {
	id     string // of the attempt
	target string
	name   string // both names of the request
	exact  string
	at     time.Duration
	news   news
}

// RequestCrashed records that a target crashed when it had begun to run a request, or was about to, a time
// took after the request was sent. Attempt identifies the attempt. It returns the number of crashes that speak
// against the request. A request that was sent to a target which had crashed shortly before says nothing.
func (l *Ledger) RequestCrashed(r Request, attempt, target string, took, now time.Duration) int {
	before, seen := l.ended[target]
	l.noteEnd(target, now)
	if sent := now - took; seen && sent >= before && sent-before <= restartTime {
		return l.against(r.exact)
	}
	return l.addRequestCrash(requestCrash{id: attempt + "@" + target, target: target, name: r.name, exact: r.exact, at: now}, true, now)
}

// noteEnd records when a target's connections ended last.
func (l *Ledger) noteEnd(target string, now time.Duration) {
	if len(l.ended) >= maxRequests {
		maps.DeleteFunc(l.ended, func(_ string, at time.Duration) bool { return now-at > restartTime })
	}
	if _, known := l.ended[target]; known || len(l.ended) < maxRequests {
		l.ended[target] = now
	}
}

// against returns the number of crashes that speak against the requests with a name.
func (l *Ledger) against(name string) int {
	known := l.requests[name]
	if known == nil {
		return 0
	}
	return known.against().count
}

// RequestAnswered records that a target answered a request completely, whatever the answer: it did not
// crash.
func (l *Ledger) RequestAnswered(r Request, target string, now time.Duration) {
	delete(l.ended, target)
	for _, name := range r.names() {
		l.answered.put(name, now)
		l.addSoundRequest(name, now, true)
	}
}

func (r Request) names() []string {
	if r.exact == r.name {
		return []string{r.name}
	}
	return []string{r.name, r.exact}
}

// CheckRequest reports whether a request may be sent to a target. It returns nil if so. Once its time has
// passed, one repeat is let through as a trial, by one of the instances that exchange evidence.
func (l *Ledger) CheckRequest(r Request, now time.Duration) *Held {
	g := l.heldName(r.exact)
	if g == nil && l.variesInParts(r.name) {
		g = l.heldName(r.name)
	}
	if g == nil {
		return nil
	}
	held := l.checkGroup(g, now)
	if held != nil {
		held.Whole = true
	}
	return held
}

// variesInParts reports whether the crashes of the requests with a name had prompts with different parts,
// so that the parts are not what distinguishes the request that crashes targets from others.
func (l *Ledger) variesInParts(name string) bool {
	r := l.requests[name]
	return r != nil && slices.ContainsFunc(r.crashes, func(c requestCrash) bool { return c.exact != r.crashes[0].exact })
}

// Requests returns the number of names of requests of which crashes are known. Without any, CheckRequest
// returns nil for all.
func (l *Ledger) Requests() int { return len(l.requests) }

// heldName returns the group of a name whose requests are held back, or nil. Requests that were never
// answered are held back after minCrashes; others after minCrashesUnclear since then.
func (l *Ledger) heldName(name string) *group {
	r := l.requests[name]
	if r == nil {
		return nil
	}
	needed := minCrashes
	if r.known {
		needed = minCrashesUnclear
	}
	counted := r.against()
	if counted.count < needed {
		return nil
	}
	return &group{parts: []string{name}, crashes: counted.count, trials: counted.trials, final: minCrashes + maxTrials, known: r.known, lastCrash: counted.last}
}

// against counts the crashes that speak against the request.
func (r *repeated) against() crashCounter {
	var counter crashCounter
	for _, c := range r.crashes {
		if !r.known || c.at > r.sound {
			counter.add(c.target, c.at, 0)
		}
	}
	return counter
}

// addRequestCrash adds a crash under both names of its request, and returns the number that speak against
// the request.
func (l *Ledger) addRequestCrash(c requestCrash, own bool, now time.Duration) int {
	if now-c.at > crashLifetime {
		return 0
	}
	l.addNamedCrash(c.name, c, own)
	l.addNamedCrash(c.exact, c, own)
	count := l.against(c.exact)
	l.forgetRequests(now)
	if count >= minCrashes {
		l.decide(now)
	}
	return count
}

// addNamedCrash adds a crash under one name if it is new.
func (l *Ledger) addNamedCrash(name string, c requestCrash, own bool) {
	r := l.requests[name]
	if r == nil {
		r = &repeated{}
		l.requests[name] = r
		if r.sound, r.known = l.answered.get(name); r.known {
			r.news, r.told = l.record(true), r.sound
		}
	}
	if r.known && r.told < c.at && c.at <= r.sound {
		r.news, r.told = l.record(true), r.sound // others may not know that the crash is refuted
	}
	if slices.ContainsFunc(r.crashes, func(other requestCrash) bool { return other.id == c.id }) {
		return
	}
	c.news = l.record(own)
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b requestCrash) int { return int(a.at - b.at) })
	r.crashes = slices.Delete(r.crashes, 0, max(0, len(r.crashes)-maxRequestCrashes))
	if len(r.crashes) == tellCrashes {
		l.renew(r)
	}
}

// heldCrashes returns the crashes under requests that are held back.
func (l *Ledger) heldCrashes() []requestCrash {
	var out []requestCrash
	for name, r := range l.requests {
		if l.heldName(name) != nil {
			out = append(out, r.crashes...)
		}
	}
	return out
}

// besideRequests returns the crashes without those of requests that ran beside one that is held back, and
// ended with it: that one explains them. Its own stay, since another request may have the same parts.
func besideRequests(crashes []crash, held []requestCrash) []crash {
	return slices.DeleteFunc(crashes, func(c crash) bool {
		own := slices.ContainsFunc(held, func(h requestCrash) bool { return h.id == c.id })
		return !own && slices.ContainsFunc(held, func(h requestCrash) bool { return h.target == c.target && (h.at-c.at).Abs() <= restartTime })
	})
}

// renew makes all that is known of a request news for those who have not been told of it yet.
func (l *Ledger) renew(r *repeated) {
	for i := range r.crashes {
		r.crashes[i].news.version = l.record(false).version
	}
	if r.known {
		r.news.version = l.record(false).version
	}
}

// addSoundRequest adds a whole answer to a request of which a crash is known.
func (l *Ledger) addSoundRequest(request string, at time.Duration, own bool) {
	r := l.requests[request]
	if r == nil || r.known && at <= r.sound {
		return
	}
	crashedSince := slices.ContainsFunc(r.crashes, func(c requestCrash) bool { return c.at <= at && (!r.known || c.at > r.sound) })
	if !r.known || crashedSince || at-r.sound >= soundRefresh {
		r.news, r.told = l.record(own), at
	}
	r.known, r.sound = true, at
}

// forgetRequests forgets what is too old, and names beyond maxRequests.
func (l *Ledger) forgetRequests(now time.Duration) {
	for name, r := range l.requests {
		r.crashes = slices.DeleteFunc(r.crashes, func(c requestCrash) bool { return now-c.at > crashLifetime })
		if len(r.crashes) == 0 {
			delete(l.requests, name)
		}
	}
	for len(l.requests) > maxRequests {
		delete(l.requests, l.leastSuspect())
	}
}

// leastSuspect returns the name with the fewest crashes, of these the one of the oldest.
func (l *Ledger) leastSuspect() string {
	least, leastCount, leastLast := "", 0, time.Duration(0)
	for name, r := range l.requests {
		count := r.against().count
		last := r.crashes[len(r.crashes)-1].at
		if least == "" || count < leastCount || count == leastCount && last < leastLast {
			least, leastCount, leastLast = name, count, last
		}
	}
	return least
}

// addRequestEvidence adds the wanted records about requests that have at least the given number of crashes.
func (l *Ledger) addRequestEvidence(out *wire.Evidence, wanted func(news) bool, minCount int, now time.Duration) {
	for name, r := range l.requests {
		if len(r.crashes) < minCount {
			continue
		}
		for _, c := range r.crashes {
			if wanted(c.news) && name == c.name {
				out.RequestCrashes = append(out.RequestCrashes, &wire.RequestCrash{Request: c.name, Exact: c.exact, Id: c.id, Target: c.target, AgeMs: uint64((now - c.at).Milliseconds())})
			}
		}
		if r.known && wanted(r.news) {
			out.SoundRequests = append(out.SoundRequests, &wire.SoundRequest{Request: name, AgeMs: uint64((now - r.sound).Milliseconds())})
		}
	}
}

// mergeRequests adds what other instances know of requests.
func (l *Ledger) mergeRequests(e *wire.Evidence, now time.Duration) {
	const most = maxRequests * maxRequestCrashes
	for _, c := range e.GetRequestCrashes()[:min(most, len(e.GetRequestCrashes()))] {
		crash := requestCrash{id: c.GetId(), target: c.GetTarget(), name: name(c.GetRequest()), exact: name(c.GetExact()), at: now - age(c.GetAgeMs())}
		l.addRequestCrash(crash, false, now)
	}
	for _, s := range e.GetSoundRequests()[:min(most, len(e.GetSoundRequests()))] {
		l.addSoundRequest(name(s.GetRequest()), now-age(s.GetAgeMs()), false)
	}
}
