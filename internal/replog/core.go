package replog

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Errors of proposals.
var (
	// ErrNotLeader is returned by a replica that is not the leader.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrMembershipPending is returned while an earlier membership change is not
	// committed.
	ErrMembershipPending = errors.New("another membership change is not committed yet")
	// ErrMembershipStep is returned for a change of more than one voter.
	ErrMembershipStep = errors.New("a membership change may add or remove one voter only")
)

// Bounds on one append message.
const (
	maxAppendEntries = 64
	maxAppendBytes   = 1 << 20
)

// progress is a leader's replication state for another replica.
type progress struct {
	match        uint64 // highest index known to be durable at the replica
	next         uint64 // index of the next record to send
	round        uint64 // newest heartbeat round that the replica answered
	lastContact  time.Duration
	answered     bool          // whether the replica has answered this leader
	snapshotSent time.Duration // when a snapshot was last sent
}

// Core is one replica's state. It is not safe for concurrent use.
type Core struct {
	id     string
	timing Timing
	random *rand.Rand
	// rejoining is set where a replica that was removed asks to join again by itself.
	rejoining bool

	now time.Duration
	// steadySince is since when this replica has run without a stall. What it has not heard before that
	// may be its own fault.
	steadySince time.Duration
	lastTick    time.Duration
	role        Role
	term        uint64
	vote        string
	leader      string
	commit      uint64
	// leaderCommit is the highest index that a leader has stated as committed
	leaderCommit uint64
	log          entryLog
	// savedCommit is the commit index that is durable
	savedCommit uint64
	snapshot    *wire.Snapshot

	leaderContact    time.Duration // time of the last message from a current leader, or of the start
	lastLeader       string        // the replica that sent it, or "" after the start and once this replica leads
	electionDeadline time.Duration // when the replica campaigns
	votes            map[string]bool

	replicaProgress map[string]*progress
	leaving         map[string]time.Duration // when replicas announced their stop to this leader
	round           uint64
	roundTime       map[uint64]time.Duration
	nextHeartbeat   time.Duration
	leaseStart      time.Duration
	hasLease        bool
	ledSince        time.Duration // when this replica became the leader
	whole           wholeVoters

	actions []Action
}

// Option configures a replica.
type Option func(*Core)

// WithRejoining states that replicas that were removed ask to join again by themselves when they
// are back. Voters that fail are then removed sooner, and more of them.
func WithRejoining() Option { return func(c *Core) { c.rejoining = true } }

// New returns a replica restored from durable state. Until the minimum election
// timeout has passed it grants no votes: before the restart it may have answered a
// leader, whose lease relies on this replica not voting for another one.
func New(id string, timing Timing, random *rand.Rand, now time.Duration, from Durable, options ...Option) *Core {
	c := &Core{id: id, timing: timing, random: random, now: now, leaderContact: now, steadySince: now, lastTick: now}
	for _, o := range options {
		o(c)
	}
	if from.HardState != nil {
		c.term, c.vote = from.HardState.GetTerm(), from.HardState.GetVote()
	}
	if from.Snapshot != nil {
		c.snapshot = from.Snapshot
		c.log.reset(from.Snapshot)
	}
	c.log.append(from.Entries...)
	c.commit = c.log.snapIndex
	// Commits beyond the saved index are learned from the leader.
	c.commitTo(min(from.HardState.GetCommit(), c.log.last()))
	c.savedCommit = c.commit
	c.resetElectionTimer()
	return c
}

// ID returns the replica's ID.
func (c *Core) ID() string { return c.id }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the ID of the current term's leader, or "" if it is not known.
func (c *Core) LeaderID() string { return c.leader }

// Commit returns the highest index that this replica knows to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last record held.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// FirstIndex returns the index of the first record held after the snapshot.
func (c *Core) FirstIndex() uint64 { return c.log.snapIndex + 1 }

// EntryTerm returns the term of a held record.
func (c *Core) EntryTerm(index uint64) (uint64, bool) { return c.log.term(index) }

// Membership returns the latest membership, committed or not.
func (c *Core) Membership() *wire.Membership {
	m, _ := c.log.latestMembership()
	return m
}

