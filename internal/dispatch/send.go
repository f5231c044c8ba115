package dispatch

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Send sends the requests for which the engines of a service are forecast to have capacity: it counts each at the
// engine that is chosen, and calls sent. The target is nil if there is none to wait for.
func (q *Queue) Send(b *balance.Balancer, service string, now time.Duration, sent func(*Entry, *balance.Target)) {
	q.Dispatch(now, func(e *Entry) bool {
		t, wait := b.ChooseWithRoom(service, balance.Demand{
			Rank: e.class(now), Tokens: e.Tokens, Prompt: e.Prompt, Urgent: e.Urgent || e.overdue(now), Brief: e.Brief, Missed: e.Missed(now), Overdue: e.overdue(now), Key: e.Key, Blocked: q.Blocked(),
		}, e.Avoid, now)
		if wait {
			return false
		}
		if t != nil {
			b.Begin(t, e.Tokens, now)
			b.AddPrefill(t, e.Prompt)
		}
		sent(e, t)
		return true
	})
}

// Waiting returns the requests for which there was no capacity, by rank.
func (q *Queue) Waiting(service string, now time.Duration) []*wire.Queued {
	var out []*wire.Queued
	for _, e := range q.entries {
		if e.blocked == 0 {
			continue
		}
		rank := uint32(max(0, e.class(now)))
		i := slices.IndexFunc(out, func(w *wire.Queued) bool { return w.GetRank() == rank })
		if i < 0 {
			i, out = len(out), append(out, &wire.Queued{Service: service, Rank: rank})
		}
		out[i].Requests++
		out[i].Tokens += uint32(e.Tokens)
	}
	return out
}

// class orders requests of all instances: by rank, and by whether they go after those of the same rank that can meet
// their objective.
func (e *Entry) class(now time.Duration) int {
	if e.yields(now) {
		return 2*e.RankAt(now) + 1
	}
	return 2 * e.RankAt(now)
}
