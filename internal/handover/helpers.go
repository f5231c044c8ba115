package handover

import (
	"slices"
	"time"
)

const (
	// MaxTries is the number of instances that one request is handed over to, one after another.
	MaxTries = 3
	// unreachableFor is how long an instance that could not be reached, or did not answer, is not
	// asked, and declinedFor one that declined.
	unreachableFor = time.Second
	declinedFor    = 250 * time.Millisecond
	// maxTimeouts is the number of requests in a row that time out at a helper before it is taken for lost.
	maxTimeouts = 2
	// askInterval is how often helpers are asked for while there is no use for them, and
	// urgentAskInterval while there is.
	askInterval       = 10 * time.Second
	urgentAskInterval = 250 * time.Millisecond
)

// End is how the attempt to hand a request over ended.
type End int

// Ends.
const (
	// Served means that the helper gave the answer for the caller.
	Served End = iota
	// Refused means that the helper declined.
	Refused
	// NotReached means that no connection to the helper could be made.
	NotReached
	// Broken means that the helper gave no answer.
	Broken
	// TimedOut means that the request's time was over before the helper had answered: it may be lost,
	// or its target is slow.
	TimedOut
	// CutOff means that the answer broke off, as it does when the target is lost.
	CutOff
	// Abandoned means that the caller has left.
	Abandoned
)

// Taken reports whether the request may have reached a target, so that no other instance may be asked.
func (e End) Taken() bool { return e != Refused && e != NotReached }

// String returns the end's name in logs and metrics.
func (e End) String() string {
	return [...]string{"served", "refused", "not-reached", "broken", "timed-out", "cut-off", "abandoned"}[e]
}

// Helpers are the instances that an instance may hand requests over to. It is not safe for
// concurrent use.
type Helpers struct {
	list    []*helper
	updated time.Duration
	turn    int // of the helpers that are equally good
}

type helper struct {
	address    string
	open       int // requests that were handed over to it
	timeouts   int // in a row
	avoidUntil time.Duration
}

// Update replaces the list of helpers by those at the given addresses.
func (h *Helpers) Update(addresses []string, now time.Duration) {
	next := make([]*helper, 0, len(addresses))
	for _, address := range addresses {
		known := h.find(address)
		if known == nil {
			known = &helper{address: address}
		}
		next = append(next, known)
	}
	h.list, h.updated = next, now
}

// Outdated reports whether the list should be asked for again. It changes fast while it is used.
func (h *Helpers) Outdated(used bool, now time.Duration) bool {
	interval := askInterval
	if used {
		interval = urgentAskInterval
	}
	return len(h.list) == 0 || now-h.updated >= interval
}

// Begin chooses the helper with the fewest requests of this instance among those that are not to be
// avoided, counts a request there and returns its address. It reports false if there is none.
func (h *Helpers) Begin(tried []string, now time.Duration) (string, bool) {
	var best *helper
	h.turn++
	for i := range h.list {
		c := h.list[(i+h.turn)%len(h.list)]
		if now < c.avoidUntil || slices.Contains(tried, c.address) {
			continue
		}
		if best == nil || c.open < best.open {
			best = c
		}
	}
	if best == nil {
		return "", false
	}
	best.open++
	return best.address, true
}

// End records how a request ended that Begin counted.
func (h *Helpers) End(address string, end End, now time.Duration) {
	c := h.find(address)
	if c == nil {
		return // it is no longer among the helpers
	}
	c.open = max(0, c.open-1) // the helper may have left the list and come back
	switch end {
	case NotReached, Broken:
		c.avoidUntil = now + unreachableFor
	case TimedOut:
		if c.timeouts++; c.timeouts >= maxTimeouts {
			c.avoidUntil = now + unreachableFor
		}
		return
	case Refused:
		c.avoidUntil = now + declinedFor
	case Abandoned:
		return
	case Served, CutOff:
	}
	c.timeouts = 0
}

func (h *Helpers) find(address string) *helper {
	i := slices.IndexFunc(h.list, func(c *helper) bool { return c.address == address })
	if i < 0 {
		return nil
	}
	return h.list[i]
}
