// Package keeper records non-idempotent requests, so that none runs twice. A
// majority of a failure domain's keepers stores each record before the request's
// first byte is sent to a target. The package is a pure state machine; the current
// time is passed in.
//
// The following rules keep a granted record on a majority across failures:
//
//   - A keeper votes only while it holds every record that it ever granted. After
//     a restart it has a new incarnation and has lost its records. It waits until
//     every claim to which its earlier votes could contribute is decided, and then
//     recalls the records of enough voting keepers to intersect any majority.
//   - A keeper grants a key to one attempt only, and only while it knows of no
//     other attempt. It stores all recalled attempts and grants none of them, since
//     it may have voted for any of them.
//   - When the declared keepers change, the new keepers recall the records of a
//     majority of the previous ones, which thereby stop granting in the old epoch.
//   - If too few keepers can be reached, a keeper waits for one record lifetime,
//     after which every record that it may have lost has expired. It does not use
//     this rule while keepers of an earlier epoch may still be granting.
//   - The first keepers of a failure domain vote without a recall, by permission of
//     the replicated log, which is given once.
package keeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Epoch is one set of keepers of a failure domain.
type Epoch struct {
	// Number rises with each change of the set.
	Number uint64
	// Members are the names of the keepers.
	Members []string
	// Previous are the names of the previous epoch's keepers, while they may still
	// be granting.
	Previous []string
	// Lifetime is the time for which a record is kept after its last activity.
	Lifetime time.Duration
}

// Quorum returns the number of grants that a claim needs.
func (e Epoch) Quorum() int { return len(e.Members)/2 + 1 }

// mode is the voting state of a keeper.
type mode int

const (
	absent     mode = iota // not a member of the epoch, or no configuration yet
	recovering             // must recall records before it votes
	voting
)

// ClaimBound is the longest time from the first intent of a claim to its decision.
// Claims that take longer must not be granted.
const ClaimBound = 2 * time.Second

// recallBytes is the size in bytes from which on a part of the records is complete.
const recallBytes = 128 << 10

// record holds the attempts that a keeper knows for one key.
type record struct {
	attempts   []*wire.Record
	granted    string // attempt that this incarnation granted in this epoch
	lastActive time.Duration
}

// indexOf returns the position of an attempt, or -1.
func (r *record) indexOf(attempt string) int {
	return slices.IndexFunc(r.attempts, func(w *wire.Record) bool { return w.GetAttempt() == attempt })
}

// preferred returns the attempt with the most information about the request: a
// finished one if there is any.
func (r *record) preferred() *wire.Record {
	for _, w := range r.attempts {
		if w.GetDone() {
			return w
		}
	}
	return r.attempts[0]
}

// Core is the state of one keeper. It is not safe for concurrent use.
type Core struct {
	name        string
	incarnation string
	capacity    int

	mode          mode
	epoch         Epoch
	minGrantEpoch uint64 // lowest epoch in which the keeper may still grant
	recoveryStart time.Duration
	votedEpoch    uint64 // last epoch in which this incarnation voted
	sawEpochStart bool   // no earlier incarnation can have voted in the current epoch
	records       map[string]*record
	recalls       map[string]*wire.RecallResponse
	firstKeepers  []string // incarnations that may vote without a recall
	lastScan      time.Duration
}

// New returns a keeper that has just started and stores at most capacity records.
// The incarnation must be unique to this start.
func New(name, incarnation string, capacity int, now time.Duration) *Core {
	return &Core{
		name: name, incarnation: incarnation, capacity: capacity, recoveryStart: now,
		records: map[string]*record{}, recalls: map[string]*wire.RecallResponse{},
	}
}

// Incarnation returns the identity of this start of the keeper.
func (c *Core) Incarnation() string { return c.incarnation }

// Voting reports whether the keeper grants records.
func (c *Core) Voting() bool { return c.mode == voting }

// Records returns the number of records held.
func (c *Core) Records() int { return len(c.records) }

// Epoch returns the current epoch.
func (c *Core) Epoch() Epoch { return c.epoch }

