// Package dispatch holds the generations of a service that wait at an instance until an engine has capacity
// for them: in which order they are offered the capacity that there is, how long one is likely to wait, and
// which cannot begin before their deadline. It uses neither clocks nor sockets.
package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/fairshare"
)

const (
	// agingSteps is the number of equal steps over its time limit in which a request gains a rank, or a part of its
	// rank where that is more, so that requests of any rank begin although more urgent ones keep arriving.
	agingSteps = 4
	// overdueDivisor divides a request's time limit; one that has waited for the quotient no longer goes after
	// those that can still meet their objective.
	overdueDivisor = 2
	// promptTime is the time that an engine with other requests takes for a token of a prompt. An engine of a demanding
	// load processes 14 in a millisecond, a slow one 10, and what is before it delays it.
	promptTime = time.Millisecond / 8
	// overtakeTime is how long smaller requests of the same rank may go before one for which there was no
	// capacity. After that they wait too, so that capacity for the larger one can become free.
	overtakeTime = 300 * time.Millisecond
)

// Request is a generation that is to be sent to an engine.
type Request struct {
	Organisation string
	// Rank orders requests; lower ranks go first, 0 before all others.
	Rank int
	// Tokens is the memory that it needs, and Prompt the part that the engine processes before the first event.
	Tokens, Prompt int
	// Urgent is true for requests of the most urgent of several ranks, and Brief for those with little output.
	Urgent, Brief bool
	// Key is a random number.
	Key uint64
	// Avoid holds the targets that it is not to be sent to.
	Avoid []string
	// Again is true for a request that has been sent to a target before; it goes before new ones.
	Again bool
	// Arrived is when the caller's request arrived, Objective by when its first event is due, and Deadline by when it
	// must begin.
	Arrived, Objective, Deadline time.Duration
}

// Entry is a request in a queue.
type Entry struct {
	Request
	number  uint64        // of the order of arrival in the queue
	blocked time.Duration // since when there is no capacity for it; 0 if it has not been offered any
	queued  bool
	// heldBack is true once it was not offered capacity because of those before it.
	heldBack bool
}

// Why tells why the request has waited: empty if it has not.
func (e *Entry) Why() string {
	switch {
	case e.blocked > 0:
		return "no-capacity"
	case e.heldBack:
		return "order" // others before it found no capacity
	}
	return ""
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	entries []*Entry
	added   uint64
	shares  fairshare.Shares
	rate    rate
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Blocked returns the number of requests that were offered capacity when there was none for them.
func (q *Queue) Blocked() int {
	n := 0
	for _, e := range q.entries {
		if e.blocked > 0 {
			n++
		}
	}
	return n
}

// Add adds a request.
func (q *Queue) Add(r Request) *Entry {
	q.added++
	e := &Entry{Request: r, number: q.added, queued: true}
	if !slices.ContainsFunc(q.entries, func(o *Entry) bool { return o.Organisation == r.Organisation }) {
		q.shares.Join(r.Organisation)
	}
	q.entries = append(q.entries, e)
	return e
}

// Remove removes a request that is not to be sent any more. It does nothing for one that is not queued.
func (q *Queue) Remove(e *Entry) {
	if !e.queued {
		return
	}
	e.queued = false
	q.entries = slices.DeleteFunc(q.entries, func(o *Entry) bool { return o == e })
	if len(q.entries) == 0 {
		q.shares.ForgetIdle()
	}
}

// Dispatch offers capacity to the requests in their order. Place reports whether a request was sent; it is then
// no longer queued. A request for which there is no capacity holds back those of less urgent ranks, and after
// overtakeTime those of its own.
func (q *Queue) Dispatch(now time.Duration, place func(*Entry) bool) {
	q.rate.observe(now)
	defer func() { q.rate.waits(now, len(q.entries) > 0) }()
	var held *Entry // the first request without capacity
	for tried := map[*Entry]bool{}; ; {
		e := q.next(now, tried)
		if e == nil {
			return
		}
		if held != nil && !e.mayOvertake(held, now) {
			e.heldBack = true
			return
		}
		tried[e] = true
		if place(e) {
			q.rate.add(e.Tokens)
			q.shares.Charge(e.Organisation, float64(e.Tokens))
			q.Remove(e)
			continue
		}
		if e.blocked == 0 {
			e.blocked = now
		}
		if held == nil && !e.Again { // one that is sent again may avoid engines that others can use
			held = e
		}
	}
}

// mayOvertake reports whether a request may be sent before one for which there is no capacity.
func (e *Entry) mayOvertake(held *Entry, now time.Duration) bool {
	return e.Rank == held.Rank && e.Tokens < held.Tokens && now-held.blocked < overtakeTime
}

// next returns the first of the requests that are not among the tried ones, nil without one.
func (q *Queue) next(now time.Duration, tried map[*Entry]bool) *Entry {
	var first *Entry
	for _, e := range q.entries {
		if !tried[e] && (first == nil || q.before(e, first, now)) {
			first = e
		}
	}
	return first
}

// before reports whether a request goes before another one.
func (q *Queue) before(a, b *Entry, now time.Duration) bool {
	if a.Again != b.Again {
		return a.Again
	}
	return cmp.Or(
		cmp.Compare(a.RankAt(now), b.RankAt(now)),
		compareBool(a.yields(now), b.yields(now)),
		cmp.Compare(q.shares.Tag(a.Organisation), q.shares.Tag(b.Organisation)),
		cmp.Compare(a.Arrived, b.Arrived),
		cmp.Compare(a.number, b.number),
	) < 0
}

// RankAt returns the request's rank, which is the more urgent the longer it has waited.
func (e *Entry) RankAt(now time.Duration) int {
	limit := e.Deadline - e.Arrived
	if limit <= 0 {
		return e.Rank
	}
	steps := min(agingSteps, int(agingSteps*(now-e.Arrived)/limit))
	return max(0, min(e.Rank-steps, e.Rank*(agingSteps-steps)/agingSteps))
}

// yields reports whether the request goes after those that can meet their objective.
func (e *Entry) yields(now time.Duration) bool {
	return e.Missed(now) && !e.overdue(now)
}

// Missed reports whether the request can no longer meet its objective, since its prompt has to be processed first.
func (e *Entry) Missed(now time.Duration) bool {
	return now+time.Duration(e.Prompt)*promptTime > e.Objective
}

// overdue reports whether the request has waited for half of its time limit.
func (e *Entry) overdue(now time.Duration) bool {
	return now-e.Arrived >= (e.Deadline-e.Arrived)/overdueDivisor
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Wait returns how long it is likely to take until a queued request can begin, and false if that is not known.
func (q *Queue) Wait(e *Entry, now time.Duration) (time.Duration, bool) {
	perSecond, known := q.rate.perSecond(now)
	if !known {
		return 0, false
	}
	ahead := e.Tokens
	for _, o := range q.entries {
		if o != e && q.before(o, e, now) {
			ahead += o.Tokens
		}
	}
	seconds := float64(ahead) / perSecond
	if seconds > math.MaxInt32 {
		return math.MaxInt32 * time.Second, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// InTime reports whether a queued request can begin before its deadline, as far as is known, and how long it is
// likely to wait.
func (q *Queue) InTime(e *Entry, now time.Duration) (bool, time.Duration) {
	wait, known := q.Wait(e, now)
	shortest := time.Duration(float64(wait) / q.rate.uncertainty())
	late := known && q.rate.foretells(now, e.Deadline-now) && now+shortest > e.Deadline
	return now < e.Deadline && !late, wait
}
