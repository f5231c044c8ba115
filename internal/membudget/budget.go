// Package membudget bounds the memory that many requests or answers hold together while each of them is read whole.
package membudget

import "sync/atomic"

// freeBytes is what each hold may have without drawing on the budget: usual answers need no more.
const freeBytes = 16 << 10

// Budget is a number of bytes that its holds share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold returns a hold without any bytes.
func (b *Budget) Hold() *Hold { return &Hold{budget: b, free: freeBytes} }

// StrictHold returns a hold without any bytes, of which all draw on the budget.
func (b *Budget) StrictHold() *Hold { return &Hold{budget: b, strict: true} }

// Hold is the part of a budget that one answer has. It is not safe for concurrent use. A nil hold
// grows without bound.
type Hold struct {
	budget *Budget
	free   int64 // bytes that are still had without drawing on the budget
	held   int64
	strict bool
}

// Grow takes a number of bytes more. It reports false, and takes none, if the budget lacks them.
func (h *Hold) Grow(bytes int) bool {
	if h == nil {
		return true
	}
	drawn := max(0, int64(bytes)-h.free)
	if h.budget.used.Add(drawn) > h.budget.limit && drawn > 0 {
		h.budget.used.Add(-drawn)
		return false
	}
	h.free -= int64(bytes) - drawn
	h.held += drawn
	return true
}

// Release gives all bytes back. The hold can grow again.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.used.Add(-h.held)
	h.held, h.free = 0, freeBytes
	if h.strict {
		h.free = 0
	}
}
