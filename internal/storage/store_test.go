package storage_test

import (
	"bytes"
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// memoryDisk keeps what was written and what was synced apart, and can fail at
// any operation.
type memoryDisk struct {
	live    map[string][]byte // as the process sees it
	durable map[string][]byte // as it is after a crash
	failAt  int               // operation that fails; 0 for none
	fault   error
	done    int
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{live: map[string][]byte{}, durable: map[string][]byte{}}
}

func (d *memoryDisk) step() error {
	if d.done++; d.failAt > 0 && d.done >= d.failAt {
		return d.fault
	}
	return nil
}

// crash loses everything that was not synced.
func (d *memoryDisk) crash() *memoryDisk {
	out := newMemoryDisk()
	for name, data := range d.durable {
		out.live[name] = bytes.Clone(data)
		out.durable[name] = bytes.Clone(data)
	}
	return out
}

func (d *memoryDisk) ReadFile(name string) ([]byte, error) {
	if data, ok := d.live[name]; ok {
		return bytes.Clone(data), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memoryDisk) Append(name string) (vanillaward.File, error) {
	if _, ok := d.live[name]; !ok {
		d.live[name] = nil
	}
	return &memoryFile{d, name}, d.step()
}

func (d *memoryDisk) Create(name string) (vanillaward.File, error) {
	d.live[name] = nil
	return &memoryFile{d, name}, d.step()
}

func (d *memoryDisk) Rename(oldName, newName string) error {
	d.live[newName] = d.live[oldName]
	delete(d.live, oldName)
	return d.step()
}

func (d *memoryDisk) Truncate(name string, size int64) error {
	d.live[name] = d.live[name][:size]
	return d.step()
}

// SyncFolder makes renames durable; file contents were synced before.
func (d *memoryDisk) SyncFolder() error {
	if err := d.step(); err != nil {
		return err
	}
	for name, data := range d.live {
		if _, ok := d.durable[name]; !ok || name == "snapshot" || name == "log" || name == "replica-id" {
			d.durable[name] = bytes.Clone(data)
		}
	}
	return nil
}

type memoryFile struct {
	disk *memoryDisk
	name string
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		f.disk.live[f.name] = append(f.disk.live[f.name], b[:len(b)/2]...) // a torn write
		return len(b) / 2, err
	}
	f.disk.live[f.name] = append(f.disk.live[f.name], b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.disk.durable[f.name] = bytes.Clone(f.disk.live[f.name])
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
		for name, disk := range map[string]*memoryDisk{"after a crash": d.crash(), "after a restart": {live: d.live, durable: d.durable}} {
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
			after := d.crash()
			after.live["log"] = c.damage(after.live["log"])
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
	log := bytes.Clone(d.live["log"])
	require.NoError(t, s.Stage(replog.SaveSnapshot{Snapshot: &wire.Snapshot{Index: 2, Term: 5}}))
	after := d.crash()
	after.live["log"] = log
	again, err := storage.Open(after, "id")
	require.NoError(t, err)
	require.Empty(t, again.Durable().Entries)
}