// MatchIndex returns the highest index that a leader knows to be durable at a
// replica.
func (c *Core) MatchIndex(id string) uint64 {
	if id == c.id {
		return c.log.last()
	}
	if p := c.replicaProgress[id]; p != nil {
		return p.match
	}
	return 0
}

// LeaseValid reports whether this replica leads and no other can have been
// elected by the given time.
func (c *Core) LeaseValid(now time.Duration) bool {
	return c.role == Leader && c.hasLease && now < c.leaseStart+c.timing.Election-c.timing.Margin &&
		c.committedInTerm()
}

// Current reports whether this replica leads with a valid lease, or holds all records that its leader had
// committed when it last sent a message, which was within the given time. A leader's commit index is
// complete only once a record of its own term is committed.
func (c *Core) Current(now, within time.Duration) bool {
	return c.HasLeader(now, within) && c.committedInTerm() && c.commit >= c.leaderCommit
}

// Tick advances time: it starts elections, sends heartbeats and makes a leader that has
// lost contact with the majority step down.
func (c *Core) Tick(now time.Duration) []Action {
	c.now = now
	c.noteStall()
	switch {
	case c.role == Leader:
		c.tickLeader()
	case now >= c.electionDeadline:
		c.campaign()
	}
	return c.takeActions()
}

// noteStall records that this replica was not called for longer than a heartbeat, as a process that was
// frozen or got no processor.
func (c *Core) noteStall() {
	if c.now-c.lastTick > c.timing.Heartbeat {
		c.steadySince = c.now
	}
	c.lastTick = c.now
}

// SteadyFor returns for how long this replica has run without a stall.
func (c *Core) SteadyFor(now time.Duration) time.Duration {
	if now-c.lastTick > c.timing.Heartbeat {
		return 0
	}
	return now - c.steadySince
}

// Propose appends a record with the data to the log and returns its index. It returns
// ErrNotLeader on a replica that does not lead.
func (c *Core) Propose(now time.Duration, data []byte) (uint64, []Action, error) {
	c.now = now
	if c.role != Leader {
		return 0, nil, ErrNotLeader
	}
	index := c.appendAsLeader(&wire.Entry{Data: data})
	return index, c.takeActions(), nil
}

// ProposeMembership appends a record with a membership that differs from the latest by at
// most one voter, and returns its index. It returns ErrNotLeader on a replica that does not
// lead, ErrMembershipPending while the latest membership or the first record of the
// leader's term is not committed, and ErrMembershipStep for a larger change.
func (c *Core) ProposeMembership(now time.Duration, next *wire.Membership) (uint64, []Action, error) {
	c.now = now
	if c.role != Leader {
		return 0, nil, ErrNotLeader
	}
	latest, latestIndex := c.log.latestMembership()
	if latestIndex > c.commit || !c.committedInTerm() {
		return 0, nil, ErrMembershipPending
	}
	if voterDistance(latest, next) > 1 {
		return 0, nil, ErrMembershipStep
	}
	index := c.appendAsLeader(&wire.Entry{Membership: next})
	return index, c.takeActions(), nil
}

// Compact replaces the log up to an applied index with a snapshot of the state machine's
// state. It returns no actions if the index is not committed or is covered already.
func (c *Core) Compact(index uint64, state []byte) []Action {
	if index <= c.log.snapIndex || index > c.commit {
		return nil
	}
	c.log.compact(index)
	c.snapshot = &wire.Snapshot{Index: index, Term: c.log.snapTerm, Membership: c.log.membership, State: state}
	return []Action{SaveSnapshot{c.snapshot}}
}

// Receive handles a message from another replica.
func (c *Core) Receive(now time.Duration, m *wire.Message) []Action {
	c.now = now
	if m.GetTo() != c.id {
		return nil // meant for an earlier replica at this address
	}
	if c.role == Leader {
		c.checkMajority() // a leader whose process was frozen must not act on queued messages
	}
	if m.GetTerm() > c.term && !c.adoptTerm(m) {
		return c.takeActions()
	}
	if m.GetTerm() < c.term {
		c.rejectStale(m)
		return c.takeActions()
	}
	c.dispatch(m)
	return c.takeActions()
}