// Configure applies a configuration. In a new epoch, a member has to recover before
// it votes. Earlier epochs are ignored.
func (c *Core) Configure(now time.Duration, epoch Epoch) {
	if epoch.Number < c.epoch.Number {
		return
	}
	if epoch.Number == c.epoch.Number {
		c.epoch.Lifetime, c.epoch.Previous = epoch.Lifetime, epoch.Previous
		return
	}
	c.sawEpochStart = c.epoch.Number > 0
	c.epoch = epoch
	c.minGrantEpoch = max(c.minGrantEpoch, epoch.Number)
	c.recalls = map[string]*wire.RecallResponse{}
	c.recoveryStart = now
	for _, r := range c.records {
		r.granted = "" // a grant is valid in its own epoch only
	}
	c.mode = absent
	if slices.Contains(epoch.Members, c.name) {
		c.mode = recovering
		c.recalls[c.name] = &wire.RecallResponse{HeldEpoch: c.votedEpoch, Epoch: epoch.Number, Incarnation: c.incarnation}
	}
}

// startVoting starts to grant records in the current epoch.
func (c *Core) startVoting() {
	c.mode = voting
	c.votedEpoch = c.epoch.Number
}

// Intent records a request that is about to run, or renews its record. The status
// of the response reports whether the attempt is granted.
func (c *Core) Intent(now time.Duration, in *wire.IntentRequest) *wire.IntentResponse {
	out := &wire.IntentResponse{Epoch: c.epoch.Number}
	switch {
	case in.GetEpoch() != c.epoch.Number || in.GetEpoch() < c.minGrantEpoch:
		out.Status = wire.IntentStatus_INTENT_STATUS_WRONG_EPOCH
		return out
	case c.mode != voting:
		out.Status = wire.IntentStatus_INTENT_STATUS_NOT_READY
		return out
	}
	c.expire(now)
	if held := c.records[in.GetKey()]; held != nil {
		return c.answerExisting(now, held, in)
	}
	if len(c.records) >= c.capacity {
		out.Status = wire.IntentStatus_INTENT_STATUS_FULL
		return out
	}
	c.records[in.GetKey()] = &record{lastActive: now, granted: in.GetAttempt(), attempts: []*wire.Record{{
		Key: in.GetKey(), Attempt: in.GetAttempt(), Owner: in.GetOwner(),
		OwnerAddress: in.GetOwnerAddress(), Digest: in.GetDigest(),
	}}}
	out.Status = wire.IntentStatus_INTENT_STATUS_GRANTED
	return out
}

// answerExisting responds to an intent for a key that already has a record.
func (c *Core) answerExisting(now time.Duration, held *record, in *wire.IntentRequest) *wire.IntentResponse {
	out := &wire.IntentResponse{Epoch: c.epoch.Number}
	if held.indexOf(in.GetAttempt()) >= 0 {
		held.lastActive = now
	}
	if held.granted == in.GetAttempt() {
		out.Status = wire.IntentStatus_INTENT_STATUS_GRANTED
		return out
	}
	out.Status = wire.IntentStatus_INTENT_STATUS_HELD
	out.Record = held.preferred()
	return out
}

// Outcome stores the answer to a request, or removes the record of an attempt that
// was never sent to a target.
func (c *Core) Outcome(now time.Duration, in *wire.OutcomeRequest) {
	held := c.records[in.GetKey()]
	if held == nil {
		return
	}
	i := held.indexOf(in.GetAttempt())
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
	held.lastActive = now
	// Earlier responses refer to the same record, so it is replaced, not changed.
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
		return r.preferred()
	}
	return nil
}

// Recall returns all records, or a part of them if the request allows it, for a keeper that recovers. After
// a request from a later epoch, the keeper grants nothing more in its current epoch.
func (c *Core) Recall(now time.Duration, in *wire.RecallRequest) *wire.RecallResponse {
	c.minGrantEpoch = max(c.minGrantEpoch, in.GetEpoch())
	out := &wire.RecallResponse{
		HeldEpoch: c.votedEpoch, Epoch: c.epoch.Number, Incarnation: c.incarnation, FirstKeepers: c.firstKeepers,
	}
	if c.votedEpoch == 0 {
		return out
	}
	c.expire(now)
	size := 0
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		if key <= in.GetAfter() && in.GetAfter() != "" {
			continue
		}
		if in.GetPartial() && size >= recallBytes {
			out.More = true
			break
		}
		for _, w := range c.records[key].recalled(now) {
			out.Records = append(out.Records, w)
			size += proto.Size(w)
		}
	}
	return out
}

