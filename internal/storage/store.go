package storage

import (
	"io/fs"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Names of the files in the directory.
const (
	identityFile    = "replica-id"
	logFile         = "log"
	newLogFile      = "log.new"
	snapshotFile    = "snapshot"
	newSnapshotFile = "snapshot.new"
)

// Store makes a replica's state durable. It is not safe for concurrent use.
// After an error the store must not be used further: it is unknown what the last
// sync made durable.
type Store struct {
	disk              vanillaward.Disk
	id                string
	file              vanillaward.File
	pending           []byte
	state             *wire.HardState
	snapshot          *wire.Snapshot
	suffix            []*wire.Entry
	bytesSinceRewrite int64 // bytes that Open found in the log file, plus those written since; 0 after a rewrite
}

// Open reads the state of the directory. A directory without a replica ID gets newID: it
// belongs to a replica that never voted. Open returns ErrDamaged for corrupt data and a
// SyncError if the log file cannot be synced.
func Open(disk vanillaward.Disk, newID string) (*Store, error) {
	s := &Store{disk: disk, state: &wire.HardState{}}
	if err := s.openIdentity(newID); err != nil {
		return nil, err
	}
	if err := s.readSnapshot(); err != nil {
		return nil, err
	}
	if err := s.readLog(); err != nil {
		return nil, err
	}
	file, err := disk.Append(logFile)
	if err != nil {
		return nil, errors.Wrap(err, logFile)
	}
	s.file = file
	// The previous process may have been killed between a write and its sync. The replica
	// acts on what was read, so that must be durable first.
	err = syncLog(file)
	if err == nil {
		err = errors.Wrap(disk.SyncDir(), "cannot sync data folder")
	}
	if err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, err
	}
	return s, nil
}

// SyncError is returned when the log file could not be synced. The data may then be lost
// permanently although it can still be read.
type SyncError struct{ err error }

func (e *SyncError) Error() string { return "cannot sync " + logFile + ": " + e.err.Error() }

// Unwrap returns the error of the disk.
func (e *SyncError) Unwrap() error { return e.err }

func syncLog(file vanillaward.File) error {
	if err := file.Sync(); err != nil {
		return &SyncError{err}
	}
	return nil
}

// Rewrite rewrites the entire log file, which is needed once after a SyncError.
func (s *Store) Rewrite() error { return s.rewriteLog() }

// BytesSinceRewrite returns by how many bytes the log file has grown since it was last
// rewritten. If it was not rewritten since Open, the bytes found by Open count too.
func (s *Store) BytesSinceRewrite() int64 { return s.bytesSinceRewrite }

// ID returns the replica's ID.
func (s *Store) ID() string { return s.id }

// Durable returns the state restored or saved so far.
func (s *Store) Durable() replog.Durable {
	return replog.Durable{HardState: s.state, Snapshot: s.snapshot, Entries: append([]*wire.Entry(nil), s.suffix...)}
}

// Close closes the log file.
func (s *Store) Close() error { return s.file.Close() }

func (s *Store) openIdentity(newID string) error {
	data, err := s.disk.ReadFile(identityFile)
	if err == nil && len(data) > 0 {
		s.id = string(data)
		return nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Wrap(err, identityFile)
	}
	if _, err := s.disk.ReadFile(logFile); err == nil {
		return errors.Wrapf(ErrDamaged, "%s is missing although there is a log", identityFile)
	}
	s.id = newID
	return ReplaceFile(s.disk, identityFile+".new", identityFile, []byte(newID))
}

// ReplaceFile replaces a file atomically and durably: it writes the data under a temporary name,
// syncs it and renames it.
func ReplaceFile(disk vanillaward.Disk, temporary, name string, data []byte) error {
	f, err := disk.Create(temporary)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close() // the write error is the one to report
		return errors.Wrap(err, name)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close() // the sync error is the one to report
		return errors.Wrap(err, name)
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, name)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(disk.SyncDir(), name)
}

func (s *Store) readSnapshot() error {
	data, err := s.disk.ReadFile(snapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, snapshotFile)
	}
	message, _, valid := parseRecord(data)
	if !valid {
		return errors.Wrap(ErrDamaged, snapshotFile)
	}
	s.snapshot = &wire.Snapshot{}
	return errors.Wrap(proto.Unmarshal(message, s.snapshot), snapshotFile)
}

func (s *Store) readLog() error {
	data, err := s.disk.ReadFile(logFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, logFile)
	}
	records, validBytes, err := readRecords(data)
	s.bytesSinceRewrite = validBytes
	if err != nil {
		return errors.Wrap(err, logFile)
	}
	if validBytes < int64(len(data)) {
		if err := s.disk.Truncate(logFile, validBytes); err != nil {
			return errors.Wrap(err, logFile)
		}
	}
	return s.replay(records)
}

