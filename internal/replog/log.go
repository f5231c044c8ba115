package replog

import (
	"github.com/vanillaward/vanillaward/internal/wire"
)

// entryLog is the in-memory suffix of the log after a snapshot.
type entryLog struct {
	snapIndex  uint64
	snapTerm   uint64
	membership *wire.Membership // as of the snapshot
	entries    []*wire.Entry
}

func (l *entryLog) last() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the record at an index, and false when the record is
// not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapIndex:
		return l.snapTerm, true
	case index < l.snapIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.snapIndex-1].GetTerm(), true
	}
}

// between returns the records after index "after" up to and including "upTo".
func (l *entryLog) between(after, upTo uint64) []*wire.Entry {
	if after < l.snapIndex || upTo <= after {
		return nil
	}
	return l.entries[after-l.snapIndex : upTo-l.snapIndex]
}

// truncate removes the records from an index on.
func (l *entryLog) truncate(from uint64) {
	l.entries = l.entries[: from-l.snapIndex-1 : from-l.snapIndex-1]
}

func (l *entryLog) append(entries ...*wire.Entry) { l.entries = append(l.entries, entries...) }

// latestMembership returns the membership of the last record that holds one and
// that record's index.
func (l *entryLog) latestMembership() (*wire.Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].GetMembership(); m != nil {
			return m, l.entries[i].GetIndex()
		}
	}
	return l.membership, l.snapIndex
}

// membershipAt returns the membership in force at an index that is held.
func (l *entryLog) membershipAt(index uint64) *wire.Membership {
	for i := int(index-l.snapIndex) - 1; i >= 0; i-- {
		if m := l.entries[i].GetMembership(); m != nil {
			return m
		}
	}
	return l.membership
}

// compact drops the records up to and including an index.
func (l *entryLog) compact(index uint64) {
	membership := l.membershipAt(index)
	term, _ := l.term(index)
	l.entries = append([]*wire.Entry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.membership = index, term, membership
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	l.snapIndex, l.snapTerm, l.membership = s.GetIndex(), s.GetTerm(), s.GetMembership()
	l.entries = nil
}
