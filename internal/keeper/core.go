// Package keeper remembers non-idempotent requests, so that none runs twice. A
// failure domain's keepers hold each record on a majority before the request's
// first byte leaves for a target. It is a function of state, event and time.
//
// Rules that make a record's majority lasting:
//
//   - A keeper votes only while it holds every record that it ever granted. One
//     that restarted has a new incarnation. It waits until every claim that its
//     earlier votes could count for is decided, then recalls the records of as
//     many voting keepers as any majority must meet.
//   - A keeper grants a key to one attempt only, and only as long as it knows of
//     no other. Recalled attempts are held, all of them, and get no grant: the
//     keeper may have voted for any of them.
//   - When the declared keepers change, the new ones recall the records of a
//     majority of the old ones, which thereby stop granting in the old epoch.
//   - Where that many keepers cannot be reached, a keeper waits for one record
//     lifetime, after which nothing that it may have forgotten still counts. It
//     does not do so while keepers of an earlier epoch could still be granting.
//   - The first keepers of a failure domain start at once by a grant of the
//     replicated log, which is given once.
package keeper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Epoch is one set of keepers of a failure domain.
type Epoch struct {
	// Number rises with each change of the set.
	Number uint64
	// Members are the names of the keepers.
	Members []string
	// Previous are the names of the keepers of the epoch before, while they may
	// still be granting.
	Previous []string
	// Lifetime is how long a record is kept after it was last active.
	Lifetime time.Duration
}

// Quorum returns the number of keepers that hold a granted record.
func (e Epoch) Quorum() int { return len(e.Members)/2 + 1 }

// mode is what a keeper may do.
type mode int

const (
	absent     mode = iota // not a keeper, or without a configuration
	recovering             // must recall records before it votes
	voting
)

// ClaimBound is the longest time from the first intent of a claim to its ruling.
// Claims that take longer must not be granted.
const ClaimBound = 2 * time.Second

// record is what a keeper knows of one key.
type record struct {
	attempts []*wire.Record
	granted  string // attempt that this start of the keeper granted in this epoch
	touched  time.Duration
}

// find returns the position of an attempt, or -1.
func (r *record) find(attempt string) int {
	return slices.IndexFunc(r.attempts, func(w *wire.Record) bool { return w.GetAttempt() == attempt })
}

// best returns the attempt that says most about the request: one that is done
// before one that is not.
func (r *record) best() *wire.Record {
	for _, w := range r.attempts {
		if w.GetDone() {
			return w
		}
	}
	return r.attempts[0]
}

// Core is one keeper. It is not safe for concurrent use.
type Core struct {
	name        string
	incarnation string
	capacity    int

	mode     mode
	epoch    Epoch
	sealed   uint64 // epochs below this one grant nothing
	since    time.Duration
	held     uint64 // last epoch in which this start of the keeper voted
	live     bool   // saw the current epoch begin, so it did not vote in it before
	records  map[string]*record
	recalls  map[string]*wire.RecallResponse
	opened   []string // first keepers by the grant of the replicated log
	lastScan time.Duration
}

// New returns a keeper that has just started, under an incarnation that no other
// start has had.
func New(name, incarnation string, capacity int, now time.Duration) *Core {
	return &Core{
		name: name, incarnation: incarnation, capacity: capacity, since: now,
		records: map[string]*record{}, recalls: map[string]*wire.RecallResponse{},
	}
}

// Incarnation returns the identity of this start.
func (c *Core) Incarnation() string { return c.incarnation }

// Voting reports whether the keeper grants records.
func (c *Core) Voting() bool { return c.mode == voting }

// Records returns the number of records held.
func (c *Core) Records() int { return len(c.records) }

// Epoch returns the current epoch.
func (c *Core) Epoch() Epoch { return c.epoch }

// Configure takes a configuration. A new epoch makes a member recall records
// from the keepers of the epoch before.
func (c *Core) Configure(now time.Duration, epoch Epoch) {
	if epoch.Number < c.epoch.Number {
		return
	}
	if epoch.Number == c.epoch.Number {
		c.epoch.Lifetime, c.epoch.Previous = epoch.Lifetime, epoch.Previous
		return
	}
	c.live = c.epoch.Number > 0
	c.epoch = epoch
	c.sealed = max(c.sealed, epoch.Number)
	c.recalls = map[string]*wire.RecallResponse{}
	c.since = now
	for _, r := range c.records {
		r.granted = "" // a grant counts in its own epoch only
	}
	c.mode = absent
	if slices.Contains(epoch.Members, c.name) {
		c.mode = recovering
		c.recalls[c.name] = &wire.RecallResponse{HeldEpoch: c.held, Epoch: epoch.Number, Incarnation: c.incarnation}
	}
}

