package dispatch

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/balance"
)

// Send sends the requests for which the engines of a service are forecast to have capacity: it counts each at the
// engine that is chosen, and calls sent. The target is nil if there is none to wait for.
func (q *Queue) Send(b *balance.Balancer, service string, now time.Duration, sent func(*Entry, *balance.Target)) {
	q.Dispatch(now, func(e *Entry) bool {
		t, wait := b.ChooseWithRoom(service, balance.Demand{
			Tokens: e.Tokens, Prompt: e.Prompt, Urgent: e.Urgent || e.overdue(now), Overdue: e.overdue(now), Key: e.Key, Blocked: q.Blocked(),
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
