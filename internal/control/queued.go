package control

import (
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// queued holds the requests that wait at each instance, so that an instance knows of the more urgent ones of others.
// It maintains the sums over all instances. It is safe for concurrent use.
type queued struct {
	mu         sync.Mutex // guards the rest; never held while another lock is taken
	byInstance map[string]instanceQueued
	totals     map[queuedKey]*queuedTotal
	lastExpiry time.Duration
}

// instanceQueued is the last report of an instance.
type instanceQueued struct {
	at      time.Duration
	waiting []*wire.Queued
}

type queuedKey struct {
	service string
	rank    uint32
}

type queuedTotal struct{ requests, tokens uint32 }

func newQueued() *queued {
	return &queued{byInstance: map[string]instanceQueued{}, totals: map[queuedKey]*queuedTotal{}}
}

// update replaces what waits at an instance.
func (q *queued) update(instance string, waiting []*wire.Queued, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.subtract(instance)
	if len(waiting) == 0 {
		return
	}
	q.byInstance[instance] = instanceQueued{at: now, waiting: waiting}
	for _, w := range waiting {
		key := queuedKey{w.GetService(), w.GetRank()}
		if q.totals[key] == nil {
			q.totals[key] = &queuedTotal{}
		}
		q.totals[key].requests += w.GetRequests()
		q.totals[key].tokens += w.GetTokens()
	}
}

// subtract removes what waits at an instance from the sums. It is called with the lock held.
func (q *queued) subtract(instance string) {
	for _, w := range q.byInstance[instance].waiting {
		key := queuedKey{w.GetService(), w.GetRank()}
		t := q.totals[key]
		if t == nil { // an entry that states nothing
			continue
		}
		t.requests -= w.GetRequests()
		t.tokens -= w.GetTokens()
		if t.requests == 0 && t.tokens == 0 {
			delete(q.totals, key)
		}
	}
	delete(q.byInstance, instance)
}

// sumsExcluding returns what waits at all instances except one. Instances that have not reported within useTTL are
// forgotten.
func (q *queued) sumsExcluding(except string, now time.Duration) []*wire.Queued {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now-q.lastExpiry >= expiryInterval {
		q.lastExpiry = now
		for instance, report := range q.byInstance {
			if now-report.at > useTTL {
				q.subtract(instance)
			}
		}
	}
	own := map[queuedKey]queuedTotal{}
	for _, w := range q.byInstance[except].waiting {
		key := queuedKey{w.GetService(), w.GetRank()}
		own[key] = queuedTotal{requests: own[key].requests + w.GetRequests(), tokens: own[key].tokens + w.GetTokens()}
	}
	var out []*wire.Queued
	for key, t := range q.totals {
		if requests := t.requests - own[key].requests; requests > 0 {
			out = append(out, &wire.Queued{Service: key.service, Rank: key.rank, Requests: requests, Tokens: t.tokens - own[key].tokens})
		}
	}
	return out
}