func (c *Core) dispatch(m *wire.Message) {
	switch m.GetKind() {
	case wire.Kind_KIND_PRE_VOTE:
		c.onPreVote(m)
	case wire.Kind_KIND_PRE_VOTE_REPLY:
		c.onPreVoteReply(m)
	case wire.Kind_KIND_VOTE:
		c.onVote(m)
	case wire.Kind_KIND_VOTE_REPLY:
		c.onVoteReply(m)
	case wire.Kind_KIND_APPEND:
		c.onAppend(m)
	case wire.Kind_KIND_APPEND_REPLY:
		c.onAppendReply(m)
	case wire.Kind_KIND_SNAPSHOT:
		c.onSnapshot(m)
	}
}

// adoptTerm handles a higher term. It reports whether the message is to be
// dispatched. Pre-votes carry a term that no replica has adopted yet and change nothing.
func (c *Core) adoptTerm(m *wire.Message) bool {
	switch m.GetKind() {
	case wire.Kind_KIND_PRE_VOTE:
		c.onPreVote(m)
		return false
	case wire.Kind_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			c.onPreVoteReply(m)
			return false
		}
	case wire.Kind_KIND_VOTE:
		if c.hasRecentLeader() {
			return false
		}
	}
	c.become(Follower, m.GetTerm())
	return true
}

// rejectStale rejects a request of an older term, so that its sender learns the
// current one.
func (c *Core) rejectStale(m *wire.Message) {
	switch m.GetKind() {
	case wire.Kind_KIND_APPEND, wire.Kind_KIND_SNAPSHOT:
		c.send(&wire.Message{Kind: wire.Kind_KIND_APPEND_REPLY, To: m.GetFrom(), Reject: true, Hint: c.log.last()})
	case wire.Kind_KIND_PRE_VOTE:
		c.send(&wire.Message{Kind: wire.Kind_KIND_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	case wire.Kind_KIND_VOTE:
		c.send(&wire.Message{Kind: wire.Kind_KIND_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

// become changes role and term and makes a new term durable.
func (c *Core) become(role Role, term uint64) {
	if term > c.term {
		c.term, c.vote, c.leader = term, "", ""
		c.saveState()
	}
	if role != Leader {
		c.replicaProgress, c.leaving, c.roundTime, c.hasLease = nil, nil, nil, false
	}
	if role == Candidate || role == PreCandidate {
		c.leader = ""
	}
	c.role = role
	c.emit(RoleChange{Role: role, Term: term})
}

func (c *Core) saveState() {
	c.savedCommit = c.commit
	c.emit(SaveState{&wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}})
}

// PersistCommit makes the commit index durable if it has risen, so that a restarted
// replica knows at once which records were committed. It need not be called after each
// commit: a replica with an older index learns the later commits from the leader.
func (c *Core) PersistCommit() []Action {
	if c.commit > c.savedCommit {
		c.saveState()
	}
	return c.takeActions()
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) takeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) send(m *wire.Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.emit(Send{m})
}

// voters returns the IDs of the voting replicas.
func (c *Core) voters() []string { return voterIDs(c.Membership()) }

func (c *Core) isVoter() bool { return slices.Contains(c.voters(), c.id) }

func voterIDs(m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		if !r.GetLearner() {
			out = append(out, r.GetId())
		}
	}
	return out
}

// voterDistance counts the voters that are in exactly one of two memberships.
func voterDistance(a, b *wire.Membership) int {
	left, right := voterIDs(a), voterIDs(b)
	n := 0
	for _, id := range left {
		if !slices.Contains(right, id) {
			n++
		}
	}
	for _, id := range right {
		if !slices.Contains(left, id) {
			n++
		}
	}
	return n
}

// quorumValue returns the highest value that a majority of the voters reaches.
func (c *Core) quorumValue(value func(id string) uint64) uint64 {
	voters := c.voters()
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, len(voters))
	for i, id := range voters {
		values[i] = value(id)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
