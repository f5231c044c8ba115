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

// memoryDisk keeps written and synced data separately, for files and for their names, and
// can fail at any operation.
type memoryDisk struct {
	files            map[string]*node // as processes see them
	durable          map[string]*node // after a power loss
	failAt           int              // number of the first operation that fails; 0 for none
	failure          error
	operations       int
	losesOnSyncError bool // a failed sync loses its data, although that can still be read
}

// node is the content of a file.
type node struct {
	live    []byte // as processes see it
	durable []byte // after a power loss
	lost    int    // bytes at the start that later syncs do not write
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*node{}, durable: map[string]*node{}}
}

func (d *memoryDisk) nextOperation() error {
	if d.operations++; d.failAt > 0 && d.operations >= d.failAt {
		return d.failure
	}
	return nil
}

// losePower returns the disk after a power loss: everything that was not synced is lost.
func (d *memoryDisk) losePower() *memoryDisk {
	out := newMemoryDisk()
	for name, n := range d.durable {
		after := &node{live: bytes.Clone(n.durable), durable: bytes.Clone(n.durable)}
		out.files[name], out.durable[name] = after, after
	}
	return out
}

// restart returns the disk as the next process reads it after the previous one was killed.
func (d *memoryDisk) restart() *memoryDisk {
	return &memoryDisk{files: d.files, durable: d.durable, losesOnSyncError: d.losesOnSyncError}
}

