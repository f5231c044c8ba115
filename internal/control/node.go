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
	inboxSize         = 1024
	maxExtraCalls     = 64
	reopenDelay       = time.Second
	ticksPerHeartbeat = 4
)

// Errors returned by calls to a node.
var (
	// ErrStopped is returned for proposals that were waiting when the replica stopped or
	// its disk failed, and for all calls after the replica stopped.
	ErrStopped = errors.New("the replica has stopped")
	// ErrSuperseded is returned when another record was committed at the index
	// of a proposal, which therefore had no effect.
	ErrSuperseded = errors.New("the proposal was superseded after a change of leader")
	// ErrNotCurrent is returned by a replica that cannot show that its state is
	// current.
	ErrNotCurrent = errors.New("this replica cannot confirm that its state is current")
)

// Transport sends messages to other replicas. Messages may be lost.
type Transport interface {
	// Send queues a message for the replica at an address.
	Send(address string, m *wire.Message)
}

// Node runs one replica: it passes events to the core, performs the core's actions
// and applies the committed records. One goroutine owns the core, the store and the
// state.
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
	publisher     *Publisher
	initialVoters *wire.Membership
	coreOptions   []replog.Option

	inbox        chan func()
	stopped      chan struct{} // closed when the replica stops
	needsRewrite bool          // a sync has failed since the log file was last rewritten
	core         *replog.Core
	store        *storage.Store
	state        *State
	applied      uint64
	wasCurrent   bool // since the store was opened, at currentAt the last time
	currentAt    time.Duration
	waiters      map[uint64]waiter
	pending      []replog.Action // actions of the calls being handled
	// addresses of replicas that sent messages, by ID, for replies to replicas that
	// are missing from this replica's membership
	addresses map[string]string
}

// waiter is a call that waits for the commit of its proposal.
type waiter struct {
	term uint64
	done chan proposalResult
}

// proposalResult is the result of a proposal that was committed or has failed.
type proposalResult struct {
	outcome Outcome
	index   uint64
	err     error
}

// Option configures a node.
type Option func(*Node)

// WithTiming sets the timeouts and intervals of the log.
func WithTiming(t replog.Timing) Option { return func(n *Node) { n.timing = t } }

// WithSnapshotEvery sets the number of records after which a snapshot is taken.
func WithSnapshotEvery(records int) Option {
	return func(n *Node) { n.snapshotEvery = uint64(records) }
}

// WithSnapshotBytes sets the bytes of records after which a snapshot is taken, however
// few records there are.
func WithSnapshotBytes(size int64) Option { return func(n *Node) { n.snapshotBytes = size } }

// WithPublisher sets the publisher of the document in force.
func WithPublisher(p *Publisher) Option { return func(n *Node) { n.publisher = p } }

// WithInitialVoters sets the initial voters, with which this replica bootstraps the log if
// it is one of them and starts without any records. All initial voters must be given the
// same membership.
func WithInitialVoters(m *wire.Membership) Option { return func(n *Node) { n.initialVoters = m } }

// WithRejoining states that the replicas of the log maintain their membership, see
// Service.MaintainMembership.
func WithRejoining() Option {
	return func(n *Node) { n.coreOptions = append(n.coreOptions, replog.WithRejoining()) }
}

// NewNode returns a replica that stores its records on a disk. NewID becomes the ID of a
// replica whose disk is empty; seed initialises its random timeouts. Applied versions of
// the configuration are stored in published.
func NewNode(log logr.Logger, disk vanillaward.Disk, timers vanillaward.Timers, transport Transport,
	published *config.Store, newID string, seed uint64, options ...Option,
) *Node {
	n := &Node{
		log: log, disk: disk, timers: timers, transport: transport, published: published,
		newID: newID, seed: seed, timing: replog.DefaultTiming(), snapshotEvery: 1000, snapshotBytes: 4 << 20,
		inbox: make(chan func(), inboxSize), stopped: make(chan struct{}), waiters: map[uint64]waiter{},
		addresses: map[string]string{}, publisher: NewPublisher(0),
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Run runs the replica until the context ends or its records are found to be damaged. It
// then sends nil or an error that wraps storage.ErrDamaged on the returned channel. After
// a disk failure it opens the store again every reopenDelay until the disk works.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := n.runWithRestarts(ctx)
		close(n.stopped)
		n.failWaiters(ErrStopped)
		done <- err
	}()
	return done
}

