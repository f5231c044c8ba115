package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// fieldBytes is the size of the tag and the length of a message in an answer.
	fieldBytes = 2
	// maxAllowanceTime is how long the bytes that a follower does not receive are kept for it.
	maxAllowanceTime = 3 * time.Second
	// minAnswerBytes is what an answer may hold however little the follower is allowed to receive, so that it
	// is always told of some targets.
	minAnswerBytes = 256
)

// allowance is how many bytes a follower may receive. Its zero value has none left.
type allowance struct {
	bytes float64
	at    time.Duration
}

// next adds what a follower may receive in the time since the last call, and returns how many bytes it may
// receive now. Rate is in bytes a second; 0 stands for no bound.
func (a *allowance) next(rate float64, now time.Duration) int {
	if rate <= 0 {
		*a = allowance{at: now}
		return maxUnbounded
	}
	elapsed := min(now-a.at, maxAllowanceTime)
	a.bytes, a.at = min(a.bytes+rate*elapsed.Seconds(), rate*maxAllowanceTime.Seconds()), now
	return int(max(0, a.bytes))
}

// maxUnbounded is the size of an answer without a bound.
const maxUnbounded = 1 << 30

// take subtracts bytes that the follower receives. What a long list costs beyond a second's bytes is not charged.
func (a *allowance) take(bytes int, rate float64) { a.bytes = max(-rate, a.bytes-float64(bytes)) }

// addUsesAndLoads adds the other instances' uses, if this replica leads, and the loads, in each case those of the
// follower's subsets, within the terms that the follower is told.
func (s *Service) addUsesAndLoads(r *wire.FollowRequest, answer *wire.FollowResponse) {
	if s.addTerms(r, answer) {
		s.addUsesAndLoadsWithin(r, answer)
		return
	}
	answer.Loads, answer.LoadsVersion = nil, r.GetLoadsVersion()
	if r.GetListEpoch() != answer.GetListEpoch() {
		answer.LoadsVersion = 0
	}
}

// addUsesAndLoadsWithin adds uses and loads within the bytes a second that an answer states.
func (s *Service) addUsesAndLoadsWithin(r *wire.FollowRequest, answer *wire.FollowResponse) {
	now := s.timers.Now()
	list, version := s.publisher.listVersion()
	s.subsets.mu.Lock()
	defer s.subsets.mu.Unlock()
	m := s.subsets.of(r, list, version, now)
	switch {
	case m == nil:
		answer.Others = s.uses.sumsExcluding(r.GetInstance(), now)
		s.addAllLoads(r, answer, now)
	case r.GetSubsetInstances() == 0:
		// The follower has its subsets chosen once it knows the number of instances, from this answer.
		answer.Loads, answer.LoadsVersion = nil, 0
	default:
		s.addPart(r, m, answer, now)
	}
}

// addAllLoads adds the loads of all targets for a follower that would get those of its subsets of a larger list.
func (s *Service) addAllLoads(r *wire.FollowRequest, answer *wire.FollowResponse, now time.Duration) {
	if !choosesLoads(r) || r.GetWithoutLoads() {
		return
	}
	since := r.GetLoadsVersion()
	if r.GetListEpoch() != s.publisher.epoch {
		since = 0
	}
	answer.Loads, answer.LoadsVersion = s.publisher.newLoads(since, now)
}

// addPart adds the uses and loads of a follower's subset that changed since it was told of them, as many as it may
// receive. It is called with the lock of the subsets held.
func (s *Service) addPart(r *wire.FollowRequest, m *members, answer *wire.FollowResponse, now time.Duration) {
	epoch := s.publisher.epoch
	known := r.GetUsesEpoch() == epoch && r.GetUsesVersion() > 0
	if !known || r.GetUsesVersion() != m.answers {
		m.forgetTold(!known)
	}
	m.answers++
	m.toldAt = now
	answer.UsesEpoch, answer.UsesVersion, answer.UsesChanges = epoch, m.answers, known
	size := proto.Size(answer)
	rate := float64(answer.GetBytesPerSecond())
	bound := max(m.allowance.next(rate, now), size+minAnswerBytes)
	leader, loads := answer.GetLeader(), !r.GetWithoutLoads()
	s.uses.mu.Lock()
	defer s.uses.mu.Unlock()
	s.publisher.mu.Lock()
	defer s.publisher.mu.Unlock()
	s.uses.expire(now)
	own := s.uses.ownUses(r.GetInstance())
	for range m.targets {
		if size >= bound {
			break
		}
		t := &m.targets[m.next]
		m.next = (m.next + 1) % len(m.targets)
		if leader {
			if use := s.uses.untold(t, own[t.id], r.GetInstance(), now); use != nil {
				answer.Others = append(answer.Others, use)
				size += fieldBytes + proto.Size(use)
			}
		}
		if loads {
			if load := s.publisher.untold(t, now); load != nil {
				answer.Loads = append(answer.Loads, load)
				size += fieldBytes + proto.Size(load)
			}
		}
	}
	m.allowance.take(size, rate)
}
