package control

import (
	"context"
	"io/fs"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// evidence holds what all instances that follow this replica have told it about parts of prompts
// and of requests that may crash targets. Each instance tells every replica that it follows, so that instances
// which still reach a replica learn from each other without a leader. It is safe for concurrent use.
type evidence struct {
	epoch uint64 // of this process

	mu     sync.Mutex // guards the rest; never held while another lock is taken
	ledger *quarantine.Ledger
}

func newEvidence(epoch uint64) *evidence {
	return &evidence{epoch: epoch, ledger: quarantine.New("")}
}

// merge adds what an instance has told; nil adds nothing.
func (e *evidence) merge(told *wire.Evidence, now time.Duration) {
	if told == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Merge(told, now)
}

// answer gives an instance what it lacks.
func (e *evidence) answer(request *wire.FollowRequest, answer *wire.FollowResponse, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer.EvidenceEpoch, answer.EvidenceVersion = e.epoch, e.ledger.Version()
	known := request.GetEvidenceVersion()
	if request.GetEvidenceEpoch() != e.epoch {
		known = 0 // of an earlier process
	}
	if known != e.ledger.Version() {
		answer.Evidence = e.ledger.News(known, now)
	}
}

const (
	// evidenceFile is the name of the file with the evidence in the data folder.
	evidenceFile = "evidence"
	// saveInterval is the shortest interval at which evidence is saved.
	saveInterval = time.Second
)

// KeepEvidence loads the evidence that the replica has saved, and saves it whenever there is news,
// until the context ends. Without it, evidence would be lost when all instances restart together. It
// then sends nil on the returned channel. A disk that fails is logged; the evidence in memory stays.
func (s *Service) KeepEvidence(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		if err := s.evidence.load(s.node.disk, s.timers.Now(), time.Now()); err != nil {
			s.log.Error(err, "cannot load evidence on parts of prompts that crash engines")
		}
		saved := s.evidence.version()
		for now := range s.timers.Subscribe(ctx, saveInterval) {
			if version := s.evidence.version(); version != saved {
				saved = version
				if err := s.evidence.save(s.node.disk, now, time.Now()); err != nil {
					s.log.Error(err, "cannot save evidence on parts of prompts that crash engines")
				}
			}
		}
		done <- nil
	}()
	return done
}

func (e *evidence) version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Version()
}

// save writes the evidence. The time of day is what a restarted process can compare.
func (e *evidence) save(disk vanillaward.Disk, now time.Duration, timeOfDay time.Time) error {
	e.mu.Lock()
	saved := &wire.SavedEvidence{Evidence: e.ledger.Evidence(now), SavedUnixMs: timeOfDay.UnixMilli()}
	e.mu.Unlock()
	data, err := proto.Marshal(saved)
	if err != nil {
		return errors.Wrap(err, evidenceFile)
	}
	return storage.ReplaceFile(disk, evidenceFile+".new", evidenceFile, data)
}

// load adds the saved evidence, if there is any. Ages grow by the time since it was saved; a step back
// of the time of day adds nothing.
func (e *evidence) load(disk vanillaward.Disk, now time.Duration, timeOfDay time.Time) error {
	data, err := disk.ReadFile(evidenceFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, evidenceFile)
	}
	saved := &wire.SavedEvidence{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return errors.Wrap(err, evidenceFile)
	}
	since := uint64(max(0, timeOfDay.UnixMilli()-saved.GetSavedUnixMs()))
	for _, c := range saved.GetEvidence().GetCrashes() {
		c.AgeMs += since
	}
	for _, s := range saved.GetEvidence().GetSound() {
		s.AgeMs += since
	}
	for _, c := range saved.GetEvidence().GetRequestCrashes() {
		c.AgeMs += since
	}
	for _, s := range saved.GetEvidence().GetSoundRequests() {
		s.AgeMs += since
	}
	e.merge(saved.GetEvidence(), now)
	return nil
}
