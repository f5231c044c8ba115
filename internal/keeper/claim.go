package keeper

import (
	"bytes"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Ruling is the result of a claim.
type Ruling int

// Rulings.
const (
	// Undecided means that more answers are needed.
	Undecided Ruling = iota
	// Granted means that the request may run: no other attempt can.
	Granted
	// Held means that another attempt holds the key.
	Held
	// Mismatch means that the key stands for another request.
	Mismatch
	// Unavailable means that no majority can be had; the request did not run.
	Unavailable
)

// Claim counts the keepers' answers to one intent. It is not safe for concurrent
// use.
type Claim struct {
	quorum   int
	waiting  int
	granted  int
	attempt  string
	digest   []byte
	held     *wire.Record
	mismatch bool
}

// NewClaim returns the claim of an attempt that was sent to all keepers of an
// epoch.
func NewClaim(epoch Epoch, attempt string, digest []byte) *Claim {
	return &Claim{quorum: epoch.Quorum(), waiting: len(epoch.Members), attempt: attempt, digest: digest}
}

// Answer takes one keeper's answer; nil stands for none in time.
func (c *Claim) Answer(answer *wire.IntentResponse) Ruling {
	c.waiting--
	switch answer.GetStatus() {
	case wire.IntentStatus_INTENT_STATUS_GRANTED:
		c.granted++
	case wire.IntentStatus_INTENT_STATUS_HELD:
		c.hold(answer.GetRecord())
	}
	return c.Ruling()
}

func (c *Claim) hold(r *wire.Record) {
	if r.GetAttempt() == c.attempt {
		return // recalled from a keeper that granted it; this one cannot
	}
	if !bytes.Equal(r.GetDigest(), c.digest) {
		c.mismatch = true
	}
	if c.held == nil || r.GetDone() {
		c.held = r
	}
}

// Ruling returns the result so far. A majority of grants decides even when
// another attempt holds the key elsewhere: that one can no longer get a majority.
func (c *Claim) Ruling() Ruling {
	switch {
	case c.granted >= c.quorum:
		return Granted
	case c.granted+c.waiting >= c.quorum:
		return Undecided
	case c.mismatch:
		return Mismatch
	case c.held != nil:
		return Held
	}
	return Unavailable
}

// Record returns the record of the attempt that holds the key.
func (c *Claim) Record() *wire.Record { return c.held }
