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
	epoch   uint64
	archive archive

	mu           sync.Mutex // guards the rest; taken before the archive's lock
	document     *wire.Document
	targets      []*wire.Target
	changes      listChanges
	version      uint64                 // version of the list of targets, incremented when the list changes
	readAt       time.Duration          // when the complete list of targets was last read
	loads        map[string]*loadReport // by engine ID
	loadsVersion uint64                 // incremented by each call of PublishLoads
	evacuation   uint64                 // index of the last change of the evacuated failure domains
	changed      chan struct{}          // closed and replaced at the next change
}

// NewPublisher returns a publisher without any contents. The epoch distinguishes its
// versions of the list of targets from those of an earlier process.
func NewPublisher(epoch uint64) *Publisher {
	return &Publisher{epoch: epoch, loads: map[string]*loadReport{}, changed: make(chan struct{})}
}

// PublishDocument publishes a document unless one with the same or a higher number
// is held.
func (p *Publisher) PublishDocument(d *wire.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.GetNumber() <= p.document.GetNumber() {
		return
	}
	p.archive.add(d)
	p.document = d
	p.notifyFollowers()
}

// PublishEvacuation ends the waits of followers that hold orders for failure domains of a lower index. The
// orders are not published here: an answer takes them from the state that it describes.
func (p *Publisher) PublishEvacuation(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.evacuation {
		return
	}
	p.evacuation = index
	p.notifyFollowers()
}

// evacuationAfter reports whether a follower that knows orders for failure domains lacks the newest.
func (p *Publisher) evacuationAfter(r *wire.FollowRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.EvacuationIndex != nil && p.evacuation > r.GetEvacuationIndex()
}

// evacuationIndex returns the index of the last change of the evacuated failure domains.
func (p *Publisher) evacuationIndex() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuation
}

// Fetch returns a piece of the transfer of a document.
func (p *Publisher) Fetch(r *wire.FetchRequest) (*wire.FetchResponse, error) {
	return p.archive.piece(r)
}

// PublishTargets publishes a complete reading of the list of targets. Changed reports
// whether it differs from the previous reading.
func (p *Publisher) PublishTargets(targets []*wire.Target, changed bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, _ := p.changes.update(targets, p.version+1, (now - p.readAt).Milliseconds())
	p.targets, p.readAt = targets, now
	if !changed && count == 0 && p.version > 0 {
		return
	}
	p.version++
	p.notifyFollowers()
}

// loadReport is an engine's report and the time at which it was read.
type loadReport struct {
	load *wire.Load
	at   time.Duration
	// told is the last report that differed from the one told before, or that came toldAgain later,
	// with its time and its version.
	told    *wire.Load
	toldAt  time.Duration
	version uint64
	// copied is a copy of the report with its age at the time copiedAt.
	copied   *wire.Load
	copiedAt time.Duration
}

// loadTTL is the age beyond which PublishLoads discards a report.
const loadTTL = 5 * time.Second

// PublishLoads publishes reports of engines. It does not notify followers: reports change
// constantly, and instances poll often enough.
func (p *Publisher) PublishLoads(loads []*wire.Load, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range loads {
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond
		if old := p.loads[l.GetTarget()]; old == nil || at > old.at {
			p.loads[l.GetTarget()] = old.next(l, at, p.loadsVersion+1)
		}
	}
	for id, r := range p.loads {
		if now-r.at > loadTTL {
			delete(p.loads, id)
		}
	}
	p.loadsVersion++
}

// Targets returns the latest published list of targets.
func (p *Publisher) Targets() []*wire.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets
}

// notifyFollowers ends the waits of Await. It is called with the lock held.
func (p *Publisher) notifyFollowers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Await returns the updates that a follower lacks. If there is no new document, list
// or order for a failure domain, it waits for one at most the given time. Now is called before and after the
// wait, for the ages in the response.
func (p *Publisher) Await(ctx context.Context, r *wire.FollowRequest, wait time.Duration, now func() time.Duration) *wire.FollowResponse {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		answer, changed := p.updatesFor(r, now())
		unheard := r.GetFetchesDocuments() && answer.GetDocumentNumber() > r.GetDocumentHeard()
		if unheard || answer.GetDocument() != nil || answer.GetListChanged() || p.evacuationAfter(r) {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer, _ = p.updatesFor(r, now())
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// updatesFor returns the updates that a follower lacks, and a channel that is closed
// at the next change.
func (p *Publisher) updatesFor(r *wire.FollowRequest, now time.Duration) (*wire.FollowResponse, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := &wire.FollowResponse{ListEpoch: p.epoch, ListVersion: p.version, DocumentNumber: p.document.GetNumber()}
	if p.document.GetNumber() > r.GetDocument() && !r.GetFetchesDocuments() {
		answer.Document = p.document
	}
	if p.version > 0 {
		answer.ListAgeMs = uint64((now - p.readAt).Milliseconds())
		if r.GetListEpoch() != p.epoch || r.GetListVersion() != p.version {
			p.addList(r, answer)
		}
	}
	answer.LoadsVersion = p.loadsVersion
	if !choosesLoads(r) && (r.GetListEpoch() != p.epoch || r.GetLoadsVersion() != p.loadsVersion) {
		answer.Loads = p.currentLoads(now)
	}
	return answer, p.changed
}

// addList adds the list that a follower lacks: what changed since the one that it has, the whole list
// compressed, or as it is for a follower of an earlier build. It is called with the lock held.
func (p *Publisher) addList(r *wire.FollowRequest, answer *wire.FollowResponse) {
	answer.ListChanged = true
	if !r.GetTakesChanges() {
		answer.Targets = p.targets
		return
	}
	if r.GetListEpoch() == p.epoch && r.GetListVersion() > 0 {
		if a := p.changes.since(r.GetListVersion(), p.version); a != nil {
			answer.ChangesSince, answer.Targets, answer.Removed = r.GetListVersion(), a.changed, a.removed
			return
		}
	}
	if base, a := p.changes.compressed(p.targets, p.version); base != nil {
		answer.CompressedList, answer.Targets, answer.Removed = base.data, a.changed, a.removed
		return
	}
	answer.Targets = p.targets
}

// currentLoads returns the loads with their present age. It is called with the lock held.
func (p *Publisher) currentLoads(now time.Duration) []*wire.Load {
	out := make([]*wire.Load, 0, len(p.loads))
	for _, r := range p.loads {
		l := proto.CloneOf(r.load)
		l.AgeMs = uint32(max(0, now-r.at).Milliseconds())
		out = append(out, l)
	}
	return out
}