// recalled returns the record's attempts with their age, in the order of their identities.
func (r *record) recalled(now time.Duration) []*wire.Record {
	var out []*wire.Record
	for _, w := range r.attempts {
		out = append(out, &wire.Record{
			Key: w.GetKey(), Attempt: w.GetAttempt(), Owner: w.GetOwner(), OwnerAddress: w.GetOwnerAddress(),
			Digest: w.GetDigest(), Done: w.GetDone(), Answer: w.GetAnswer(), AgeMs: uint64((now - r.lastActive).Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b *wire.Record) int { return strings.Compare(a.GetAttempt(), b.GetAttempt()) })
	return out
}

// RecallPeers returns the names of the keepers whose records a recovering keeper has
// to recall. It returns nil for a keeper that is not recovering.
func (c *Core) RecallPeers() []string {
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

// Recalled applies a keeper's response to a recall request of the given epoch, which was sent at the time
// asked: what counts is when the records were read at the earliest, not when they arrived.
func (c *Core) Recalled(asked, now time.Duration, from string, epoch uint64, answer *wire.RecallResponse) {
	if c.mode != recovering || epoch != c.epoch.Number || answer.GetEpoch() > epoch {
		return
	}
	if len(answer.GetFirstKeepers()) > 0 {
		c.PermitFirstKeepers(answer.GetFirstKeepers())
	}
	if c.mode == voting {
		return
	}
	if c.AskedTooEarly(asked, answer) {
		return
	}
	c.recalls[from] = answer
	c.merge(now, answer.GetRecords())
	c.voteIfRecovered()
}

// AskedTooEarly reports whether a keeper's records were asked for while a claim that counts a vote of the
// earlier incarnation of this one may have been undecided, so that they do not count.
func (c *Core) AskedTooEarly(asked time.Duration, answer *wire.RecallResponse) bool {
	return !c.sawEpochStart && answer.GetHeldEpoch() > 0 && asked < c.recoveryStart+ClaimBound
}

// merge adds the attempts of another keeper. A finished attempt replaces the stored
// version of it.
func (c *Core) merge(now time.Duration, records []*wire.Record) {
	for _, w := range records {
		lastActive := now - time.Duration(w.GetAgeMs())*time.Millisecond
		held := c.records[w.GetKey()]
		if held == nil {
			held = &record{}
			c.records[w.GetKey()] = held
		}
		held.lastActive = max(held.lastActive, lastActive)
		i := held.indexOf(w.GetAttempt())
		switch {
		case i < 0:
			held.attempts = append(held.attempts, w)
		case w.GetDone():
			held.attempts[i] = w
		}
	}
}

// voteIfRecovered starts voting once the records of enough keepers were recalled.
func (c *Core) voteIfRecovered() {
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
	fromPrevious := c.sawEpochStart && len(c.epoch.Previous) > 0 && previous >= len(c.epoch.Previous)/2+1
	if current >= c.epoch.Quorum() || fromPrevious {
		c.startVoting()
	}
}

// PermitFirstKeepers applies the replicated log's permission for the first keepers of the
// failure domain to vote without a recall. It is valid only for the epoch in which
// they started.
func (c *Core) PermitFirstKeepers(incarnations []string) {
	c.firstKeepers = incarnations
	if c.mode == recovering && !c.sawEpochStart && slices.Contains(incarnations, c.incarnation) {
		c.startVoting()
	}
}

// FirstKeepers returns the incarnations for which the replicated log can be asked
// for the permission of the first keepers. It returns nil unless all members of the
// epoch have responded and none has voted since it started.
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

// Tick starts voting if the keeper has been recovering for one record lifetime and
// there are no previous keepers, and removes expired records.
func (c *Core) Tick(now time.Duration) {
	if c.mode == recovering && len(c.epoch.Previous) == 0 && now-c.recoveryStart > c.epoch.Lifetime {
		c.startVoting()
	}
	c.expire(now)
}

// scanInterval is the shortest time between two scans for expired records.
const scanInterval = time.Second

func (c *Core) expire(now time.Duration) {
	if now-c.lastScan < scanInterval {
		return
	}
	c.lastScan = now
	for key, r := range c.records {
		if now-r.lastActive > c.epoch.Lifetime {
			delete(c.records, key)
		}
	}
}

// Adopt merges the records of another keeper of the epoch that is stopping.
func (c *Core) Adopt(now time.Duration, records []*wire.Record) { c.merge(now, records) }
