package balance

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// queuedValid is the age up to which what was heard of requests that wait at other instances is used.
const queuedValid = time.Second

// peersQueued is what waits at other instances.
type peersQueued struct {
	at       time.Duration
	known    bool
	services map[string][]*wire.Queued
}

// UpdatePeersQueued replaces the sums of the requests that wait at other instances.
func (b *Balancer) UpdatePeersQueued(waiting []*wire.Queued, now time.Duration) {
	b.queued = peersQueued{at: now, known: true, services: map[string][]*wire.Queued{}}
	for _, w := range waiting {
		b.queued.services[w.GetService()] = append(b.queued.services[w.GetService()], w)
	}
}

// valid reports whether it is known what waits at other instances.
func (q *peersQueued) valid(now time.Duration) bool { return q.known && now-q.at <= queuedValid }

// before returns the number of requests that wait at other instances at a rank or a more urgent one, and the memory
// that those of a more urgent one need.
func (q *peersQueued) before(service string, rank int) (requests, tokens int) {
	for _, w := range q.services[service] {
		if int(w.GetRank()) <= rank {
			requests += int(w.GetRequests())
		}
		if int(w.GetRank()) < rank {
			tokens += int(w.GetTokens())
		}
	}
	return requests, tokens
}
