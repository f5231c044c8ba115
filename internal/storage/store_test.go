package storage_test

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// memoryDisk keeps what was written and what was synced apart, for files and for their
// names, and can fail at any operation.
type memoryDisk struct {
	names   map[string]*node // as processes see them
	durable map[string]*node // as they are after a loss of power
	failAt  int              // operation that fails; 0 for none
	fault   error
	done    int
	forgets bool // a sync that fails loses what it should have written, although it can be read
}

// node is the content of a file.
type node struct {
	live    []byte // as processes see it
	durable []byte // as it is after a loss of power
	lost    int    // bytes at the start that no further sync writes
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{names: map[string]*node{}, durable: map[string]*node{}}
}

func (d *memoryDisk) step() error {
	if d.done++; d.failAt > 0 && d.done >= d.failAt {
		return d.fault
	}
	return nil
}

// losePower returns the disk after a loss of power: everything that was not synced is
// gone.
func (d *memoryDisk) losePower() *memoryDisk {
	out := newMemoryDisk()
	for name, n := range d.durable {
		after := &node{live: bytes.Clone(n.durable), durable: bytes.Clone(n.durable)}
		out.names[name], out.durable[name] = after, after
	}
	return out
}

// restart returns the disk as the next process finds it after the last one was killed.
func (d *memoryDisk) restart() *memoryDisk {
	return &memoryDisk{names: d.names, durable: d.durable, forgets: d.forgets}
}

func (d *memoryDisk) ReadFile(name string) ([]byte, error) {
	if n, ok := d.names[name]; ok {
		return bytes.Clone(n.live), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memoryDisk) Append(name string) (vanillaward.File, error) {
	n, ok := d.names[name]
	if !ok {
		n = &node{}
		d.names[name] = n
	}
	return &memoryFile{d, n}, d.step()
}

func (d *memoryDisk) Create(name string) (vanillaward.File, error) {
	n := &node{}
	d.names[name] = n
	return &memoryFile{d, n}, d.step()
}

func (d *memoryDisk) Rename(oldName, newName string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[newName] = d.names[oldName]
	delete(d.names, oldName)
	return nil
}

func (d *memoryDisk) Truncate(name string, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	n := d.names[name]
	n.live, n.lost = n.live[:size], min(n.lost, int(size))
	return nil
}

// SyncFolder makes names durable; contents have syncs of their own.
func (d *memoryDisk) SyncFolder() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

type memoryFile struct {
	disk *memoryDisk
	node *node
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		f.node.live = append(f.node.live, b[:len(b)/2]...) // a torn write
		return len(b) / 2, err
	}
	f.node.live = append(f.node.live, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.step(); err != nil {
		if f.disk.forgets {
			f.node.lost = len(f.node.live)
		}
		return err
	}
	written := bytes.Clone(f.node.live)
	if lost := min(f.node.lost, len(written)); lost > len(f.node.durable) {
		clear(written[len(f.node.durable):lost])
	}
	f.node.durable = written
	return nil
}

func (f *memoryFile) Close() error { return nil }

func entry(index, term uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Data: []byte{byte(index)}}
}

// script saves states, records, a truncation and a snapshot, and returns what was
// acknowledged as durable.
func script(s *storage.Store) (state uint64, last uint64, err error) {
	steps := []replog.Action{
		replog.SaveState{State: &wire.HardState{Term: 1, Vote: "a"}},
		replog.SaveEntries{Entries: []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}},
		replog.SaveEntries{TruncateFrom: 3, Entries: []*wire.Entry{entry(3, 2), entry(4, 2)}},
		replog.SaveSnapshot{Snapshot: &wire.Snapshot{Index: 2, Term: 1, State: []byte("state")}},
		replog.SaveState{State: &wire.HardState{Term: 2, Vote: "b"}},
		replog.SaveEntries{Entries: []*wire.Entry{entry(5, 2)}},
	}
	for _, a := range steps {
		if err := s.Stage(a); err != nil {
			return state, last, err
		}
		if err := s.Sync(); err != nil {
			return state, last, err
		}
		switch a := a.(type) {
		case replog.SaveState:
			state = a.State.GetTerm()
		case replog.SaveEntries:
			last = a.Entries[len(a.Entries)-1].GetIndex()
		}
	}
	return state, last, nil
}

// TestCrashAtEveryStep fails each operation of the disk in turn, loses what was
// not synced, and opens the folder again: what was acknowledged is there.
func TestCrashAtEveryStep(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	_, last, err := script(s)
	require.NoError(t, err)
	require.EqualValues(t, 5, last)
	for failAt := 1; failAt <= clean.done; failAt++ {
		d := newMemoryDisk()
		d.failAt, d.fault = failAt, errors.New("disk failed")
		s, err := storage.Open(d, "id")
		if err != nil {
			continue // nothing was acknowledged
		}
		state, last, err := script(s)
		require.Error(t, err)
		for name, disk := range map[string]*memoryDisk{"after a loss of power": d.losePower(), "after a restart": d.restart()} {
			again, err := storage.Open(disk, "other-id")
			require.NoError(t, err, "operation %d, %s", failAt, name)
			require.Equal(t, "id", again.ID(), "a disk that has an identity keeps it")
			durable := again.Durable()
			require.GreaterOrEqual(t, durable.HardState.GetTerm(), state, "operation %d, %s", failAt, name)
			end := durable.Snapshot.GetIndex() + uint64(len(durable.Entries))
			require.GreaterOrEqual(t, end, last, "operation %d, %s", failAt, name)
			for i, e := range durable.Entries {
				require.Equal(t, durable.Snapshot.GetIndex()+uint64(i)+1, e.GetIndex())
			}
		}
	}
}

