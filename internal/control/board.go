package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Board holds what a replica hands to the instances that follow it: the document
// in force and the platform's list of targets. It is safe for concurrent use.
type Board struct {
	epoch uint64

	mu       sync.Mutex // guards the rest; never held while another lock is taken
	document *wire.Document
	targets  []*wire.Target
	version  uint64             // of the list, raised when it changes
	readAt   time.Duration      // when the list was last read whole
	loads    map[string]reading // by engine
	readings uint64             // how often loads were posted
	changed  chan struct{}      // closed at the next change
}

// NewBoard returns an empty board. The epoch tells its lists from those of an
// earlier process.
func NewBoard(epoch uint64) *Board {
	return &Board{epoch: epoch, loads: map[string]reading{}, changed: make(chan struct{})}
}

// Post takes a document unless a higher one is held.
func (b *Board) Post(d *wire.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.GetNumber() <= b.document.GetNumber() {
		return
	}
	b.document = d
	b.wake()
}

// PostList takes a whole reading of the list. Changed tells whether it differs
// from the one before.
func (b *Board) PostList(targets []*wire.Target, changed bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAt = now
	if !changed && b.version > 0 {
		return
	}
	b.targets = targets
	b.version++
	b.wake()
}

// reading is an engine's report and when it was read.
type reading struct {
	load *wire.Load
	at   time.Duration
}

// loadValid is how long a report is handed on.
const loadValid = 5 * time.Second

// PostLoads takes reports of engines. Nobody is woken for them: they change all the
// time, and the instances ask often enough.
func (b *Board) PostLoads(loads []*wire.Load, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range loads {
		at := now - time.Duration(l.GetAgeMs())*time.Millisecond
		if old, ok := b.loads[l.GetTarget()]; !ok || at > old.at {
			b.loads[l.GetTarget()] = reading{load: l, at: at}
		}
	}
	for id, r := range b.loads {
		if now-r.at > loadValid {
			delete(b.loads, id)
		}
	}
	b.readings++
}

// Targets returns the list that was posted last.
func (b *Board) Targets() []*wire.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// wake is called with the lock held.
func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Await returns what a follower lacks, waiting for it at most the given time.
// Now is read again after the wait.
func (b *Board) Await(ctx context.Context, r *wire.FollowRequest, wait time.Duration, now func() time.Duration) *wire.FollowResponse {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		answer, changed := b.missing(r, now())
		if answer.GetDocument() != nil || answer.GetListChanged() {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer, _ = b.missing(r, now())
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

func (b *Board) missing(r *wire.FollowRequest, now time.Duration) (*wire.FollowResponse, <-chan struct{}) {
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
	answer.LoadsVersion = b.readings
	if r.GetListEpoch() != b.epoch || r.GetLoadsVersion() != b.readings {
		answer.Loads = b.aged(now)
	}
	return answer, b.changed
}

// aged returns the loads with their age. It is called with the lock held.
func (b *Board) aged(now time.Duration) []*wire.Load {
	out := make([]*wire.Load, 0, len(b.loads))
	for _, r := range b.loads {
		l := proto.CloneOf(r.load)
		l.AgeMs = uint32(max(0, now-r.at).Milliseconds())
		out = append(out, l)
	}
	return out
}
