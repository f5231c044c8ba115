package replog_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// defect is a deliberate fault of the code around the cores that the invariant checks
// must detect.
type defect int

const (
	noDefect        defect = iota
	dropsVotes             // terms and votes are not stored
	dropsEntries           // records are acknowledged before they are stored
	votesOnRestart         // a restarted replica grants votes at once
	ignoresSnapshot        // a restarted replica does not restore its state
)

// disk holds the state that survives a crash.
type disk struct {
	hardState *wire.HardState
	snapshot  *wire.Snapshot
	entries   []*wire.Entry
}

func (d *disk) save(a replog.Action) {
	switch a := a.(type) {
	case replog.SaveState:
		d.hardState = a.State
	case replog.SaveEntries:
		if a.TruncateFrom > 0 {
			d.entries = d.entries[:a.TruncateFrom-d.snapshot.GetIndex()-1]
		}
		d.entries = append(slices.Clone(d.entries), a.Entries...)
	case replog.SaveSnapshot:
		d.discardCovered(a.Snapshot)
		d.snapshot = a.Snapshot
	}
}

func (d *disk) discardCovered(s *wire.Snapshot) {
	for i, e := range d.entries {
		if e.GetIndex() == s.GetIndex() && e.GetTerm() == s.GetTerm() {
			d.entries = slices.Clone(d.entries[i+1:])
			return
		}
	}
	d.entries = nil
}

// member is one replica with its disk and its state machine.
type member struct {
	id        string
	core      *replog.Core
	disk      disk
	state     *control.State
	applied   uint64
	up        bool
	frozen    bool
	side      int     // side of the network partition
	clockRate float64 // speed of its clock relative to the cluster's
	retired   bool
	address   string // where a replica restarts after losing its disk
	domain    string // failure domain, or "" if the replica does not state it
}

// operation is a change that a client proposed.
type operation struct {
	identity string
	expected uint64
	call     int64
	end      int64 // 0 while the outcome is unknown
	result   *wire.ChangeResult
	proposer *member
	index    uint64
	term     uint64
}

// cluster runs replicas in virtual time over a network that loses, delays,
// duplicates and reorders messages.
type cluster struct {
	draw           func(n int) int
	defect         defect
	now            time.Duration
	step           int64
	members        []*member
	network        []*wire.Message
	leaders        map[uint64]string
	applied        map[uint64]string // content by index
	committedTerms map[uint64]uint64 // term by index
	firstKnownTerm map[uint64]uint64 // term in which an index was first known to be committed
	lastKnown      uint64            // highest index that is known to be committed
	// knownWhenSent is the highest index that was known to be committed in the message's term or earlier when
	// it was sent.
	knownWhenSent   map[*wire.Message]uint64
	history         []*operation
	nextID          int
	faults          bool
	autoReconcile   bool // whether replicas join and leave the log automatically
	effects         map[uint64]effect
	versions        map[uint64]uint64 // version of the configuration by index
	elections       int
	acceptedChanges int
}

// effect is the term and the result of a committed change.
type effect struct {
	term   uint64
	result *wire.ChangeResult
}

const snapshotEvery = 12

func newCluster(voters int, draw func(int) int, d defect) *cluster {
	c := &cluster{
		draw: draw, defect: d, leaders: map[uint64]string{}, applied: map[uint64]string{},
		committedTerms: map[uint64]uint64{}, firstKnownTerm: map[uint64]uint64{}, effects: map[uint64]effect{},
		versions: map[uint64]uint64{}, faults: true, knownWhenSent: map[*wire.Message]uint64{},
	}
	membership := &wire.Membership{}
	for i := range voters {
		membership.Replicas = append(membership.Replicas, &wire.Replica{Id: "r" + strconv.Itoa(i), Address: "a" + strconv.Itoa(i)})
	}
	first := &wire.Snapshot{Index: 1, Term: 1, Membership: membership}
	for i := range voters {
		m := &member{id: "r" + strconv.Itoa(i), address: "a" + strconv.Itoa(i), clockRate: 1 + float64(i%3-1)*0.04}
		m.disk = disk{hardState: &wire.HardState{Term: 1}, snapshot: first}
		c.members = append(c.members, m)
		c.start(m)
	}
	c.nextID = voters
	return c
}

func (c *cluster) clock(m *member) time.Duration { return time.Duration(float64(c.now) * m.clockRate) }

