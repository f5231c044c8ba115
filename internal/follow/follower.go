// Package follow keeps an instance up to date with the state of the control
// replicas: the configuration document in force and the list of targets.
package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// followedReplicas is the number of replicas that an instance follows at once. With more
	// than one, an instance does not depend on a replica that is cut off from the others and
	// has stale data.
	followedReplicas = 3
	// longPollWait is how long a replica may hold a long poll open.
	longPollWait = 900 * time.Millisecond
	// minUsesInterval is the shortest interval at which the leader receives this
	// instance's uses of targets. usesIntervalPerFollower bounds the leader's work
	// when it has many followers: the interval is at least usesIntervalPerFollower times
	// their number.
	minUsesInterval         = 50 * time.Millisecond
	usesIntervalPerFollower = time.Millisecond
	// leaderRetryDelay is the time for which a replica that failed as the leader is not
	// preferred as the leader again.
	leaderRetryDelay = time.Second
	// responseMargin is added to longPollWait to get the time for which a connection may be silent
	// during a poll. maxPollTime bounds a poll over a connection that is slow.
	responseMargin = 300 * time.Millisecond
	maxPollTime    = 30 * time.Second
	// retryDelay is the delay before the next replica is tried after a failure.
	retryDelay = 100 * time.Millisecond
	// lostAfter is the time without a current replica after which the loss of control is
	// logged.
	lostAfter = 2 * time.Second
)

// Sink receives the updates from the replicas.
type Sink interface {
	// Number returns the number of the current document, or 0 if there is none.
	Number() uint64
	// Install puts a document in force. It is not called concurrently, and while no lock of the
	// follower is held that other updates need. An error is logged, and the previous document stays
	// in force.
	Install(d *wire.Document) error
	// UpdateTargets replaces the list of targets.
	UpdateTargets(list []*wire.Target)
	// UpdateEvacuation replaces the orders that evacuate failure domains, as of the record with an
	// index. If there are any, it is called before the first call of UpdateTargets.
	UpdateEvacuation(index uint64, orders []*wire.OrderStep)
	// UpdateLoads updates the load reports of some engines.
	UpdateLoads(loads []*wire.Load)
	// LocalUses returns this instance's uses of targets.
	LocalUses() []*wire.Use
	// UpdatePeerUses updates the sums of the other instances' uses of targets, and the
	// number of instances.
	UpdatePeerUses(uses []*wire.Use, instances int)
	// Evidence returns what this instance has seen of parts of prompts that may crash engines since
	// the known number, or all that it knows for 0, with the number of the newest; 0 stands
	// for nothing. It returns no evidence if that is the known one.
	Evidence(known uint64) (*wire.Evidence, uint64)
	// MergeEvidence adds what a replica has heard from other instances.
	MergeEvidence(e *wire.Evidence)
}

// Follower follows replicas, starting from seeds.
type Follower struct {
	log      logr.Logger
	timers   vanillaward.Timers
	peers    *peer.Pool
	name     string
	domain   string
	seeds    func() []string
	sink     Sink
	helping  Helping
	queueing Queueing

	documents documents
	refresher *refresher
	subsets   Subsets // nil if the instance keeps no subsets

	mu             sync.Mutex // guards the fields below; held while the sink is called, except for Install
	replicas       []string
	lastSeeds      []string        // result of the last call of seeds
	followed       map[string]bool // replicas that are followed at present
	leader         string          // address of the leader, empty if unknown
	failedLeader   string          // address of the leader that failed last
	leaderFailedAt time.Duration
	usesInterval   time.Duration     // interval at which the leader receives the uses
	heard          map[string]uint64 // number of the document that each replica has
	lists          map[string]*targetList
	evacuation     evacuation
	merged         mergedList
	contacts       map[string]*contact
	replicasHash   uint64 // as the replica stated it that named replicas
	uses           usesState
	exchanges      map[string]*exchange
	statuses       map[string]string // last logged status by replica: current, behind or lost
	currentAt      time.Duration     // when a current replica last responded
	controlLost    bool              // set while currentAt is more than lostAfter ago
}

// New returns a follower for the named instance in a failure domain. The function
// seeds returns peer addresses of some replicas.
func New(log logr.Logger, timers vanillaward.Timers, peers *peer.Pool, name, domain string, seeds func() []string, sink Sink) *Follower {
	return &Follower{
		log: log, timers: timers, peers: peers, name: name, domain: domain, seeds: seeds, sink: sink, helping: noHelping{}, queueing: noQueueing{},
		usesInterval: minUsesInterval, followed: map[string]bool{}, lists: map[string]*targetList{}, exchanges: map[string]*exchange{},
		contacts: map[string]*contact{}, statuses: map[string]string{}, currentAt: timers.Now(), heard: map[string]uint64{},
		documents: documents{news: make(chan struct{}, 1)}, refresher: newRefresher(),
	}
}

