package follow

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// unsettledWait is how long a replica may hold a long poll open until this instance has learned the
	// orders for failure domains: a replica that becomes current does not end the poll.
	unsettledWait = 100 * time.Millisecond
	// settleTimeout is the time from the first response after which an instance uses the list of targets
	// although no replica is current. It is longer than the replicas are expected to be without a leader
	// (7 s), and bounds how long the loss of their majority keeps an instance from starting.
	settleTimeout = 8 * time.Second
	// settleEarly is that time if a replica has responded that has lost its leader a few seconds ago: what it
	// knows is what the running instances that are cut off with it know. It also holds while all replicas that
	// have responded are of a build that does not know such orders. Another replica may know more.
	settleEarly = time.Second
	// enoughStored is the number of replicas with a configuration on their disks that are believed while none has a
	// leader, as after a restart of everything: waiting for the leader took all instances out of service for a second or
	// more. An order that none of them has is learned from the leader.
	enoughStored = 2
)

// evacuation is what an instance knows of the orders for failure domains.
type evacuation struct {
	index uint64 // of the last record that changed them
	// settled is set once the orders are known that were acknowledged before this instance started. No list
	// of targets is passed on before.
	settled bool
	heard   bool          // a replica has responded
	firstAt time.Duration // when the first one did
	known   bool          // a replica that knows such orders has responded
	// stored holds the replicas without a leader that have responded with what they have on their disks.
	stored map[string]bool
	cutOff bool // one that was current a few seconds ago has
}

// updateEvacuation passes the orders of a response to the sink if they are newer than those held, of
// whichever replica these are: the state of the highest index is the newest. It is called with the lock held.
func (f *Follower) updateEvacuation(address string, resp *wire.FollowResponse) {
	e := &f.evacuation
	if resp.GetEvacuationIndex() > e.index {
		e.index = resp.GetEvacuationIndex()
		f.sink.UpdateEvacuation(e.index, domainOrders(resp.GetEvacuated()))
	}
	if e.settled || !e.settles(address, resp, f.timers.Now()) {
		return
	}
	e.settled = true
	f.log.Info("orders for failure domains known", "replica", address, "index", e.index, "view", resp.GetEvacuationView().String(),
		"after-ms", (f.timers.Now() - e.firstAt).Milliseconds())
	if len(f.lists) > 0 {
		f.passOn(address, resp)
	}
}

// settles reports whether, with a response, the orders are known as well as they can be.
func (e *evacuation) settles(address string, resp *wire.FollowResponse, now time.Duration) bool {
	if !e.heard {
		e.heard, e.firstAt = true, now
	}
	view := resp.GetEvacuationView()
	e.known = e.known || view != wire.EvacuationView_EVACUATION_VIEW_UNSPECIFIED
	e.cutOff = e.cutOff || view == wire.EvacuationView_EVACUATION_VIEW_CUT_OFF
	if resp.GetDocumentNumber() > 0 && view != wire.EvacuationView_EVACUATION_VIEW_UNSPECIFIED {
		if e.stored == nil {
			e.stored = map[string]bool{}
		}
		e.stored[address] = true
	}
	waited := now - e.firstAt
	if len(e.stored) >= enoughStored || len(e.stored) > 0 && waited >= settleEarly {
		return true
	}
	return view == wire.EvacuationView_EVACUATION_VIEW_CURRENT || waited >= settleTimeout || (e.cutOff || !e.known) && waited >= settleEarly
}

// domainOrders returns the orders that are for failure domains.
func domainOrders(orders []*wire.OrderStep) []*wire.OrderStep {
	var out []*wire.OrderStep
	for _, o := range orders {
		if control.DomainOf(o) != "" {
			out = append(out, o)
		}
	}
	return out
}
