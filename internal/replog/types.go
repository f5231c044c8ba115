package replog

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Role is a replica's role in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing holds the core's time bounds.
type Timing struct {
	// Heartbeat is the interval between a leader's messages.
	Heartbeat time.Duration
	// Election is the minimum election timeout: the time without a message from
	// a leader after which a replica campaigns. Each timeout is drawn at random
	// between this and its double.
	Election time.Duration
	// Margin is subtracted from the lease to cover different clock rates.
	Margin time.Duration
}

// DefaultTiming returns the timing for replicas that are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 250 * time.Millisecond, Election: 750 * time.Millisecond, Margin: 100 * time.Millisecond}
}

// Durable is the state that a replica restores from its storage.
type Durable struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}

// Action is an operation that the caller must perform for the core.
type Action interface{ action() }

// SaveState asks to make the term, vote and commit index durable.
type SaveState struct{ State *wire.HardState }

// SaveEntries asks to make records durable, after truncating the log from
// TruncateFrom on if that is not 0.
type SaveEntries struct {
	TruncateFrom uint64
	Entries      []*wire.Entry
}

// SaveSnapshot asks to make a snapshot durable. It replaces the log up to its
// index.
type SaveSnapshot struct{ Snapshot *wire.Snapshot }

// Send asks to send a message to the replica named in the message.
type Send struct{ Message *wire.Message }

// Apply asks to apply committed records, in order.
type Apply struct{ Entries []*wire.Entry }

// Restore asks to replace the state machine's state by that of a snapshot.
type Restore struct{ Snapshot *wire.Snapshot }

// RoleChange reports a new role or term.
type RoleChange struct {
	Role Role
	Term uint64
}

func (SaveState) action()    {}
func (SaveEntries) action()  {}
func (SaveSnapshot) action() {}
func (Send) action()         {}
func (Apply) action()        {}
func (Restore) action()      {}
func (RoleChange) action()   {}