// Run follows replicas until the context ends. It sends nil on the returned channel
// when all goroutines have stopped.
func (f *Follower) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var wg sync.WaitGroup
		for i := range followedReplicas {
			wg.Go(func() { f.followLoop(ctx, i) })
		}
		wg.Go(func() { f.fetchLoop(ctx) })
		wg.Wait()
		done <- nil
	}()
	return done
}

// followLoop follows one replica after another. Different values of start let the
// goroutines begin with different replicas.
func (f *Follower) followLoop(ctx context.Context, start int) {
	for next := start; ctx.Err() == nil; next++ {
		address := f.claim(next)
		if address != "" {
			f.follow(ctx, address)
			f.release(address)
		}
		timer.Sleep(ctx, f.delayAfter(address))
	}
}

// claim marks a replica as followed and returns its address. It returns the empty
// string if all known replicas are followed.
func (f *Follower) claim(next int) string {
	seeds := f.seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSeeds = seeds
	if f.needsLeaderLocked() {
		f.followed[f.leader] = true
		return f.leader
	}
	candidates := slices.Clone(f.replicas)
	for _, s := range seeds {
		if !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	now := f.timers.Now()
	for i := range candidates {
		address := candidates[(next+i)%len(candidates)]
		if !f.followed[address] && now >= f.contactOf(address).notBefore {
			f.followed[address] = true
			return address
		}
	}
	return ""
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.followed, address)
}

// follow follows a replica until the replica fails or is behind its leader, or until the
// leader must be followed instead.
func (f *Follower) follow(ctx context.Context, address string) {
	client, err := f.peers.Client(address)
	if err != nil {
		f.log.Error(err, "replica has no usable address", "address", address)
		return
	}
	var lastPoll time.Duration
	for first := true; ctx.Err() == nil; first = false {
		if !first {
			f.awaitTurn(ctx, address, lastPoll)
		}
		lastPoll = f.timers.Now()
		resp, err := f.poll(ctx, client, address, first)
		if err != nil {
			f.refresher.end(0)
			f.recordFailure(address, err)
			return
		}
		f.handleResponse(address, resp)
		if resp.GetLeader() {
			f.refresher.end(proto.Size(resp))
		}
		if d := resp.GetDocument(); d != nil { // of a replica that cannot send pieces
			f.install(d)
		}
		if !resp.GetFresh() || f.needsLeader() {
			return
		}
	}
}

// needsLeader reports whether the leader should be followed but is not, so that another
// replica must be released for it.
func (f *Follower) needsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.needsLeaderLocked()
}

// needsLeaderLocked reports whether the next free goroutine should follow the leader. A
// replica that has just failed or turned out not to lead is not preferred for
// leaderRetryDelay, because the other replicas may name it as the leader until they detect
// the change. It is called with the lock held.
func (f *Follower) needsLeaderLocked() bool {
	if f.leader == "" || f.followed[f.leader] || f.timers.Now() < f.contactOf(f.leader).notBefore {
		return false
	}
	return f.leader != f.failedLeader || f.timers.Now()-f.leaderFailedAt > leaderRetryDelay
}

// awaitTurn returns when the next poll of a replica is due, of which the last one began at lastPoll.
func (f *Follower) awaitTurn(ctx context.Context, address string, lastPoll time.Duration) {
	f.mu.Lock()
	isLeader, interval, spacing := address == f.leader, f.usesInterval, f.contactOf(address).spacing()
	f.mu.Unlock()
	if isLeader {
		f.refresher.awaitNext(ctx, interval)
	} else if wait := spacing - (f.timers.Now() - lastPoll); wait > 0 {
		timer.Sleep(ctx, wait)
	}
}

func (f *Follower) poll(ctx context.Context, client *peer.Client, address string, first bool) (*wire.FollowResponse, error) {
	request := &wire.FollowRequest{
		Instance: f.name, FailureDomain: f.domain, Document: f.sink.Number(), WaitMs: uint64(longPollWait.Milliseconds()),
		FetchesDocuments: true, LacksTargets: f.helping.LacksTargets(),
	}
	f.mu.Lock()
	f.addVersions(address, request)
	request.DocumentHeard = f.heard[address]
	isLeader := address == f.leader
	if first || isLeader {
		request.WaitMs = 0
	}
	patience := f.contactOf(address).patience
	request.EvacuationIndex = proto.Uint64(f.evacuation.index)
	if !f.evacuation.settled {
		request.WaitMs = min(request.WaitMs, uint64(unsettledWait.Milliseconds()))
	}
	f.mu.Unlock()
	if isLeader {
		// The leader responds at once, because the uses that it receives and the sums
		// that it returns must be up to date.
		f.refresher.begin()
		request.Uses, request.Queued = f.sink.LocalUses(), f.queueing.LocalQueued()
		request.HelpAddress, request.AsksForHelpers = f.helping.HelpAddress(), f.helping.WantsHelpers()
	}
	sent := f.addEvidence(address, request)
	ctx, cancel := context.WithTimeout(ctx, maxPollTime)
	defer cancel()
	resp := &wire.FollowResponse{}
	begun, wait := f.timers.Now(), time.Duration(request.GetWaitMs())*time.Millisecond
	if err := client.CallUntilSilent(ctx, longPollWait+patience, control.MethodFollow, request, resp); err != nil {
		return nil, err
	}
	f.recordSuccess(address, f.timers.Now()-begun-wait)
	f.handleEvidence(address, sent, resp)
	// A new leader knows of nobody yet; what was known before is better than nothing.
	if helpers := validAddresses(resp.GetHelpers()); len(helpers) > 0 {
		f.helping.UpdateHelpers(helpers)
	}
	return resp, nil
}

