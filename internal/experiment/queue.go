package experiment

import (
	"slices"
	"time"
)

// event is an action that is scheduled for a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue implements heap.Interface, ordered by time and then by the order of
// scheduling.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(*event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func sortByID(s []*requestState) {
	slices.SortFunc(s, func(a, b *requestState) int { return int(a.id) - int(b.id) })
}
