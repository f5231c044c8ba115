package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	inboxSize    = 1024
	drainAtOnce  = 64
	reopenPause  = time.Second
	tickFraction = 4 // ticks per heartbeat
)

// Errors of calls to a node.
var (
	// ErrStopped is returned after the replica stopped, for example because its
	// disk failed.
	ErrStopped = errors.New("the replica has stopped")
	// ErrSuperseded is returned when another record was committed at the place
	// of a proposal, which therefore had no effect.
	ErrSuperseded = errors.New("the proposal was superseded after a change of leader")
	// ErrNotCurrent is returned by a replica that cannot show that its state is
	// current.
	ErrNotCurrent = errors.New("this replica cannot confirm that its state is current")
)

// Transport sends messages to other replicas. It may lose them.
type Transport interface {
	// Send queues a message for the replica at an address.
	Send(address string, m *wire.Message)
}

// Node runs one replica: it feeds the core, performs its actions and applies
// the committed records. One goroutine owns the core, the store and the state.
type Node struct {
	log           logr.Logger
	disk          vanillaward.Disk
	timers        vanillaward.Timers
	transport     Transport
	timing        replog.Timing
	newID         string
	seed          uint64
	snapshotEvery uint64
	snapshotBytes int64
	published     *config.Store
	board         *Board
	founders      *wire.Membership

	inbox   chan func()
	failed  chan struct{} // closed when the replica stops
	rewrite bool          // a sync has failed since the log was last written whole
	core    *replog.Core
	store   *storage.Store
	state   *State
	applied uint64
	waiters map[uint64]waiter
	pending []replog.Action // actions of the calls that are being handled
	// addresses of replicas that sent messages, for answers to replicas that
	// the membership held here does not name
	addresses map[string]string
}

type waiter struct {
	term uint64
	done chan proposalResult
}

type proposalResult struct {
	outcome Outcome
	index   uint64
	err     error
}

// Option changes how a node is built.
type Option func(*Node)

// WithTiming sets the time bounds of the log.
func WithTiming(t replog.Timing) Option { return func(n *Node) { n.timing = t } }

// WithSnapshotEvery sets after how many records a snapshot is taken.
func WithSnapshotEvery(records int) Option {
	return func(n *Node) { n.snapshotEvery = uint64(records) }
}

// WithSnapshotBytes sets after how many bytes of records a snapshot is taken, however few
// records they are.
func WithSnapshotBytes(size int64) Option { return func(n *Node) { n.snapshotBytes = size } }

// WithBoard sets where documents in force are posted.
func WithBoard(b *Board) Option { return func(n *Node) { n.board = b } }

// WithFounders makes the given replicas the first ones of the log when this one
// starts without any records. All founders must be given the same membership.
func WithFounders(m *wire.Membership) Option { return func(n *Node) { n.founders = m } }

// NewNode returns a replica on a disk. NewID is its identity if the disk is
// empty; seed feeds its random timeouts. Applied versions go to published.
func NewNode(log logr.Logger, disk vanillaward.Disk, timers vanillaward.Timers, transport Transport,
	published *config.Store, newID string, seed uint64, options ...Option,
) *Node {
	n := &Node{
		log: log, disk: disk, timers: timers, transport: transport, published: published,
		newID: newID, seed: seed, timing: replog.DefaultTiming(), snapshotEvery: 1000, snapshotBytes: 4 << 20,
		inbox: make(chan func(), inboxSize), failed: make(chan struct{}), waiters: map[uint64]waiter{},
		addresses: map[string]string{}, board: NewBoard(0),
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Run runs the replica until the context ends or its records turn out to be damaged, and
// reports its end on the returned channel. A disk that fails stops it until the disk
// works again.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := n.runAgain(ctx)
		close(n.failed)
		n.dropWaiters(ErrStopped)
		done <- err
	}()
	return done
}

func (n *Node) runAgain(ctx context.Context) error {
	for {
		err := n.runOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		n.dropWaiters(ErrStopped)
		if errors.Is(err, storage.ErrDamaged) {
			n.log.Error(err, "replica stops; other roles of the instance go on")
			return err
		}
		var unsynced *storage.SyncError
		n.rewrite = n.rewrite || errors.As(err, &unsynced)
		n.log.Error(err, "disk failed; no changes are accepted here until it works again")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenPause):
		}
	}
}

func (n *Node) runOnce(ctx context.Context) error {
	if err := n.open(); err != nil {
		return err
	}
	defer func() {
		_ = n.store.Close() // everything that counts was synced
	}()
	if err := n.found(); err != nil {
		return err
	}
	tickContext, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := n.timers.Subscribe(tickContext, n.timing.Heartbeat/tickFraction)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			if err := n.tick(); err != nil {
				return err
			}
		case call := <-n.inbox:
			if err := n.handle(call); err != nil {
				return err
			}
		}
	}
}

// open restores the replica from its disk.
func (n *Node) open() error {
	store, err := storage.Open(n.disk, n.newID)
	if err != nil {
		return err
	}
	n.store = store
	if n.rewrite {
		if err := store.Rewrite(); err != nil {
			_ = store.Close() // the first error is the one to report
			return err
		}
		n.rewrite = false
		n.log.Info("log written anew after a failed sync")
	}
	n.state = NewState()
	n.applied = 0
	durable := store.Durable()
	if durable.Snapshot != nil {
		if err := n.restore(durable.Snapshot); err != nil {
			return err
		}
	}
	random := rand.New(rand.NewPCG(n.seed, uint64(n.timers.Now())))
	n.core = replog.New(store.ID(), n.timing, random, n.timers.Now(), durable)
	return nil
}

