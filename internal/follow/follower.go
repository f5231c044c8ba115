// Package follow keeps an instance up to date with what the control replicas
// have: the configuration document in force and the list of targets.
package follow

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// sources is how many replicas an instance follows at once, so that one that
	// is cut off does not leave it behind.
	sources = 3
	// holdQuestion is how long a replica may hold a question.
	holdQuestion = 900 * time.Millisecond
	// shareInterval is how often the leader is told what this instance has at
	// targets, and sharePerFollower bounds the leader's work when it has many
	// followers: the interval is at least this time for each of them.
	shareInterval    = 50 * time.Millisecond
	sharePerFollower = time.Millisecond
	// leaderPause is how long a leader that failed is not asked again.
	leaderPause = time.Second
	// answerMargin is how much later than that an answer may come.
	answerMargin = 300 * time.Millisecond
	// failurePause is the pause after a replica failed.
	failurePause = 100 * time.Millisecond
	// lostAfter is how long no replica may be current until that is logged.
	lostAfter = 2 * time.Second
	// listValid is how old a list may be to count beside a newer one.
	listValid = 5 * time.Second
)

// Sink takes what the follower learns.
type Sink interface {
	// Number returns the number of the document held, 0 for none.
	Number() uint64
	// Install takes a document. It is not called concurrently.
	Install(d *wire.Document) error
	// UpdateTargets takes a list of targets.
	UpdateTargets(list []*wire.Target)
	// UpdateLoads takes reports of some engines.
	UpdateLoads(loads []*wire.Load)
	// Uses returns what this instance has at targets.
	Uses() []*wire.Use
	// UpdateOthers takes the sums of what the other instances have at targets, and how
	// many instances there are.
	UpdateOthers(uses []*wire.Use, instances int)
}

// Follower follows replicas, starting from seeds.
type Follower struct {
	log    logr.Logger
	timers vanillaward.Timers
	peers  *peer.Pool
	name   string
	domain string
	seeds  func() []string
	sink   Sink

	mu       sync.Mutex // guards the rest; held while the sink is called
	replicas []string
	asSeeds  []string        // the seeds, as read last
	taken    map[string]bool // replicas that are followed now
	leader   string          // its address, where it is known
	failed   string          // the leader that failed last
	failedAt time.Duration
	share    time.Duration // how often the leader is told
	lists    map[string]*list
	heard    map[string]string // what became of the last question to a replica
	fresh    time.Duration     // when a replica last answered with what is current
	lost     bool              // since then, for lostAfter
}

// list is what one replica told of the targets.
type list struct {
	epoch   uint64
	version uint64
	readAt  time.Duration
	targets []*wire.Target
	loads   uint64
}

// New returns a follower for the named instance in a failure domain. Seeds
// returns peer addresses of some replicas.
func New(log logr.Logger, timers vanillaward.Timers, peers *peer.Pool, name, domain string, seeds func() []string, sink Sink) *Follower {
	return &Follower{
		log: log, timers: timers, peers: peers, name: name, domain: domain, seeds: seeds, sink: sink,
		share: shareInterval, taken: map[string]bool{}, lists: map[string]*list{}, heard: map[string]string{}, fresh: timers.Now(),
	}
}

// Run follows replicas until the context ends and reports its end on the returned
// channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var following sync.WaitGroup
		for i := range sources {
			following.Go(func() { f.followSome(ctx, i) })
		}
		following.Wait()
		done <- nil
	}()
	return done
}

