package follow

import "github.com/vanillaward/vanillaward/internal/wire"

// Queueing is how an instance tells others of the requests that wait at it, and hears of theirs.
type Queueing interface {
	// LocalQueued returns the requests that wait at this instance.
	LocalQueued() []*wire.Queued
	// UpdatePeersQueued replaces the sums of those that wait at other instances.
	UpdatePeersQueued(waiting []*wire.Queued)
}

// noQueueing is the queueing of an instance at which no requests wait.
type noQueueing struct{}

func (noQueueing) LocalQueued() []*wire.Queued      { return nil }
func (noQueueing) UpdatePeersQueued([]*wire.Queued) {}

// UseQueueing sets how requests wait at the instance. It must be called before Run.
func (f *Follower) UseQueueing(q Queueing) { f.queueing = q }