func (c *cluster) start(m *member) {
	m.up, m.frozen = true, false
	m.state = control.NewState()
	if len(m.disk.snapshot.GetState()) > 0 && c.defect != ignoresSnapshot {
		m.state, _ = control.RestoreState(m.disk.snapshot.GetState())
	}
	m.applied = m.disk.snapshot.GetIndex()
	from := replog.Durable{HardState: m.disk.hardState, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}
	now := c.clock(m)
	if c.defect == votesOnRestart {
		now -= 10 * replog.DefaultTiming().Election
	}
	var options []replog.Option
	if c.autoReconcile {
		options = append(options, replog.WithRejoining())
	}
	m.core = replog.New(m.id, replog.DefaultTiming(), rand.New(rand.NewPCG(uint64(c.draw(1<<20)), 1)), now, from, options...)
}

// perform performs the actions of a step. A crash may occur between any two of them;
// saves that were not followed by a send may then be lost.
func (c *cluster) perform(m *member, actions []replog.Action) error {
	crash := len(actions) + 1
	if c.faults && c.draw(60) == 0 {
		crash = c.draw(len(actions) + 1)
	}
	for i, a := range actions {
		if i == crash {
			m.up = false
			return nil
		}
		if err := c.performAction(m, a); err != nil {
			return err
		}
	}
	return c.compact(m)
}

func (c *cluster) performAction(m *member, a replog.Action) error {
	switch a := a.(type) {
	case replog.SaveState:
		if c.defect != dropsVotes {
			m.disk.save(a)
		}
	case replog.SaveEntries:
		if c.defect != dropsEntries || c.draw(2) == 0 {
			m.disk.save(a)
		}
	case replog.SaveSnapshot:
		m.disk.save(a)
	case replog.Send:
		c.network = append(c.network, a.Message)
		c.knownWhenSent[a.Message] = c.knownIn(a.Message.GetTerm())
	case replog.Apply:
		return c.apply(m, a.Entries)
	case replog.Restore:
		m.applied = a.Snapshot.GetIndex()
		m.state = control.NewState()
		if len(a.Snapshot.GetState()) > 0 {
			state, err := control.RestoreState(a.Snapshot.GetState())
			if err != nil {
				return err
			}
			m.state = state
		}
	case replog.RoleChange:
		return c.roleChanged(m, a)
	}
	return nil
}

func (c *cluster) apply(m *member, entries []*wire.Entry) error {
	for _, e := range entries {
		if e.GetIndex() != m.applied+1 {
			return fmt.Errorf("%s applies record %d after record %d", m.id, e.GetIndex(), m.applied)
		}
		m.applied = e.GetIndex()
		content := fmt.Sprint(e.GetTerm(), ":", string(e.GetData()))
		if before, ok := c.applied[e.GetIndex()]; ok && before != content {
			return fmt.Errorf("state machine safety: record %d is %q at %s and %q elsewhere", e.GetIndex(), content, m.id, before)
		}
		c.applied[e.GetIndex()] = content
		c.committedTerms[e.GetIndex()] = e.GetTerm()
		if _, ok := c.firstKnownTerm[e.GetIndex()]; !ok {
			c.firstKnownTerm[e.GetIndex()] = m.core.Term()
			c.lastKnown = max(c.lastKnown, e.GetIndex())
		}
		outcome := control.Outcome{}
		if len(e.GetData()) > 0 {
			var err error
			if outcome, err = m.state.Apply(e.GetIndex(), e.GetData()); err != nil {
				return err
			}
		}
		if version, ok := c.versions[e.GetIndex()]; ok && version != m.state.Version() {
			return fmt.Errorf("version after record %d is %d at %s and %d elsewhere", e.GetIndex(), m.state.Version(), m.id, version)
		}
		c.versions[e.GetIndex()] = m.state.Version()
		c.completeOperations(m, e, outcome)
		c.effects[e.GetIndex()] = effect{term: e.GetTerm(), result: outcome.Change}
	}
	return nil
}

func (c *cluster) completeOperations(m *member, e *wire.Entry, outcome control.Outcome) {
	for _, op := range c.history {
		if op.proposer == m && op.index == e.GetIndex() && op.end == 0 && op.term == e.GetTerm() {
			op.end, op.result = c.step, outcome.Change
			if outcome.Change.GetStatus() == wire.ChangeStatus_CHANGE_STATUS_ACCEPTED {
				c.acceptedChanges++
			}
		}
	}
}

