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
	version  uint64        // of the list, raised when it changes
	readAt   time.Duration // when the list was last read whole
	loads    []*wire.Load
	loadsAt  time.Duration // when the loads were read
	readings uint64        // how often the loads were read
	changed  chan struct{} // closed at the next change
}

// NewBoard returns an empty board. The epoch tells its lists from those of an
// earlier process.
func NewBoard(epoch uint64) *Board {
	return &Board{epoch: epoch, changed: make(chan struct{})}
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

// PostLoads takes the loads of the engines that this replica reads.
func (b *Board) PostLoads(loads []*wire.Load, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads, b.loadsAt = loads, now
	b.readings++
	b.wake()
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
		if answer.GetDocument() != nil || answer.GetListChanged() || len(answer.GetLoads()) > 0 {
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
		answer.Loads = aged(b.loads, now-b.loadsAt)
	}
	return answer, b.changed
}

// aged returns the loads with their age.
func aged(loads []*wire.Load, age time.Duration) []*wire.Load {
	out := make([]*wire.Load, len(loads))
	for i, l := range loads {
		out[i] = proto.CloneOf(l)
		out[i].AgeMs += uint32(max(0, age).Milliseconds())
	}
	return out
}