// runWithRestarts restarts the replica after disk failures until the context ends. It
// returns an error if the records are damaged.
func (n *Node) runWithRestarts(ctx context.Context) error {
	for {
		err := n.runOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		n.failWaiters(ErrStopped)
		if errors.Is(err, storage.ErrDamaged) {
			n.log.Error(err, "replica stopped because its records are damaged; other roles of the instance continue")
			return err
		}
		var syncErr *storage.SyncError
		n.needsRewrite = n.needsRewrite || errors.As(err, &syncErr)
		n.log.Error(err, "disk failed; this replica accepts no changes until the disk works again")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

// runOnce opens the store and handles ticks and calls until the context ends or an
// operation fails.
func (n *Node) runOnce(ctx context.Context) error {
	if err := n.open(); err != nil {
		return err
	}
	defer func() {
		_ = n.store.Close() // all acknowledged data was synced
	}()
	if err := n.bootstrapLog(); err != nil {
		return err
	}
	tickCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := n.timers.Subscribe(tickCtx, n.timing.Heartbeat/ticksPerHeartbeat)
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
	if n.needsRewrite {
		if err := store.Rewrite(); err != nil {
			_ = store.Close() // the first error is the one to report
			return err
		}
		n.needsRewrite = false
		n.log.Info("log rewritten after a failed sync")
	}
	n.state = NewState()
	n.applied, n.wasCurrent = 0, false
	durable := store.Durable()
	if durable.Snapshot != nil {
		if err := n.restore(durable.Snapshot); err != nil {
			return err
		}
	}
	random := rand.New(rand.NewPCG(n.seed, uint64(n.timers.Now())))
	n.core = replog.New(store.ID(), n.timing, random, n.timers.Now(), durable, n.coreOptions...)
	return nil
}

// bootstrapLog starts the log with its initial voters, if this replica is one of them
// and has no records yet.
func (n *Node) bootstrapLog() error {
	if n.core.LastIndex() > 0 || !slices.Contains(replicaIDs(n.initialVoters), n.core.ID()) {
		return nil
	}
	n.log.Info("log bootstrapped", "replicas", describeReplicas(n.initialVoters))
	return n.perform(n.installMembership(n.initialVoters))
}

func replicaIDs(m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		out = append(out, r.GetId())
	}
	return out
}

func (n *Node) tick() error {
	n.evacuationView()
	actions := n.core.Tick(n.timers.Now())
	actions = append(actions, n.reconcileMembership()...)
	actions = append(actions, n.core.PersistCommit()...)
	return n.perform(actions)
}

// handle runs a call and up to maxExtraCalls queued ones, then performs all their
// actions with a single sync.
func (n *Node) handle(call func()) error {
	n.pending = nil
	call()
	for range maxExtraCalls {
		select {
		case next := <-n.inbox:
			next()
		default:
			return n.perform(n.pending)
		}
	}
	return n.perform(n.pending)
}

// perform stages and syncs the durable effects of the actions, then executes their
// other effects in order.
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
		if err := n.execute(a); err != nil {
			return err
		}
	}
	return n.compact()
}

func (n *Node) execute(action replog.Action) error {
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
		n.log.Info("replica role or term changed", "replica-role", a.Role.String(), "term", a.Term)
	}
	return nil
}

// addressOf returns the peer address of a replica from the membership. For a replica that
// is not a member it returns the address that the replica sent last, or the empty string.
func (n *Node) addressOf(id string) string {
	for _, r := range n.core.Membership().GetReplicas() {
		if r.GetId() == id {
			return r.GetAddress()
		}
	}
	return n.addresses[id]
}

// apply applies committed entries to the state and publishes the results.
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
			n.publisher.PublishDocument(n.state.Document())
		}
		n.publisher.PublishEvacuation(n.state.Evacuation().Index())
		n.completeProposal(e, outcome)
	}
	return nil
}

// publish makes a new version available to watchers. After a restart the store may be
// ahead of the replayed log, so ErrRevert is not logged.
func (n *Node) publish(d *wire.Delta) {
	err := n.published.Advance(d)
	if errors.Is(err, config.ErrGap) {
		err = n.published.Reset(n.state.Version(), config.SectionsFromTexts(n.state.Texts()))
	}
	if err != nil && !errors.Is(err, config.ErrRevert) {
		n.log.Error(err, "cannot apply the accepted configuration", "version", d.GetVersion())
	}
}

// completeProposal sends the outcome of a committed entry to the call that waits at its
// index. If the terms differ, another record was committed there.
func (n *Node) completeProposal(e *wire.Entry, outcome Outcome) {
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

func (n *Node) failWaiters(err error) {
	for index, w := range n.waiters {
		w.done <- proposalResult{err: err}
		delete(n.waiters, index)
	}
}

// restore replaces the state by that of a snapshot and publishes it.
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
	n.publisher.PublishDocument(state.Document())
	n.publisher.PublishEvacuation(state.Evacuation().Index())
	if state.Version() > n.published.Version() {
		if err := n.published.Reset(state.Version(), config.SectionsFromTexts(state.Texts())); err != nil {
			n.log.Error(err, "cannot apply the configuration restored from the snapshot", "version", state.Version())
		}
	}
	return nil
}

// compact saves a snapshot of the state once the log has too many records or bytes.
func (n *Node) compact() error {
	tooManyRecords := n.applied >= n.core.FirstIndex()+n.snapshotEvery
	tooManyBytes := n.store.BytesSinceRewrite() > n.snapshotBytes && n.applied > n.core.FirstIndex()
	if !tooManyRecords && !tooManyBytes {
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

// reconcileMembership proposes the next change of the membership, if one is due.
func (n *Node) reconcileMembership() []replog.Action {
	next := n.core.NextMembership(n.timers.Now())
	if next == nil {
		return nil
	}
	_, actions, err := n.core.ProposeMembership(n.timers.Now(), next)
	if err != nil {
		n.log.Error(err, "cannot propose a membership change")
		return nil
	}
	n.log.Info("membership change proposed", "replicas", describeReplicas(next), "tolerated-losses", next.GetToleratedLosses(), "term", n.core.Term())
	return actions
}

// describeReplicas formats the replicas of a membership for logs.
func describeReplicas(m *wire.Membership) []string {
	var out []string
	for _, r := range m.GetReplicas() {
		role := "voter"
		if r.GetLearner() {
			role = "learner"
		}
		out = append(out, r.GetId()+"@"+r.GetAddress()+" "+role)
	}
	return out
}