func (c *cluster) roleChanged(m *member, a replog.RoleChange) error {
	if a.Role != replog.Leader {
		return nil
	}
	c.elections++
	if other, ok := c.leaders[a.Term]; ok && other != m.id {
		return fmt.Errorf("election safety: %s and %s lead term %d", other, m.id, a.Term)
	}
	c.leaders[a.Term] = m.id
	for index, term := range c.committedTerms {
		if c.firstKnownTerm[index] >= a.Term || index < m.core.FirstIndex() {
			continue
		}
		if got, held := m.core.EntryTerm(index); !held || got != term {
			return fmt.Errorf("leader completeness: leader %s of term %d lacks committed record %d", m.id, a.Term, index)
		}
	}
	for _, other := range c.members {
		if other != m && other.up && other.core.LeaseValid(c.clock(other)) {
			return fmt.Errorf("lease safety: %s leads term %d while %s has a valid lease", m.id, a.Term, other.id)
		}
	}
	return nil
}

func (c *cluster) compact(m *member) error {
	if m.applied < m.core.FirstIndex()+snapshotEvery {
		return nil
	}
	data, err := m.state.Snapshot()
	if err != nil {
		return err
	}
	for _, a := range m.core.Compact(m.applied, data) {
		m.disk.save(a)
	}
	return nil
}

// checkLogs checks that logs agree up to the last index at which their terms are equal.
func (c *cluster) checkLogs() error {
	for i, a := range c.members {
		for _, b := range c.members[i+1:] {
			agreed := false
			for index := min(a.core.LastIndex(), b.core.LastIndex()); index > 0; index-- {
				termA, heldA := a.core.EntryTerm(index)
				termB, heldB := b.core.EntryTerm(index)
				if !heldA || !heldB {
					break
				}
				if agreed && termA != termB {
					return fmt.Errorf("log matching: %s and %s differ at index %d and agree after it", a.id, b.id, index)
				}
				agreed = agreed || termA == termB
			}
		}
	}
	return nil
}

// advance makes one random step and checks the invariants.
func (c *cluster) advance() error {
	c.step++
	var err error
	switch choice := c.draw(100); {
	case choice < 45:
		err = c.deliver()
	case choice < 75:
		err = c.tick()
	case choice < 85:
		err = c.propose()
	case choice < 88:
		c.partition()
	case choice < 91:
		c.restartOne()
	case choice < 93:
		c.freezeOne()
	case choice < 94 && c.faults && c.autoReconcile:
		err = c.loseReplica()
	case choice < 94 && c.faults:
		err = c.replaceOne()
	default:
		c.now += time.Duration(c.draw(200)) * time.Millisecond
	}
	if err != nil {
		return err
	}
	return c.checkLogs()
}

