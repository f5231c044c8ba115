package follow

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/difference"
	"github.com/vanillaward/vanillaward/internal/peer"
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
	warmAt       time.Duration // the reading that the warm-up times of the targets refer to
	targets      []*wire.Target
	loadsVersion uint64
}

// updateList stores the list of targets of a response and, if the merged lists changed, passes them to the
// sink. It is called with the lock held.
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
	if err := f.applyList(address, l, resp); err != nil {
		f.log.Info("list of targets cannot be applied; the whole one is requested", "replica", address, "reason", err.Error())
		l.epoch, l.version, l.targets = 0, 0, nil
		return
	}
	merged := mergeLists(f.lists)
	if f.merged.holds(merged, f.timers.Now()) {
		return
	}
	f.merged = mergedList{targets: merged, at: f.timers.Now()}
	f.log.Info("targets", "replica", address, "age-ms", resp.GetListAgeMs(), "ready", countReady(merged), "listed", len(merged))
	f.sink.UpdateTargets(merged)
}

// applyList replaces a replica's list by that of a response, which may hold the changes only.
func (f *Follower) applyList(address string, l *targetList, resp *wire.FollowResponse) error {
	changed := f.checkTargets(address, resp.GetTargets())
	before := l.targets
	switch {
	case resp.GetChangesSince() > 0:
		if l.epoch != resp.GetListEpoch() || l.version != resp.GetChangesSince() {
			return errors.Wrapf(errListBase, "version %d is held, and the changes are to %d", l.version, resp.GetChangesSince())
		}
	case len(resp.GetCompressedList()) > 0:
		list, err := decompressList(resp.GetCompressedList())
		if err != nil {
			return err
		}
		before = f.checkTargets(address, list)
		l.warmAt = l.readAt
	default:
		before = nil
	}
	if len(before) > 0 {
		warmed(before, l.readAt-l.warmAt)
		changed = replaceTargets(before, changed, resp)
	}
	l.epoch, l.version, l.targets, l.warmAt = resp.GetListEpoch(), resp.GetListVersion(), changed, l.readAt
	return nil
}

// errListBase is returned for changes to another list than the one that is held.
var errListBase = errors.New("changes to another list")

// replaceTargets returns a list in which the usable entries of a response take the place of all entries of their
// keys.
func replaceTargets(before, usable []*wire.Target, resp *wire.FollowResponse) []*wire.Target {
	replaced := make(map[target.Key]bool, len(resp.GetTargets())+len(resp.GetRemoved()))
	for _, t := range resp.GetTargets() {
		replaced[target.KeyOf(t)] = true
	}
	for _, k := range resp.GetRemoved() {
		replaced[target.NewKey(k.GetId(), k.GetAddress(), k.GetService())] = true
	}
	out := make([]*wire.Target, 0, len(before)+len(usable))
	for _, t := range before {
		if !replaced[target.KeyOf(t)] {
			out = append(out, t)
		}
	}
	return append(out, usable...)
}

func decompressList(data []byte) ([]*wire.Target, error) {
	data, err := difference.Apply(nil, data, peer.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	list := &wire.Targets{}
	if err := proto.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "malformed list")
	}
	return list.GetTargets(), nil
}

// warmed reduces the warm-up times of a list by the time since they were read.
func warmed(list []*wire.Target, later time.Duration) {
	ms := later.Milliseconds()
	if ms <= 0 {
		return
	}
	for i, t := range list {
		if t.GetColdMs() > 0 {
			list[i] = proto.CloneOf(t)
			list[i].ColdMs = uint32(max(0, int64(t.GetColdMs())-ms))
		}
	}
}

// mergedList is the list that the sink has, and since when.
type mergedList struct {
	targets []*wire.Target
	at      time.Duration
}

// coldTolerance is the difference of the ends of a target's warm-up time that makes no difference.
const coldTolerance = 300 * time.Millisecond

// holds reports whether the sink has a list already: most changes are reported by several replicas.
func (m mergedList) holds(list []*wire.Target, now time.Duration) bool {
	if m.targets == nil || len(list) != len(m.targets) {
		return false
	}
	known := make(map[target.Key]*wire.Target, len(list))
	for _, t := range m.targets {
		known[target.KeyOf(t)] = t
	}
	if len(known) != len(list) {
		return false // an odd list
	}
	later := (now - m.at).Milliseconds()
	for _, t := range list {
		k := known[target.KeyOf(t)]
		if k == nil || !sameTarget(k, t, later) {
			return false
		}
	}
	return true
}

// sameTarget reports whether two entries of a key are the same, apart from warm-up times that agree if the second
// was read some milliseconds later.
func sameTarget(before, after *wire.Target, laterMs int64) bool {
	if before == after {
		return before.GetColdMs() == 0
	}
	cold := max(0, int64(before.GetColdMs())-laterMs) - int64(after.GetColdMs())
	if cold > coldTolerance.Milliseconds() || cold < -coldTolerance.Milliseconds() {
		return false
	}
	if before.GetColdMs() != after.GetColdMs() {
		after = proto.CloneOf(after)
		after.ColdMs = before.GetColdMs()
	}
	return proto.Equal(before, after)
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
			t = proto.CloneOf(t)
			t.State = wire.TargetState_TARGET_STATE_LEAVING
		}
		out = append(out, t)
	}
	warmed(out, newest.readAt-newest.warmAt)
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
