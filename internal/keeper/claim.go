package keeper

import (
	"bytes"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Decision is the state of a claim as decided by the keepers' responses.
type Decision int

// Decisions.
const (
	// Undecided means that more responses are needed.
	Undecided Decision = iota
	// Granted means that the request may run, since no other attempt can be
	// granted.
	Granted
	// Held means that another attempt holds the key.
	Held
	// Mismatch means that the key was used for a request with other content.
	Mismatch
	// Unavailable means that no majority can be reached; the request did not run.
	Unavailable
)

// Claim counts the keepers' responses to the intent of one attempt. It is not safe
// for concurrent use.
type Claim struct {
	quorum   int
	pending  int
	granted  int
	attempt  string
	digest   []byte
	holder   *wire.Record
	mismatch bool
}

// NewClaim returns the claim of an attempt whose intent is sent to all keepers of
// an epoch.
func NewClaim(epoch Epoch, attempt string, digest []byte) *Claim {
	return &Claim{quorum: epoch.Quorum(), pending: len(epoch.Members), attempt: attempt, digest: digest}
}

// Answer counts one keeper's response and returns the decision so far. A nil response
// means that the keeper did not respond in time.
func (c *Claim) Answer(answer *wire.IntentResponse) Decision {
	c.pending--
	switch answer.GetStatus() {
	case wire.IntentStatus_INTENT_STATUS_GRANTED:
		c.granted++
	case wire.IntentStatus_INTENT_STATUS_HELD:
		c.recordHolder(answer.GetRecord())
	}
	return c.Decision()
}

func (c *Claim) recordHolder(r *wire.Record) {
	if r.GetAttempt() == c.attempt {
		return // the keeper recalled this attempt from another keeper and cannot grant it
	}
	if !bytes.Equal(r.GetDigest(), c.digest) {
		c.mismatch = true
	}
	if c.holder == nil || r.GetDone() {
		c.holder = r
	}
}

// Decision returns the decision so far. A majority of grants is decisive even when
// another attempt holds the key at some keepers, since that attempt can no longer
// reach a majority.
func (c *Claim) Decision() Decision {
	switch {
	case c.granted >= c.quorum:
		return Granted
	case c.granted+c.pending >= c.quorum:
		return Undecided
	case c.mismatch:
		return Mismatch
	case c.holder != nil:
		return Held
	}
	return Unavailable
}

// Record returns the record of the attempt that holds the key, or nil if no keeper
// reported one.
func (c *Claim) Record() *wire.Record { return c.holder }