func (c *cluster) tick() error {
	c.now += time.Duration(10+c.draw(60)) * time.Millisecond
	for _, m := range c.members {
		if m.up && !m.frozen {
			actions := append(m.core.Tick(c.clock(m)), m.core.PersistCommit()...)
			if err := c.perform(m, actions); err != nil {
				return err
			}
			if err := c.reconcile(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// deliver delivers some messages in random order. While faults are on, a few of them are
// duplicated or lost.
func (c *cluster) deliver() error {
	for range 1 + c.draw(6) {
		if len(c.network) == 0 {
			return nil
		}
		i := c.draw(min(len(c.network), 8))
		message := c.network[i]
		if c.draw(25) != 0 || !c.faults {
			c.network = slices.Delete(c.network, i, i+1)
		}
		if c.faults && c.draw(20) == 0 {
			continue
		}
		if err := c.receive(message); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) receive(message *wire.Message) error {
	from, to := c.member(message.GetFrom()), c.member(message.GetTo())
	if to == nil || !to.up || to.frozen || from != nil && from.side != to.side {
		return nil
	}
	copied, ok := proto.Clone(message).(*wire.Message)
	if !ok {
		return nil
	}
	if err := c.perform(to, to.core.Receive(c.clock(to), copied)); err != nil || !to.up {
		return err
	}
	fromLeader := message.GetKind() == wire.Kind_KIND_APPEND || message.GetKind() == wire.Kind_KIND_SNAPSHOT
	if known := c.knownWhenSent[message]; fromLeader && message.GetTerm() == to.core.Term() && to.applied < known && to.core.Current(c.clock(to), time.Hour) {
		return fmt.Errorf("currency: %s has applied record %d, and record %d was committed when its leader sent a message", to.id, to.applied, known)
	}
	return c.checkLeases()
}

// knownIn returns the highest index that is known to be committed in a term or an earlier one.
func (c *cluster) knownIn(term uint64) uint64 {
	for index := c.lastKnown; index > 0; index-- {
		if known, ok := c.firstKnownTerm[index]; ok && known <= term {
			return index
		}
	}
	return 0
}

// checkLeases checks that a leader with a valid lease has applied what is known to be committed.
func (c *cluster) checkLeases() error {
	for _, m := range c.members {
		if m.up && !m.frozen && m.core.Role() == replog.Leader && m.applied < c.lastKnown && m.core.Current(c.clock(m), 0) {
			return fmt.Errorf("currency: leader %s has applied record %d of %d", m.id, m.applied, c.lastKnown)
		}
	}
	return nil
}

func (c *cluster) member(id string) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// propose proposes a change at every replica that considers itself the leader.
func (c *cluster) propose() error {
	for _, m := range c.members {
		if !m.up || m.frozen || m.core.Role() != replog.Leader {
			continue
		}
		op := &operation{identity: "c" + strconv.Itoa(len(c.history)), expected: m.state.Version(), call: c.step, proposer: m}
		if len(c.history) > 0 && c.draw(4) == 0 {
			previous := c.history[c.draw(len(c.history))] // a resend
			op.identity, op.expected = previous.identity, previous.expected
		}
		change := &wire.Change{Identity: op.identity, ExpectedVersion: op.expected, Note: op.identity}
		data, err := proto.Marshal(&wire.Command{Change: change})
		if err != nil {
			return err
		}
		index, actions, err := m.core.Propose(c.clock(m), data)
		if err != nil {
			continue
		}
		op.index, op.term = index, m.core.Term()
		c.history = append(c.history, op)
		if err := c.perform(m, actions); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) partition() {
	for _, m := range c.members {
		m.side = 0
		if c.faults && c.draw(3) == 0 {
			m.side = 1
		}
	}
}

func (c *cluster) restartOne() {
	m := c.members[c.draw(len(c.members))]
	if !m.retired {
		c.start(m)
	}
}

// freezeOne suspends a replica, which cannot detect it, or resumes a suspended one.
func (c *cluster) freezeOne() {
	m := c.members[c.draw(len(c.members))]
	m.frozen = c.faults && !m.frozen
}

// replaceOne makes the leaders propose the next step of replacing a replica by a new one,
// which starts with an empty disk.
func (c *cluster) replaceOne() error {
	for _, m := range c.members {
		if !m.up || m.frozen || m.core.Role() != replog.Leader {
			continue
		}
		next, _ := proto.Clone(m.core.Membership()).(*wire.Membership)
		c.nextMembershipStep(m, next)
		if _, actions, err := m.core.ProposeMembership(c.clock(m), next); err == nil {
			if err := c.perform(m, actions); err != nil {
				return err
			}
		}
	}
	return nil
}

// nextMembershipStep promotes a learner, or removes a replica, or adds a learner.
func (c *cluster) nextMembershipStep(leader *member, next *wire.Membership) {
	for _, r := range next.GetReplicas() {
		if r.GetLearner() && leader.core.MatchIndex(r.GetId()) >= leader.core.Commit() {
			r.Learner = false
			return
		}
	}
	if len(next.GetReplicas()) > 3 {
		i := c.draw(len(next.GetReplicas()))
		next.Replicas = slices.Delete(next.Replicas, i, i+1)
		return
	}
	fresh := &member{id: "r" + strconv.Itoa(c.nextID), clockRate: 1, disk: disk{hardState: &wire.HardState{}}}
	c.nextID++
	c.members = append(c.members, fresh)
	c.start(fresh)
	next.Replicas = append(next.Replicas, &wire.Replica{Id: fresh.id, Learner: true})
}

// converge ends all faults and runs until the replicas agree. It returns an error if
// that takes more than 400 steps.
func (c *cluster) converge() error {
	c.faults = false
	for _, m := range c.members {
		m.side = 0
		if !m.retired && (!m.up || m.frozen) {
			c.start(m)
		}
	}
	for range 400 {
		if err := c.tick(); err != nil {
			return err
		}
		if err := c.drain(); err != nil {
			return err
		}
		if err := c.checkLogs(); err != nil {
			return err
		}
		if c.agreed() {
			return nil
		}
	}
	return fmt.Errorf("the replicas do not agree after the faults ended")
}

// drain delivers all messages and the answers to them.
func (c *cluster) drain() error {
	const maxMessages = 20000
	for n := 0; len(c.network) > 0; n++ {
		if n > maxMessages {
			return fmt.Errorf("messages are still in flight after the delivery limit, such as %v", c.network[0])
		}
		message := c.network[0]
		c.network = c.network[1:]
		if err := c.receive(message); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) agreed() bool {
	var leader *member
	for _, m := range c.members {
		if m.core.Role() == replog.Leader && m.core.LeaseValid(c.clock(m)) {
			leader = m
		}
	}
	if leader == nil {
		return false
	}
	for _, r := range leader.core.Membership().GetReplicas() {
		if m := c.member(r.GetId()); !m.retired && m.applied != leader.core.LastIndex() {
			return false
		}
	}
	return true
}
