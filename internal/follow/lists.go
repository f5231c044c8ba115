package follow

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/target"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// maxListLag is how much older than the newest list a list may be to be merged with
// the newest one.
const maxListLag = 5 * time.Second

// targetList is the state of the targets as one replica reported it.
type targetList struct {
	epoch        uint64
	version      uint64
	readAt       time.Duration // when the replica read the list from the platform
	targets      []*wire.Target
	loadsVersion uint64
}

// updateList stores the list of targets of a response and, if it changed, passes the
// merged lists to the sink, unless the orders for failure domains are still to be learned. It is called with the lock held.
func (f *Follower) updateList(address string, resp *wire.FollowResponse) {
	if resp.GetListVersion() == 0 {
		return
	}
	l := f.lists[address]
	if l == nil {
		l = &targetList{}
		f.lists[address] = l
	}
	l.loadsVersion = resp.GetLoadsVersion()
	l.readAt = f.timers.Now() - time.Duration(resp.GetListAgeMs())*time.Millisecond
	if !resp.GetListChanged() {
		return
	}
	l.epoch, l.version, l.targets = resp.GetListEpoch(), resp.GetListVersion(), f.checkTargets(address, resp.GetTargets())
	if f.evacuation.settled {
		f.passTargets(address, resp.GetListAgeMs())
	}
}

// passTargets passes the merged lists to the sink. It is called with the lock held.
func (f *Follower) passTargets(address string, ageMs uint64) {
	merged := mergeLists(f.lists)
	f.log.Info("targets", "replica", address, "age-ms", ageMs, "ready", countReady(merged), "listed", len(merged))
	f.sink.UpdateTargets(merged)
}

// checkTargets returns the targets of a replica's list that are usable.
func (f *Follower) checkTargets(address string, list []*wire.Target) []*wire.Target {
	usable := make([]*wire.Target, 0, len(list))
	var first error
	for _, t := range list {
		err := target.Check(t)
		switch {
		case err == nil:
			usable = append(usable, t)
		case first == nil:
			first = err
		}
	}
	if first != nil {
		f.log.Info("targets of a replica's list that are not usable", "replica", address, "targets", len(list)-len(usable), "first-reason", first.Error())
	}
	return usable
}

// mergeLists returns the newest list, in which a target is leaving if any list that is at
// most maxListLag older reports it as leaving.
func mergeLists(lists map[string]*targetList) []*wire.Target {
	var newest *targetList
	for _, l := range lists {
		if newest == nil || l.readAt > newest.readAt {
			newest = l
		}
	}
	leaving := map[target.Key]bool{}
	for _, l := range lists {
		if newest.readAt-l.readAt > maxListLag {
			continue
		}
		for _, t := range l.targets {
			if t.GetState() == wire.TargetState_TARGET_STATE_LEAVING {
				leaving[target.KeyOf(t)] = true
			}
		}
	}
	out := make([]*wire.Target, 0, len(newest.targets))
	for _, t := range newest.targets {
		if leaving[target.KeyOf(t)] && t.GetState() == wire.TargetState_TARGET_STATE_READY {
			t = &wire.Target{
				Id: t.GetId(), Service: t.GetService(), Address: t.GetAddress(), FailureDomain: t.GetFailureDomain(),
				Slots: t.GetSlots(), State: wire.TargetState_TARGET_STATE_LEAVING, ColdMs: t.GetColdMs(), Engine: t.GetEngine(),
			}
		}
		out = append(out, t)
	}
	return out
}

func countReady(list []*wire.Target) int {
	n := 0
	for _, t := range list {
		if t.GetState() == wire.TargetState_TARGET_STATE_READY {
			n++
		}
	}
	return n
}