// replay rebuilds the suffix of the log from the file's records. Records that a
// snapshot covers are dropped, and with them a suffix that does not follow from
// the snapshot: a crash can leave both between the snapshot's rename and the
// log's.
func (s *Store) replay(records []*wire.LogRecord) error {
	for _, r := range records {
		if r.GetHardState() != nil {
			s.state = r.GetHardState()
		}
		s.truncateSuffix(r.GetTruncateFrom())
		e := r.GetEntry()
		if e == nil {
			continue
		}
		if n := len(s.suffix); n > 0 && e.GetIndex() != s.suffix[n-1].GetIndex()+1 {
			return errors.Wrapf(ErrDamaged, "record %d follows record %d", e.GetIndex(), s.suffix[n-1].GetIndex())
		}
		s.suffix = append(s.suffix, e)
	}
	if len(s.suffix) == 0 || s.suffix[0].GetIndex() == s.snapshot.GetIndex()+1 {
		return nil
	}
	if s.suffix[0].GetIndex() > s.snapshot.GetIndex() {
		return errors.Wrapf(ErrDamaged, "records before %d are missing", s.suffix[0].GetIndex())
	}
	s.discardCovered(s.snapshot)
	return nil
}

// truncateSuffix removes the records from an index on; 0 removes none.
func (s *Store) truncateSuffix(from uint64) {
	if from == 0 {
		return
	}
	for i, e := range s.suffix {
		if e.GetIndex() >= from {
			s.suffix = s.suffix[:i]
			return
		}
	}
}

// Stage buffers a save action of the core, which is durable only after Sync. A snapshot
// is made durable at once.
func (s *Store) Stage(action replog.Action) error {
	switch a := action.(type) {
	case replog.SaveState:
		s.state = a.State
		return s.stageRecord(&wire.LogRecord{HardState: a.State})
	case replog.SaveEntries:
		return s.stageEntries(a)
	case replog.SaveSnapshot:
		return s.saveSnapshot(a.Snapshot)
	}
	return nil
}

func (s *Store) stageEntries(a replog.SaveEntries) error {
	s.truncateSuffix(a.TruncateFrom)
	for i, e := range a.Entries {
		record := &wire.LogRecord{Entry: e}
		if i == 0 {
			record.TruncateFrom = a.TruncateFrom
		}
		if err := s.stageRecord(record); err != nil {
			return err
		}
		s.suffix = append(s.suffix, e)
	}
	return nil
}

func (s *Store) stageRecord(r *wire.LogRecord) error {
	data, err := appendRecord(s.pending, r)
	if err != nil {
		return err
	}
	s.pending = data
	return nil
}

// Sync writes the staged actions and makes them durable.
func (s *Store) Sync() error {
	if len(s.pending) == 0 {
		return nil
	}
	if _, err := s.file.Write(s.pending); err != nil {
		return errors.Wrap(err, logFile)
	}
	s.bytesSinceRewrite += int64(len(s.pending))
	s.pending = s.pending[:0]
	return syncLog(s.file)
}

// saveSnapshot replaces the snapshot, then rewrites the log without the records
// that it covers. A crash between the two steps leaves records that Open drops.
func (s *Store) saveSnapshot(snapshot *wire.Snapshot) error {
	if err := s.Sync(); err != nil {
		return err
	}
	data, err := appendRecord(nil, snapshot)
	if err != nil {
		return err
	}
	if err := ReplaceFile(s.disk, newSnapshotFile, snapshotFile, data); err != nil {
		return err
	}
	s.discardCovered(snapshot)
	s.snapshot = snapshot
	return s.rewriteLog()
}

// discardCovered drops the records that the snapshot covers. If the log does not reach or
// does not match the snapshot, it drops all records.
func (s *Store) discardCovered(snapshot *wire.Snapshot) {
	for i, e := range s.suffix {
		if e.GetIndex() == snapshot.GetIndex() && e.GetTerm() == snapshot.GetTerm() {
			s.suffix = append([]*wire.Entry(nil), s.suffix[i+1:]...)
			return
		}
	}
	s.suffix = nil
}

func (s *Store) rewriteLog() error {
	data, err := appendRecord(nil, &wire.LogRecord{HardState: s.state})
	if err != nil {
		return err
	}
	for _, e := range s.suffix {
		if data, err = appendRecord(data, &wire.LogRecord{Entry: e}); err != nil {
			return err
		}
	}
	if err := s.file.Close(); err != nil {
		return errors.Wrap(err, logFile)
	}
	if err := ReplaceFile(s.disk, newLogFile, logFile, data); err != nil {
		return err
	}
	s.bytesSinceRewrite = 0
	s.file, err = s.disk.Append(logFile)
	return errors.Wrap(err, logFile)
}