// TestPowerLostAfterRestart: what a process finds after the last one was killed in the
// middle of an operation is there after a loss of power too, because the replica acts on
// it: it has told others which records it holds.
func TestPowerLostAfterRestart(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	_, _, err = script(s)
	require.NoError(t, err)
	for failAt := 1; failAt <= clean.done; failAt++ {
		d := newMemoryDisk()
		d.failAt, d.fault = failAt, errors.New("killed")
		if s, err := storage.Open(d, "id"); err == nil {
			_, _, err = script(s)
			require.Error(t, err)
		}
		d = d.restart()
		found, err := storage.Open(d, "id")
		require.NoError(t, err, "operation %d", failAt)
		after, err := storage.Open(d.losePower(), "other-id")
		require.NoError(t, err, "operation %d", failAt)
		require.Equal(t, found.ID(), after.ID(), "operation %d", failAt)
		requireSame(t, found.Durable(), after.Durable(), failAt)
	}
}

// TestRewrite: a sync that fails may lose for good what can still be read. A replica that
// goes on after it writes everything anew, so that nothing it acts on is lost.
func TestRewrite(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	opened := clean.done
	_, _, err = script(s)
	require.NoError(t, err)
	for failAt := opened + 1; failAt <= clean.done; failAt++ {
		d := newMemoryDisk()
		d.forgets = true
		s, err := storage.Open(d, "id")
		require.NoError(t, err)
		d.failAt, d.fault = failAt, errors.New("the disk failed")
		_, _, err = script(s)
		require.Error(t, err)
		d.failAt = 0
		again, err := storage.Open(d, "id")
		require.NoError(t, err, "operation %d", failAt)
		require.NoError(t, again.Rewrite(), "operation %d", failAt)
		after, err := storage.Open(d.losePower(), "other-id")
		require.NoError(t, err, "operation %d", failAt)
		requireSame(t, again.Durable(), after.Durable(), failAt)
	}
}

func requireSame(t *testing.T, want, got replog.Durable, operation int) {
	t.Helper()
	require.True(t, proto.Equal(want.HardState, got.HardState), "operation %d: state %v, then %v", operation, want.HardState, got.HardState)
	require.True(t, proto.Equal(want.Snapshot, got.Snapshot), "operation %d: snapshot %v, then %v", operation, want.Snapshot, got.Snapshot)
	require.Len(t, got.Entries, len(want.Entries), "operation %d", operation)
	for i, e := range want.Entries {
		require.True(t, proto.Equal(e, got.Entries[i]), "operation %d: record %v, then %v", operation, e, got.Entries[i])
	}
}

// TestDamage tells the remains of a torn write from damage of what was synced.
func TestDamage(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(log []byte) []byte
		entries int // that remain, or -1 when the folder is refused
	}{
		{"nothing", func(log []byte) []byte { return log }, 3},
		{"last record torn", func(log []byte) []byte { return log[:len(log)-2] }, 2},
		{"header of the last record torn", func(log []byte) []byte { return append(log, 0, 0, 0) }, 3},
		{"zeros after the end", func(log []byte) []byte { return append(log, make([]byte, 100)...) }, 3},
		{"a bit in the middle", func(log []byte) []byte { log[30] ^= 4; return log }, -1},
		{"a length in the middle", func(log []byte) []byte { log[1] ^= 0x40; return log }, -1},
		{"a bit in the last record", func(log []byte) []byte { log[len(log)-1] ^= 1; return log }, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newMemoryDisk()
			s, err := storage.Open(d, "id")
			require.NoError(t, err)
			for i := range uint64(3) {
				require.NoError(t, s.Stage(replog.SaveEntries{Entries: []*wire.Entry{entry(i+1, 1)}}))
				require.NoError(t, s.Sync())
			}
			after := d.losePower()
			after.names["log"].live = c.damage(after.names["log"].live)
			again, err := storage.Open(after, "other")
			if c.entries < 0 {
				require.ErrorIs(t, err, storage.ErrDamaged)
				require.ErrorContains(t, err, "replica replace", "the message names the way out")
				return
			}
			require.NoError(t, err)
			require.Len(t, again.Durable().Entries, c.entries)
		})
	}
}

// TestConflictingSnapshot: a crash between the rename of an installed snapshot
// and that of the log leaves records that do not follow from the snapshot.
func TestConflictingSnapshot(t *testing.T) {
	d := newMemoryDisk()
	s, err := storage.Open(d, "id")
	require.NoError(t, err)
	require.NoError(t, s.Stage(replog.SaveEntries{Entries: []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
	require.NoError(t, s.Sync())
	log := bytes.Clone(d.names["log"].live)
	require.NoError(t, s.Stage(replog.SaveSnapshot{Snapshot: &wire.Snapshot{Index: 2, Term: 5}}))
	after := d.losePower()
	after.names["log"].live = log
	again, err := storage.Open(after, "id")
	require.NoError(t, err)
	require.Empty(t, again.Durable().Entries)
}
