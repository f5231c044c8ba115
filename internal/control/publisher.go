package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Publisher holds what a replica publishes to the instances that follow it: the
// configuration document in force, the platform's list of targets and the engines'
// reports. It is safe for concurrent use.
type Publisher struct {
	epoch uint64

	mu           sync.Mutex // guards the rest; never held while another lock is taken
	document     *wire.Document
	targets      []*wire.Target
	version      uint64                // version of the list, incremented when the list changes
	readAt       time.Duration         // when the complete list was last read
	loads        map[string]loadReport // by engine ID
	loadsVersion uint64                // incremented by each call of PublishLoads
	changed      chan struct{}         // closed and replaced at the next change
}

// NewPublisher returns an empty board. The epoch distinguishes its list versions from
// those of an earlier process.
func NewPublisher(epoch uint64) *Publisher {
	return &Publisher{epoch: epoch, loads: map[string]loadReport{}, changed: make(chan struct{})}
}

// PublishDocument publishes a document unless one with the same or a higher number
// is held.
func (b *Publisher) PublishDocument(d *wire.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.GetNumber() <= b.document.GetNumber() {
		return
	}
	b.document = d
	b.notifyFollowers()
}

// PublishTargets publishes a complete reading of the list of targets. Changed reports
// whether it differs from the previous reading.
func (b *Publisher) PublishTargets(targets []*wire.Target, changed bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAt = now
	if !changed && b.version > 0 {
		return
	}
	b.targets = targets
	b.version++
	b.notifyFollowers()
}

// loadReport is an engine's report and the time at which it was read.
type loadReport struct {
	load *wire.Load
	at   time.Duration
}

// loadTTL is the age at which a report is no longer published.
const loadTTL = 5 * time.Second

// PublishLoads publishes reports of engines. It does not notify followers: reports change
// constantly, and instances poll often enough.
func (b *Publisher) PublishLoads(loads []*wire.Load, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond
		if old, ok := b.loads[l.GetTarget()]; !ok || at > old.at {
			b.loads[l.GetTarget()] = loadReport{load: l, at: at}
		}
	}
	for id, r := range b.loads {
		if now-r.at > loadTTL {
			delete(b.loads, id)
		}
	}
	b.loadsVersion++
}

// Targets returns the latest published list of targets.
func (b *Publisher) Targets() []*wire.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// notifyFollowers ends the waits of Await. It is called with the lock held.
func (b *Publisher) notifyFollowers() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Await returns the updates that a follower lacks. If there is no new document or
// list, it waits for one at most the given time. Now is called again after the wait.
func (b *Publisher) Await(ctx context.Context, r *wire.FollowRequest, wait time.Duration, now func() time.Duration) *wire.FollowResponse {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		answer, changed := b.updatesFor(r, now())
		if answer.GetDocument() != nil || answer.GetListChanged() {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer, _ = b.updatesFor(r, now())
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// updatesFor returns the updates that a follower lacks, and a channel that is closed
// at the next change.
func (b *Publisher) updatesFor(r *wire.FollowRequest, now time.Duration) (*wire.FollowResponse, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := &wire.FollowResponse{ListEpoch: b.epoch, ListVersion: b.version}
	if b.document.GetNumber() > r.GetDocument() {
		answer.Document = b.document
	}
	if b.version > 0 {
		answer.ListAgeMs = uint64((now - b.readAt).Milliseconds())
		if r.GetListEpoch() != b.epoch || r.GetListVersion() != b.version {
			answer.ListChanged, answer.Targets = true, b.targets
		}
	}
	answer.LoadsVersion = b.loadsVersion
	if r.GetListEpoch() != b.epoch || r.GetLoadsVersion() != b.loadsVersion {
		answer.Loads = b.currentLoads(now)
	}
	return answer, b.changed
}

// currentLoads returns the loads with their present age. It is called with the lock held.
func (b *Publisher) currentLoads(now time.Duration) []*wire.Load {
	out := make([]*wire.Load, 0, len(b.loads))
	for _, r := range b.loads {
		l := proto.CloneOf(r.load)
		l.AgeMs = uint32(max(0, now-r.at).Milliseconds())
		out = append(out, l)
	}
	return out
}