func (f *Follower) recordFailure(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.leader {
		f.failedLeader, f.leaderFailedAt = address, f.timers.Now()
	}
	var unanswered *peer.UnansweredError
	most := maxBackoff
	if f.uses.instances <= wholeInstances && errors.Is(err, peer.ErrUnreachable) {
		most = maxSmallBackoff
	}
	f.contactOf(address).fail(errors.As(err, &unanswered), rand.Float64(), most, f.timers.Now())
	f.recordStatus(address, "lost", err.Error())
}

// recordSuccess records that a replica took a time to answer, beside the time that it was to wait.
func (f *Follower) recordSuccess(address string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactOf(address).succeed(took)
}

// recordStatus logs the status of a replica when it changes. It also logs when no replica
// has been current for lostAfter, and when one is current again. It is called with the
// lock held.
func (f *Follower) recordStatus(address, status, reason string) {
	if f.statuses[address] != status {
		f.statuses[address] = status
		f.log.Info("replica "+status, "replica", address, "reason", reason, "number", f.sink.Number())
	}
	now := f.timers.Now()
	switch {
	case status == "current":
		if f.controlLost {
			f.log.Info("control regained", "replica", address, "after-ms", (now - f.currentAt).Milliseconds())
		}
		f.currentAt, f.controlLost = now, false
	case !f.controlLost && now-f.currentAt > lostAfter:
		f.controlLost = true
		f.log.Info("control lost", "number", f.sink.Number(), "age-ms", (now - f.currentAt).Milliseconds())
	}
}

// handleResponse records the state that a replica reports and passes updates to the sink.
func (f *Follower) handleResponse(address string, resp *wire.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.GetFresh() {
		f.recordStatus(address, "current", "")
	} else {
		f.recordStatus(address, "behind", "replica has not received a heartbeat of its leader lately")
	}
	if len(resp.GetReplicas()) > 0 {
		f.replicas, f.replicasHash = validAddresses(resp.GetReplicas()), resp.GetReplicasHash()
		f.forgetRemovedReplicas()
	}
	f.updateLeader(address, resp)
	c := f.contactOf(address)
	c.keepTerms(resp)
	if resp.GetLeader() {
		f.usesInterval = max(minUsesInterval, time.Duration(resp.GetFollowers())*usesIntervalPerFollower)
		if c.interval > 0 {
			f.usesInterval = periodicShare * c.interval
		}
		f.refresher.setInterval(c.interval)
		if resp.GetSumsQueued() {
			f.queueing.UpdatePeersQueued(resp.GetOthersQueued())
		}
	}
	f.updateUses(address, resp)
	f.noteDocument(address, resp.GetDocumentNumber())
	f.updateEvacuation(address, resp)
	f.updateList(address, resp)
	if len(resp.GetLoads()) > 0 {
		f.sink.UpdateLoads(resp.GetLoads())
	}
}

// forgetRemovedReplicas drops the state of replicas that are neither members of the log
// any more nor seeds. It is called with the lock held.
func (f *Follower) forgetRemovedReplicas() {
	removed := func(address string) bool {
		return !f.followed[address] && !slices.Contains(f.replicas, address) && !slices.Contains(f.lastSeeds, address)
	}
	maps.DeleteFunc(f.lists, func(address string, _ *targetList) bool { return removed(address) })
	maps.DeleteFunc(f.heard, func(address string, _ uint64) bool { return removed(address) })
	maps.DeleteFunc(f.exchanges, func(address string, _ *exchange) bool { return removed(address) })
	maps.DeleteFunc(f.contacts, func(address string, _ *contact) bool { return removed(address) })
	maps.DeleteFunc(f.statuses, func(address, _ string) bool { return removed(address) })
}

// updateLeader records which replica leads. A replica that was considered the leader
// and is not, or cannot prove that it still is, is treated like a leader that failed: such a
// replica responds at once, so preferring it would keep the instance from following the
// others. The function is called with the lock held.
func (f *Follower) updateLeader(address string, resp *wire.FollowResponse) {
	if address == f.leader && (!resp.GetLeader() || !resp.GetFresh()) {
		f.leader, f.failedLeader, f.leaderFailedAt = "", address, f.timers.Now()
	}
	if leaderAddress := resp.GetLeaderAddress(); leaderAddress != "" && resp.GetFresh() {
		f.leader = leaderAddress
	}
}

func validAddresses(addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, a)
		}
	}
	return out
}
