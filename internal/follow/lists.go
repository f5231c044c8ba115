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
	digest       digest
	loadsVersion uint64
}

// updateList stores the list of targets of a response and, if the merged lists changed, passes them to the
// sink, unless the orders for failure domains are still to be learned. It is called with the lock held.
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
	if f.evacuation.settled {
		f.passOn(address, resp)
	}
}

// passOn passes the merged lists to the sink unless it has them: most changes are reported by several replicas. It is
// called with the lock held.
func (f *Follower) passOn(address string, resp *wire.FollowResponse) {
	newest, leaving := overlay(f.lists)
	merged := newest.digest + leavingDigest(newest, leaving)
	if f.merged.known && f.merged.digest == merged && f.merged.hasWarmUps(resp.GetTargets(), f.lists[address].readAt) {
		return
	}
	list := mergeLists(f.lists)
	f.merged = mergedList{known: true, digest: merged, warmUps: warmUps(list, newest.readAt)}
	f.log.Info("targets", "replica", address, "age-ms", resp.GetListAgeMs(), "ready", countReady(list), "listed", len(list))
	f.sink.UpdateTargets(list)
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
	sum := digestOf(changed)
	if len(before) > 0 {
		warmed(before, l.readAt-l.warmAt)
		if resp.GetChangesSince() > 0 {
			sum += l.digest
		} else {
			sum += digestOf(before)
		}
		kept, replaced := withoutReplaced(before, resp)
		sum -= digestOf(replaced)
		changed = append(kept, changed...)
	}
	l.epoch, l.version, l.targets, l.digest, l.warmAt = resp.GetListEpoch(), resp.GetListVersion(), changed, sum, l.readAt
	return nil
}

// errListBase is returned for changes to another list than the one that is held.
var errListBase = errors.New("changes to another list")

// withoutReplaced divides a list into the targets that are kept and those whose keys are among the changes of a response.
func withoutReplaced(before []*wire.Target, resp *wire.FollowResponse) (kept, replaced []*wire.Target) {
	keys := newKeySet(len(resp.GetTargets()) + len(resp.GetRemoved()))
	for _, t := range resp.GetTargets() {
		keys.add(target.KeyOf(t))
	}
	for _, k := range resp.GetRemoved() {
		keys.add(target.NewKey(k.GetId(), k.GetAddress(), k.GetService()))
	}
	kept = make([]*wire.Target, 0, len(before)+len(resp.GetTargets()))
	for _, t := range before {
		if keys.has(t) {
			replaced = append(replaced, t)
		} else {
			kept = append(kept, t)
		}
	}
	return kept, replaced
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

// overlay returns the newest list, nil if there is none, and the targets that any list reports as leaving that is at most
// maxListLag older.
func overlay(lists map[string]*targetList) (*targetList, *keySet) {
	var newest *targetList
	for _, l := range lists {
		if newest == nil || l.readAt > newest.readAt {
			newest = l
		}
	}
	leaving := newKeySet(0)
	for _, l := range lists {
		if newest.readAt-l.readAt > maxListLag {
			continue
		}
		for _, t := range l.targets {
			if t.GetState() == wire.TargetState_TARGET_STATE_LEAVING {
				leaving.add(target.KeyOf(t))
			}
		}
	}
	return newest, leaving
}

// overlaid returns a target as the merged list shows it.
func overlaid(t *wire.Target, leaving *keySet) *wire.Target {
	if t.GetState() != wire.TargetState_TARGET_STATE_READY || !leaving.has(t) {
		return t
	}
	out := proto.CloneOf(t)
	out.State = wire.TargetState_TARGET_STATE_LEAVING
	return out
}

// mergeLists returns the newest list, in which a target is leaving if any list that is at
// most maxListLag older reports it as leaving.
func mergeLists(lists map[string]*targetList) []*wire.Target {
	newest, leaving := overlay(lists)
	out := make([]*wire.Target, 0, len(newest.targets))
	for _, t := range newest.targets {
		out = append(out, overlaid(t, leaving))
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