// followSome follows one replica after another. Start spreads the followers.
func (f *Follower) followSome(ctx context.Context, start int) {
	for next := start; ctx.Err() == nil; next++ {
		address := f.take(next)
		if address != "" {
			f.follow(ctx, address)
			f.release(address)
		}
		pause(ctx, failurePause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// take returns a replica that is not followed yet, or the empty string.
func (f *Follower) take(next int) string {
	seeds := f.seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asSeeds = seeds
	if f.wantsLeader() {
		f.taken[f.leader] = true
		return f.leader
	}
	known := slices.Clone(f.replicas)
	for _, s := range seeds {
		if !slices.Contains(known, s) {
			known = append(known, s)
		}
	}
	for i := range known {
		address := known[(next+i)%len(known)]
		if !f.taken[address] {
			f.taken[address] = true
			return address
		}
	}
	return ""
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.taken, address)
}

// follow follows a replica until it fails or is behind its leader.
func (f *Follower) follow(ctx context.Context, address string) {
	client, err := f.peers.Client(address)
	if err != nil {
		f.log.Error(err, "replica has no usable address", "address", address)
		return
	}
	for first := true; ctx.Err() == nil; first = false {
		answer, err := f.ask(ctx, client, address, first)
		if err != nil {
			f.noteLost(address, err)
			return
		}
		f.learn(address, answer)
		if !answer.GetFresh() || f.lacksLeader() {
			return
		}
	}
}

// lacksLeader reports whether the leader is known and none of the followed replicas:
// one of them must be given up for it.
func (f *Follower) lacksLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantsLeader()
}

// wantsLeader reports whether the leader should be followed by the next that is free. A
// leader that has just failed, or was none, is left alone for a while: the other replicas
// may name it until they notice. It is called with the lock held.
func (f *Follower) wantsLeader() bool {
	return f.leader != "" && !f.taken[f.leader] && (f.leader != f.failed || f.timers.Now()-f.failedAt > leaderPause)
}

func (f *Follower) ask(ctx context.Context, client *peer.Client, address string, first bool) (*wire.FollowResponse, error) {
	request := &wire.FollowRequest{
		Instance: f.name, FailureDomain: f.domain, Document: f.sink.Number(), WaitMs: uint64(holdQuestion.Milliseconds()),
	}
	f.mu.Lock()
	leads := address == f.leader
	if first || leads {
		request.WaitMs = 0
	}
	if l := f.lists[address]; l != nil {
		request.ListEpoch, request.ListVersion, request.LoadsVersion = l.epoch, l.version, l.loads
	}
	share := f.share
	f.mu.Unlock()
	if leads {
		// The leader does not hold the question: what it is told, and what it tells of
		// the others, must be of this moment.
		if !first {
			pause(ctx, share)
		}
		request.Uses = f.sink.Uses()
	}
	ctx, cancel := context.WithTimeout(ctx, holdQuestion+answerMargin)
	defer cancel()
	answer := &wire.FollowResponse{}
	return answer, client.Call(ctx, control.MethodFollow, request, answer)
}

func (f *Follower) noteLost(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.leader {
		f.failed, f.failedAt = address, f.timers.Now()
	}
	f.note(address, "lost", err.Error())
}

// note logs what became of a replica when that differs from before, and whether there
// is any current one. It is called with the lock held.
func (f *Follower) note(address, what, reason string) {
	if f.heard[address] != what {
		f.heard[address] = what
		f.log.Info("replica "+what, "replica", address, "reason", reason, "number", f.sink.Number())
	}
	now := f.timers.Now()
	switch {
	case what == "current":
		if f.lost {
			f.log.Info("control regained", "replica", address, "after-ms", (now - f.fresh).Milliseconds())
		}
		f.fresh, f.lost = now, false
	case !f.lost && now-f.fresh > lostAfter:
		f.lost = true
		f.log.Info("control lost", "number", f.sink.Number(), "age-ms", (now - f.fresh).Milliseconds())
	}
}

// learn takes an answer.
func (f *Follower) learn(address string, answer *wire.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.GetFresh() {
		f.note(address, "current", "")
	} else {
		f.note(address, "behind", "it has not heard its leader lately")
	}
	if len(answer.GetReplicas()) > 0 {
		f.replicas = usable(answer.GetReplicas())
		f.forgetGone()
	}
	f.learnLeader(address, answer)
	if answer.GetLeader() {
		f.share = max(shareInterval, time.Duration(answer.GetFollowers())*sharePerFollower)
		f.sink.UpdateOthers(answer.GetOthers(), int(answer.GetFollowers()))
	}
	if d := answer.GetDocument(); d != nil {
		if err := f.sink.Install(d); err != nil {
			f.log.Error(err, "document cannot be put in force", "number", d.GetNumber())
		}
	}
	f.learnList(address, answer)
	if len(answer.GetLoads()) > 0 {
		f.sink.UpdateLoads(answer.GetLoads())
	}
}

// forgetGone drops what is known of replicas that belong to the log no more and are no
// seeds. It is called with the lock held.
func (f *Follower) forgetGone() {
	gone := func(address string) bool {
		return !f.taken[address] && !slices.Contains(f.replicas, address) && !slices.Contains(f.asSeeds, address)
	}
	maps.DeleteFunc(f.lists, func(address string, _ *list) bool { return gone(address) })
	maps.DeleteFunc(f.heard, func(address, _ string) bool { return gone(address) })
}

// learnLeader notes who leads. A replica that was taken for the leader and is not one,
// or cannot show that it still is, is left alone like one that failed: it answers at
// once, and would keep the instance from the others. It is called with the lock held.
func (f *Follower) learnLeader(address string, answer *wire.FollowResponse) {
	if address == f.leader && (!answer.GetLeader() || !answer.GetFresh()) {
		f.leader, f.failed, f.failedAt = "", address, f.timers.Now()
	}
	if named := answer.GetLeaderAddress(); named != "" && answer.GetFresh() {
		f.leader = named
	}
}

func usable(addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// learnList is called with the lock held.
func (f *Follower) learnList(address string, answer *wire.FollowResponse) {
	if answer.GetListVersion() == 0 {
		return
	}
	l := f.lists[address]
	if l == nil {
		l = &list{}
		f.lists[address] = l
	}
	l.loads = answer.GetLoadsVersion()
	l.readAt = f.timers.Now() - time.Duration(answer.GetListAgeMs())*time.Millisecond
	if !answer.GetListChanged() {
		return
	}
	l.epoch, l.version, l.targets = answer.GetListEpoch(), answer.GetListVersion(), answer.GetTargets()
	merged := merge(f.lists)
	f.log.Info("targets", "replica", address, "age-ms", answer.GetListAgeMs(), "ready", ready(merged), "listed", len(merged))
	f.sink.UpdateTargets(merged)
}

// merge returns the newest list, in which a target is leaving when any list of
// about the same age says so.
func merge(lists map[string]*list) []*wire.Target {
	var newest *list
	for _, l := range lists {
		if newest == nil || l.readAt > newest.readAt {
			newest = l
		}
	}
	leaving := map[string]bool{}
	for _, l := range lists {
		if newest.readAt-l.readAt > listValid {
			continue
		}
		for _, t := range l.targets {
			if t.GetState() == wire.TargetState_TARGET_STATE_LEAVING {
				leaving[t.GetId()] = true
			}
		}
	}
	out := make([]*wire.Target, 0, len(newest.targets))
	for _, t := range newest.targets {
		if leaving[t.GetId()] && t.GetState() == wire.TargetState_TARGET_STATE_READY {
			t = &wire.Target{
				Id: t.GetId(), Service: t.GetService(), Address: t.GetAddress(), FailureDomain: t.GetFailureDomain(),
				Slots: t.GetSlots(), State: wire.TargetState_TARGET_STATE_LEAVING, ColdMs: t.GetColdMs(), Engine: t.GetEngine(),
			}
		}
		out = append(out, t)
	}
	return out
}

func ready(list []*wire.Target) int {
	n := 0
	for _, t := range list {
		if t.GetState() == wire.TargetState_TARGET_STATE_READY {
			n++
		}
	}
	return n
}
