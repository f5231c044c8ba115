package control

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/difference"
	"github.com/vanillaward/vanillaward/internal/target"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// maxListChanges bounds the remembered changes of entries. A follower that lacks more gets the
	// whole list.
	maxListChanges = 4096
	// coldTolerance is the difference, in milliseconds, of the ends of an entry's warm-up time from
	// which the entry counts as changed: readings of the platform's list are that inexact.
	coldTolerance = 500
	// compressedFrom is the number of targets from which whole lists are compressed.
	compressedFrom = 64
	// maxBaseChanges is the divisor of the size of a list that gives the number of changes up to which
	// an earlier compressed list is used.
	maxBaseChanges = 16
)

// listChanges remembers which entries of a list changed with each of its versions. It is not safe for
// concurrent use.
type listChanges struct {
	entries map[target.Key][]*wire.Target // of the newest version; more than one only in an odd list
	changes []listChange                  // in the order of versions
	oldest  uint64                        // the changes after this version are complete

	answers map[uint64]*listAnswer // by the version that a follower has, for the newest version
	base    *compressedList
}

// listChange is an entry that was added, changed or removed.
type listChange struct {
	version uint64
	key     target.Key
}

// listAnswer is what a follower with an earlier version lacks.
type listAnswer struct {
	changed []*wire.Target
	removed []*wire.TargetKey
}

// compressedList is the compressed list of a version.
type compressedList struct {
	version uint64
	data    []byte
	warmUps bool // with the warm-up times as of the newest reading
}

// update replaces the entries by those of a reading that was made laterMs milliseconds after the last one. It
// records what changed as a version and returns the number of changes, and whether a target that was ready is
// now leaving or gone.
func (l *listChanges) update(list []*wire.Target, version uint64, laterMs int64) (count int, urgent bool) {
	first := l.entries == nil
	next := make(map[target.Key][]*wire.Target, len(list))
	for _, t := range list {
		key := target.KeyOf(t)
		next[key] = append(next[key], t)
	}
	for key, entries := range next {
		if before := l.entries[key]; !equalEntries(before, entries, laterMs) {
			l.changes = append(l.changes, listChange{version, key})
			urgent = urgent || isReady(before) && !isReady(entries)
			count++
		}
	}
	for key, before := range l.entries {
		if next[key] == nil {
			l.changes = append(l.changes, listChange{version, key})
			urgent = urgent || isReady(before)
			count++
		}
	}
	l.entries, l.answers = next, map[uint64]*listAnswer{}
	if l.base != nil && l.base.warmUps {
		l.base = nil
	}
	if first {
		l.changes, l.oldest = nil, version
	}
	l.trim()
	return count, urgent
}

// trim forgets the oldest versions.
func (l *listChanges) trim() {
	for len(l.changes) > maxListChanges {
		version := l.changes[0].version
		n := 0
		for n < len(l.changes) && l.changes[n].version == version {
			n++
		}
		l.changes, l.oldest = l.changes[n:], version
	}
}

// since returns what a follower lacks that has a version, or nil if that is not known or not less than the
// whole list.
func (l *listChanges) since(version, newest uint64) *listAnswer {
	if version < l.oldest || version > newest {
		return nil
	}
	if a, ok := l.answers[version]; ok {
		return a
	}
	a := &listAnswer{}
	seen := map[target.Key]bool{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].version > version; i-- {
		key := l.changes[i].key
		if seen[key] {
			continue
		}
		seen[key] = true
		if entries := l.entries[key]; entries != nil {
			a.changed = append(a.changed, entries...)
		} else {
			a.removed = append(a.removed, &wire.TargetKey{Id: key.ID(), Address: key.Address(), Service: key.Service()})
		}
	}
	if len(seen) > len(l.entries) {
		a = nil
	}
	l.answers[version] = a
	return a
}

// compressed returns a compressed list and the changes to it, or nil if the list is too small for that. A list is
// compressed again only once a part of it changed, because that takes milliseconds. Warm-up times differ in
// each reading, so that they are among the changes unless many targets are warming up.
func (l *listChanges) compressed(list []*wire.Target, newest uint64) (*compressedList, *listAnswer) {
	if len(list) < compressedFrom {
		return nil, nil
	}
	most := len(list) / maxBaseChanges
	warming := warmingUp(list)
	if l.base != nil {
		if l.base.warmUps {
			return l.base, &listAnswer{}
		}
		if a := l.since(l.base.version, newest); a != nil && len(a.changed)+len(a.removed)+len(warming) <= most {
			return l.base, a.with(warming)
		}
	}
	data, err := compressTargets(list, len(warming) > most)
	if err != nil {
		return nil, nil // the list is sent as it is
	}
	l.base = &compressedList{version: newest, data: data, warmUps: len(warming) > most}
	if l.base.warmUps {
		warming = nil
	}
	return l.base, (&listAnswer{}).with(warming)
}

// with returns the changes with all entries of the keys of further targets.
func (a *listAnswer) with(further []*wire.Target) *listAnswer {
	known := make(map[*wire.Target]bool, len(a.changed))
	for _, t := range a.changed {
		known[t] = true
	}
	out := &listAnswer{changed: slices.Clone(a.changed), removed: a.removed}
	for _, t := range further {
		if !known[t] {
			out.changed = append(out.changed, t)
		}
	}
	return out
}

func warmingUp(list []*wire.Target) []*wire.Target {
	var out []*wire.Target
	for _, t := range list {
		if t.GetColdMs() > 0 {
			out = append(out, t)
		}
	}
	return out
}

// compressTargets returns a compressed list, with the warm-up times of its targets or without.
func compressTargets(list []*wire.Target, warmUps bool) ([]byte, error) {
	all := &wire.Targets{Targets: list}
	if !warmUps {
		all.Targets = slices.Clone(list)
		for i, t := range list {
			if t.GetColdMs() > 0 {
				all.Targets[i] = proto.CloneOf(t)
				all.Targets[i].ColdMs = 0
			}
		}
	}
	data, err := proto.Marshal(all)
	if err != nil {
		return nil, errors.Wrap(err, "list cannot be encoded")
	}
	return difference.Make(nil, data)
}

func isReady(entries []*wire.Target) bool {
	for _, t := range entries {
		if t.GetState() != wire.TargetState_TARGET_STATE_READY {
			return false
		}
	}
	return len(entries) > 0
}

// equalEntries reports whether the entries of a key are equal in two readings, the later of which was made laterMs
// milliseconds after the other.
func equalEntries(before, after []*wire.Target, laterMs int64) bool {
	if len(before) != len(after) {
		return false
	}
	for i := range after {
		if before[i] != after[i] && !equalTarget(before[i], after[i], laterMs) {
			return false
		}
	}
	return true
}

func equalTarget(before, after *wire.Target, laterMs int64) bool {
	left := max(0, int64(before.GetColdMs())-laterMs)
	if d := left - int64(after.GetColdMs()); d > coldTolerance || d < -coldTolerance {
		return false
	}
	if before.GetColdMs() == after.GetColdMs() {
		return proto.Equal(before, after)
	}
	same := proto.CloneOf(after)
	same.ColdMs = before.GetColdMs()
	return proto.Equal(before, same)
}