// vote starts to grant records in the current epoch.
func (c *Core) vote() {
	c.mode = voting
	c.held = c.epoch.Number
}

// Intent asks to record a request that is about to run, or renews its record.
func (c *Core) Intent(now time.Duration, in *wire.IntentRequest) *wire.IntentResponse {
	out := &wire.IntentResponse{Epoch: c.epoch.Number}
	switch {
	case in.GetEpoch() != c.epoch.Number || in.GetEpoch() < c.sealed:
		out.Status = wire.IntentStatus_INTENT_STATUS_WRONG_EPOCH
		return out
	case c.mode != voting:
		out.Status = wire.IntentStatus_INTENT_STATUS_NOT_READY
		return out
	}
	c.expire(now)
	if held := c.records[in.GetKey()]; held != nil {
		return c.answerHeld(now, held, in)
	}
	if len(c.records) >= c.capacity {
		out.Status = wire.IntentStatus_INTENT_STATUS_FULL
		return out
	}
	c.records[in.GetKey()] = &record{touched: now, granted: in.GetAttempt(), attempts: []*wire.Record{{
		Key: in.GetKey(), Attempt: in.GetAttempt(), Owner: in.GetOwner(),
		OwnerAddress: in.GetOwnerAddress(), Digest: in.GetDigest(),
	}}}
	out.Status = wire.IntentStatus_INTENT_STATUS_GRANTED
	return out
}

func (c *Core) answerHeld(now time.Duration, held *record, in *wire.IntentRequest) *wire.IntentResponse {
	out := &wire.IntentResponse{Epoch: c.epoch.Number}
	if held.find(in.GetAttempt()) >= 0 {
		held.touched = now
	}
	if held.granted == in.GetAttempt() {
		out.Status = wire.IntentStatus_INTENT_STATUS_GRANTED
		return out
	}
	out.Status = wire.IntentStatus_INTENT_STATUS_HELD
	out.Record = held.best()
	return out
}

// Outcome stores the answer to a request, or removes the record of one that
// never left for its target.
func (c *Core) Outcome(now time.Duration, in *wire.OutcomeRequest) {
	held := c.records[in.GetKey()]
	if held == nil {
		return
	}
	i := held.find(in.GetAttempt())
	if i < 0 {
		return
	}
	if in.GetRelease() {
		held.attempts = slices.Delete(held.attempts, i, i+1)
		if len(held.attempts) == 0 {
			delete(c.records, in.GetKey())
		}
		return
	}
	held.touched = now
	// Records are shared with recall answers, so they are replaced, not changed.
	old := held.attempts[i]
	held.attempts[i] = &wire.Record{
		Key: old.GetKey(), Attempt: old.GetAttempt(), Owner: old.GetOwner(),
		OwnerAddress: old.GetOwnerAddress(), Digest: old.GetDigest(), Done: true, Answer: in.GetAnswer(),
	}
}

// Lookup returns the record of a key, or nil.
func (c *Core) Lookup(now time.Duration, key string) *wire.Record {
	c.expire(now)
	if r := c.records[key]; r != nil {
		return r.best()
	}
	return nil
}

// Recall hands all records to a keeper that recovers. A question from a later
// epoch seals this one.
func (c *Core) Recall(now time.Duration, in *wire.RecallRequest) *wire.RecallResponse {
	c.sealed = max(c.sealed, in.GetEpoch())
	out := &wire.RecallResponse{
		HeldEpoch: c.held, Epoch: c.epoch.Number, Incarnation: c.incarnation, FirstKeepers: c.opened,
	}
	if c.held == 0 {
		return out
	}
	c.expire(now)
	for _, r := range c.records {
		age := uint64((now - r.touched).Milliseconds())
		for _, w := range r.attempts {
			out.Records = append(out.Records, &wire.Record{
				Key: w.GetKey(), Attempt: w.GetAttempt(), Owner: w.GetOwner(), OwnerAddress: w.GetOwnerAddress(),
				Digest: w.GetDigest(), Done: w.GetDone(), Answer: w.GetAnswer(), AgeMs: age,
			})
		}
	}
	slices.SortFunc(out.Records, func(a, b *wire.Record) int {
		return cmp.Or(strings.Compare(a.GetKey(), b.GetKey()), strings.Compare(a.GetAttempt(), b.GetAttempt()))
	})
	return out
}