// found starts the log with its founders, if this replica is one and has no
// records yet.
func (n *Node) found() error {
	if n.core.LastIndex() > 0 || !slices.Contains(replicaIDs(n.founders), n.core.ID()) {
		return nil
	}
	n.log.Info("log is founded", "replicas", describe(n.founders))
	return n.perform(n.install(n.founders))
}

func replicaIDs(m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		out = append(out, r.GetId())
	}
	return out
}

func (n *Node) tick() error {
	actions := n.core.Tick(n.timers.Now())
	actions = append(actions, n.steward()...)
	actions = append(actions, n.core.KeepCommit()...)
	return n.perform(actions)
}

// handle runs a call and those that wait behind it, then performs all their
// actions with a single sync.
func (n *Node) handle(call func()) error {
	n.pending = nil
	call()
	for range drainAtOnce {
		select {
		case next := <-n.inbox:
			next()
		default:
			return n.perform(n.pending)
		}
	}
	return n.perform(n.pending)
}

// perform makes everything durable that the actions ask for, then does the rest
// in order.
func (n *Node) perform(actions []replog.Action) error {
	for _, a := range actions {
		if err := n.store.Stage(a); err != nil {
			return err
		}
	}
	if err := n.store.Sync(); err != nil {
		return err
	}
	for _, a := range actions {
		if err := n.act(a); err != nil {
			return err
		}
	}
	return n.compact()
}

func (n *Node) act(action replog.Action) error {
	switch a := action.(type) {
	case replog.Send:
		if address := n.addressOf(a.Message.GetTo()); address != "" {
			n.transport.Send(address, a.Message)
		}
	case replog.Apply:
		return n.apply(a.Entries)
	case replog.Restore:
		return n.restore(a.Snapshot)
	case replog.RoleChange:
		n.log.Info("replica role", "replica-role", a.Role.String(), "term", a.Term)
	}
	return nil
}

func (n *Node) addressOf(id string) string {
	for _, r := range n.core.Membership().GetReplicas() {
		if r.GetId() == id {
			return r.GetAddress()
		}
	}
	return n.addresses[id]
}

func (n *Node) apply(entries []*wire.Entry) error {
	for _, e := range entries {
		outcome := Outcome{}
		if len(e.GetData()) > 0 {
			var err error
			if outcome, err = n.state.Apply(e.GetIndex(), e.GetData()); err != nil {
				return err
			}
		}
		n.applied = e.GetIndex()
		if outcome.Delta != nil {
			n.publish(outcome.Delta)
		}
		if outcome.Document != nil {
			n.board.Post(n.state.Document())
		}
		n.settle(e, outcome)
	}
	return nil
}

// publish puts a new version in force for watchers. After a restart the store
// may be ahead of the replayed log.
func (n *Node) publish(d *wire.Delta) {
	err := n.published.Advance(d)
	if errors.Is(err, config.ErrGap) {
		err = n.published.Reset(n.state.Version(), config.TextSections(n.state.Texts()))
	}
	if err != nil && !errors.Is(err, config.ErrRevert) {
		n.log.Error(err, "accepted configuration cannot be read", "version", d.GetVersion())
	}
}

func (n *Node) settle(e *wire.Entry, outcome Outcome) {
	w, ok := n.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		w.done <- proposalResult{err: ErrSuperseded}
		return
	}
	w.done <- proposalResult{outcome: outcome, index: e.GetIndex()}
}

func (n *Node) dropWaiters(err error) {
	for index, w := range n.waiters {
		w.done <- proposalResult{err: err}
		delete(n.waiters, index)
	}
}

func (n *Node) restore(s *wire.Snapshot) error {
	state := NewState()
	if len(s.GetState()) > 0 {
		var err error
		if state, err = RestoreState(s.GetState()); err != nil {
			return err
		}
	}
	n.state = state
	n.applied = s.GetIndex()
	n.board.Post(state.Document())
	if state.Version() > n.published.Version() {
		if err := n.published.Reset(state.Version(), config.TextSections(state.Texts())); err != nil {
			n.log.Error(err, "restored configuration cannot be read", "version", state.Version())
		}
	}
	return nil
}

func (n *Node) compact() error {
	long := n.applied >= n.core.FirstIndex()+n.snapshotEvery
	large := n.store.Grown() > n.snapshotBytes && n.applied > n.core.FirstIndex()
	if !long && !large {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	for _, a := range n.core.Compact(n.applied, data) {
		if err := n.store.Stage(a); err != nil {
			return err
		}
	}
	return nil
}

// steward proposes the next step of the membership, if there is one.
func (n *Node) steward() []replog.Action {
	next := n.core.Steward(n.timers.Now())
	if next == nil {
		return nil
	}
	_, actions, err := n.core.ProposeMembership(n.timers.Now(), next)
	if err != nil {
		n.log.Error(err, "membership step cannot be proposed")
		return nil
	}
	n.log.Info("membership changes", "replicas", describe(next), "term", n.core.Term())
	return actions
}

// describe lists the replicas of a membership for logs.
func describe(m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		part := "voter"
		if r.GetLearner() {
			part = "learner"
		}
		out = append(out, r.GetId()+"@"+r.GetAddress()+" "+part)
	}
	return out
}