func (d *memoryDisk) ReadFile(name string) ([]byte, error) {
	if n, ok := d.files[name]; ok {
		return bytes.Clone(n.live), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memoryDisk) Append(name string) (vanillaward.File, error) {
	n, ok := d.files[name]
	if !ok {
		n = &node{}
		d.files[name] = n
	}
	return &memoryFile{d, n}, d.nextOperation()
}

func (d *memoryDisk) Create(name string) (vanillaward.File, error) {
	n := &node{}
	d.files[name] = n
	return &memoryFile{d, n}, d.nextOperation()
}

func (d *memoryDisk) Rename(oldName, newName string) error {
	if err := d.nextOperation(); err != nil {
		return err
	}
	d.files[newName] = d.files[oldName]
	delete(d.files, oldName)
	return nil
}

func (d *memoryDisk) Truncate(name string, size int64) error {
	if err := d.nextOperation(); err != nil {
		return err
	}
	n := d.files[name]
	n.live, n.lost = n.live[:size], min(n.lost, int(size))
	return nil
}

// SyncDir makes the file names durable; contents are synced by File.Sync.
func (d *memoryDisk) SyncDir() error {
	if err := d.nextOperation(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

type memoryFile struct {
	disk *memoryDisk
	node *node
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if err := f.disk.nextOperation(); err != nil {
		f.node.live = append(f.node.live, b[:len(b)/2]...) // a torn write
		return len(b) / 2, err
	}
	f.node.live = append(f.node.live, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.nextOperation(); err != nil {
		if f.disk.losesOnSyncError {
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

// runWorkload saves states, records, a truncation and a snapshot, and returns the term
// and the last index that were acknowledged as durable.
func runWorkload(s *storage.Store) (term uint64, last uint64, err error) {
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
			return term, last, err
		}
		if err := s.Sync(); err != nil {
			return term, last, err
		}
		switch a := a.(type) {
		case replog.SaveState:
			term = a.State.GetTerm()
		case replog.SaveEntries:
			last = a.Entries[len(a.Entries)-1].GetIndex()
		}
	}
	return term, last, nil
}

// TestCrashAtEveryStep fails each operation of the disk in turn, loses what was
// not synced, and opens the directory again: everything acknowledged must be restored.
func TestCrashAtEveryStep(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	_, last, err := runWorkload(s)
	require.NoError(t, err)
	require.EqualValues(t, 5, last)
	for failAt := 1; failAt <= clean.operations; failAt++ {
		d := newMemoryDisk()
		d.failAt, d.failure = failAt, errors.New("disk failed")
		s, err := storage.Open(d, "id")
		if err != nil {
			continue // nothing was acknowledged
		}
		term, last, err := runWorkload(s)
		require.Error(t, err)
		for name, disk := range map[string]*memoryDisk{"after a power loss": d.losePower(), "after a restart": d.restart()} {
			reopened, err := storage.Open(disk, "other-id")
			require.NoError(t, err, "operation %d, %s", failAt, name)
			require.Equal(t, "id", reopened.ID(), "a disk that has an identity must keep it")
			durable := reopened.Durable()
			require.GreaterOrEqual(t, durable.HardState.GetTerm(), term, "operation %d, %s", failAt, name)
			end := durable.Snapshot.GetIndex() + uint64(len(durable.Entries))
			require.GreaterOrEqual(t, end, last, "operation %d, %s", failAt, name)
			for i, e := range durable.Entries {
				require.Equal(t, durable.Snapshot.GetIndex()+uint64(i)+1, e.GetIndex())
			}
		}
	}
}

// TestPowerLossAfterRestart checks that the state which a process reads after the previous
// one was killed in the middle of an operation survives a power loss too: the replica has
// already reported to others which records it holds.
func TestPowerLossAfterRestart(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	_, _, err = runWorkload(s)
	require.NoError(t, err)
	for failAt := 1; failAt <= clean.operations; failAt++ {
		d := newMemoryDisk()
		d.failAt, d.failure = failAt, errors.New("killed")
		if s, err := storage.Open(d, "id"); err == nil {
			_, _, err = runWorkload(s)
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

// TestRewrite checks that Rewrite makes the state durable after a failed sync, which may
// have lost data permanently that can still be read. A replica that continues after a
// failed sync must not lose data that it acts on.
func TestRewrite(t *testing.T) {
	clean := newMemoryDisk()
	s, err := storage.Open(clean, "id")
	require.NoError(t, err)
	operationsToOpen := clean.operations
	_, _, err = runWorkload(s)
	require.NoError(t, err)
	for failAt := operationsToOpen + 1; failAt <= clean.operations; failAt++ {
		d := newMemoryDisk()
		d.losesOnSyncError = true
		s, err := storage.Open(d, "id")
		require.NoError(t, err)
		d.failAt, d.failure = failAt, errors.New("the disk failed")
		_, _, err = runWorkload(s)
		require.Error(t, err)
		d.failAt = 0
		reopened, err := storage.Open(d, "id")
		require.NoError(t, err, "operation %d", failAt)
		require.NoError(t, reopened.Rewrite(), "operation %d", failAt)
		after, err := storage.Open(d.losePower(), "other-id")
		require.NoError(t, err, "operation %d", failAt)
		requireSame(t, reopened.Durable(), after.Durable(), failAt)
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

// TestDamage checks that Open distinguishes the remains of a torn write from damage of
// synced data.
func TestDamage(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(log []byte) []byte
		entries int // expected after opening, or -1 when Open fails
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
			after.files["log"].live = c.damage(after.files["log"].live)
			reopened, err := storage.Open(after, "other")
			if c.entries < 0 {
				require.ErrorIs(t, err, storage.ErrDamaged)
				require.ErrorContains(t, err, "replica replace", "the message must name the repair command")
				return
			}
			require.NoError(t, err)
			require.Len(t, reopened.Durable().Entries, c.entries)
		})
	}
}

// TestConflictingSnapshot checks that Open drops records that do not follow from the
// snapshot. A crash between the rename of an installed snapshot and that of the log
// leaves such records.
func TestConflictingSnapshot(t *testing.T) {
	d := newMemoryDisk()
	s, err := storage.Open(d, "id")
	require.NoError(t, err)
	require.NoError(t, s.Stage(replog.SaveEntries{Entries: []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
	require.NoError(t, s.Sync())
	log := bytes.Clone(d.files["log"].live)
	require.NoError(t, s.Stage(replog.SaveSnapshot{Snapshot: &wire.Snapshot{Index: 2, Term: 5}}))
	after := d.losePower()
	after.files["log"].live = log
	reopened, err := storage.Open(after, "id")
	require.NoError(t, err)
	require.Empty(t, reopened.Durable().Entries)
}
