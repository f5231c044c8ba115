package control

import (
	"context"
	"io/fs"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/quarantine"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// evidence holds what instances have told this replica about parts of prompts
// and of requests that may crash targets. Each instance tells every replica that it follows, or all, so that instances
// which still reach a replica learn from each other without a leader. It is safe for concurrent use.
type evidence struct {
	epoch uint64 // of this process

	mu      sync.Mutex // guards the rest; never held while another lock is taken
	ledger  *quarantine.Ledger
	changed chan struct{} // closed and replaced when there is news
}

func newEvidence(epoch uint64) *evidence {
	return &evidence{epoch: epoch, ledger: quarantine.New(""), changed: make(chan struct{})}
}

// merge adds what an instance has told; nil adds nothing.
func (e *evidence) merge(told *wire.Evidence, now time.Duration) {
	if told == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.ledger.Version()
	e.ledger.Merge(told, now)
	if e.ledger.Version() != before {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// answer gives a follower what it lacks.
func (e *evidence) answer(request *wire.FollowRequest, answer *wire.FollowResponse, now time.Duration) {
	lacks, _ := e.lackedBy(request.GetEvidenceEpoch(), request.GetEvidenceVersion(), now)
	answer.EvidenceEpoch, answer.EvidenceVersion, answer.Evidence = lacks.GetEpoch(), lacks.GetVersion(), lacks.GetEvidence()
}

// lackedBy returns what an instance lacks that has the evidence of a version of a process, and a channel that
// is closed at the next news.
func (e *evidence) lackedBy(epoch, version uint64, now time.Duration) (*wire.HearResponse, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.epoch {
		version = 0 // of an earlier process
	}
	out := &wire.HearResponse{Epoch: e.epoch, Version: e.ledger.Version()}
	if version != out.GetVersion() {
		out.Evidence = e.ledger.News(version, now)
	}
	return out, e.changed
}

// await returns what an instance lacks. If that is nothing, it waits for news at most the time that the
// request states.
func (e *evidence) await(ctx context.Context, r *wire.HearRequest, timers vanillaward.Timers) *wire.HearResponse {
	timeout := time.NewTimer(min(time.Duration(r.GetWaitMs())*time.Millisecond, config.MaxWait))
	defer timeout.Stop()
	for {
		out, changed := e.lackedBy(r.GetEpoch(), r.GetVersion(), timers.Now())
		if out.GetEvidence() != nil || out.GetEpoch() != r.GetEpoch() {
			return out
		}
		select {
		case <-changed:
		case <-timeout.C:
			return out
		case <-ctx.Done():
			return out
		}
	}
}

// Tell adds what an instance has seen of targets that crash.
func (c *controlCalls) Tell(e *wire.Evidence, _ *wire.Empty) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	c.service.evidence.merge(e, c.service.timers.Now())
	return nil
}

// Hear returns what an instance has not heard yet of targets that crash.
func (c *controlCalls) Hear(request *wire.HearRequest, response *wire.HearResponse) error {
	if err := c.instanceOnly(); err != nil {
		return err
	}
	got := c.service.evidence.await(c.service.ctx, request, c.service.timers)
	response.Epoch, response.Version, response.Evidence = got.GetEpoch(), got.GetVersion(), got.GetEvidence()
	return nil
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
	for _, c := range saved.GetEvidence().GetUncertainCrashes() {
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