// Wanted returns the keepers whose records a recovering keeper has to ask for.
func (c *Core) Wanted() []string {
	if c.mode != recovering {
		return nil
	}
	var out []string
	for _, name := range append(slices.Clone(c.epoch.Members), c.epoch.Previous...) {
		if name != c.name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// Recalled takes the answer of a keeper to a recall of the given epoch.
func (c *Core) Recalled(now time.Duration, from string, epoch uint64, answer *wire.RecallResponse) {
	if c.mode != recovering || epoch != c.epoch.Number || answer.GetEpoch() > epoch {
		return
	}
	if len(answer.GetFirstKeepers()) > 0 {
		c.Opened(answer.GetFirstKeepers())
	}
	if c.mode == voting {
		return
	}
	if !c.live && answer.GetHeldEpoch() > 0 && now < c.since+ClaimBound {
		return // a claim that counts a vote of the earlier start may be undecided
	}
	c.recalls[from] = answer
	c.merge(now, answer.GetRecords())
	c.settle()
}

// merge adds attempts. One that is done replaces what is known of it.
func (c *Core) merge(now time.Duration, records []*wire.Record) {
	for _, w := range records {
		touched := now - time.Duration(w.GetAgeMs())*time.Millisecond
		held := c.records[w.GetKey()]
		if held == nil {
			held = &record{}
			c.records[w.GetKey()] = held
		}
		held.touched = max(held.touched, touched)
		i := held.find(w.GetAttempt())
		switch {
		case i < 0:
			held.attempts = append(held.attempts, w)
		case w.GetDone():
			held.attempts[i] = w
		}
	}
}

// settle starts to vote once enough was recalled.
func (c *Core) settle() {
	if c.mode != recovering {
		return
	}
	current, previous := 0, 0
	for name, r := range c.recalls {
		if name != c.name && r.GetHeldEpoch() == c.epoch.Number && slices.Contains(c.epoch.Members, name) {
			current++
		}
		if r.GetHeldEpoch() > 0 && r.GetHeldEpoch() >= c.epoch.Number-1 && slices.Contains(c.epoch.Previous, name) {
			previous++
		}
	}
	fromPrevious := c.live && len(c.epoch.Previous) > 0 && previous >= len(c.epoch.Previous)/2+1
	if current >= c.epoch.Quorum() || fromPrevious {
		c.vote()
	}
}

// Opened takes the grant of the replicated log to the first keepers of the
// failure domain. It is for the epoch in which they started.
func (c *Core) Opened(incarnations []string) {
	c.opened = incarnations
	if c.mode == recovering && !c.live && slices.Contains(incarnations, c.incarnation) {
		c.vote()
	}
}

// FirstKeepers returns the incarnations for which the right of the first keepers
// can be asked: all members answered, and none votes.
func (c *Core) FirstKeepers() []string {
	if c.mode != recovering {
		return nil
	}
	out := []string{c.incarnation}
	for _, name := range c.epoch.Members {
		if name == c.name {
			continue
		}
		r := c.recalls[name]
		if r == nil || r.GetHeldEpoch() > 0 || r.GetEpoch() != c.epoch.Number {
			return nil
		}
		out = append(out, r.GetIncarnation())
	}
	slices.Sort(out)
	return out
}

// Tick lets a keeper vote that has waited for one record lifetime, and drops
// records that are past theirs.
func (c *Core) Tick(now time.Duration) {
	if c.mode == recovering && len(c.epoch.Previous) == 0 && now-c.since > c.epoch.Lifetime {
		c.vote()
	}
	c.expire(now)
}

const scanInterval = time.Second

func (c *Core) expire(now time.Duration) {
	if now-c.lastScan < scanInterval {
		return
	}
	c.lastScan = now
	for key, r := range c.records {
		if now-r.touched > c.epoch.Lifetime {
			delete(c.records, key)
		}
	}
}

// Adopt takes the records of a keeper of the same set that stops.
func (c *Core) Adopt(now time.Duration, records []*wire.Record) { c.merge(now, records) }
