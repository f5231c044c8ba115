package control

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Bounds of what followers of a large deployment may ask of a replica.
const (
	// pacedFrom is the number of followers, and pacedFromTargets that of targets, beyond which a replica states an
	// interval. Up to both, followers keep intervals of their own, and also while no service is large and the replica is
	// not behind: answers are small then.
	pacedFrom        = 100
	pacedFromTargets = 1000
	// intervalPerFollower is the interval for each follower: a replica that is not behind answers 1,000 exchanges
	// a second.
	intervalPerFollower = time.Millisecond
	// minInterval and maxInterval bound the interval: an instance without requests exchanges its uses once in two of
	// them, and they expire after useTTL.
	minInterval = 50 * time.Millisecond
	maxInterval = 1400 * time.Millisecond
	// answerBytesPerSecond is what all followers together may receive in a second as uses and loads: at 300 instances, each
	// is told of its subset within about a second. Beyond manyFollowers it is less by their number, so that an instance
	// receives less than 2 KB a second when there are 1,100.
	answerBytesPerSecond = 4 << 20
	manyFollowers        = 400
)

// A replica is behind by the time that its own timers are late: its processor is in use.
const (
	// lateInterval is the interval at which it is measured, and lateWeight the weight of the newest measurement.
	lateInterval = 50 * time.Millisecond
	lateWeight   = 0.1
	// slowDownFrom is the lateness from which intervals grow, and speedUpTo the one up to which they shrink, by
	// factors for each measurement: they double in a second and halve in four.
	slowDownFrom   = 20 * time.Millisecond
	speedUpTo      = 8 * time.Millisecond
	slowDownFactor = 1.035
	speedUpFactor  = 0.991
	maxSlowDown    = 8
	// shedFrom is the lateness from which uses and loads are left out of answers, except for one in shedInterval to each
	// follower: without any, followers would choose engines by what they remember.
	shedFrom     = 150 * time.Millisecond
	shedInterval = 1500 * time.Millisecond
)

// pace decides at which interval followers may ask, from how late the replica's own timers are. It is safe for
// concurrent use.
type pace struct {
	mu       sync.Mutex // guards the rest; never held while another lock is taken
	late     time.Duration
	slowDown float64
}

func newPace() *pace { return &pace{slowDown: 1} }

// observe records by how much a timer was late.
func (p *pace) observe(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late += time.Duration(lateWeight * float64(late-p.late))
	switch {
	case p.late > slowDownFrom:
		p.slowDown = min(maxSlowDown, p.slowDown*slowDownFactor)
	case p.late < speedUpTo:
		p.slowDown = max(1, p.slowDown*speedUpFactor)
	}
}

// terms is what a follower is told.
type terms struct {
	interval       time.Duration // 0 for an interval of its own
	bytesPerSecond uint32        // 0 for no bound
	shed           bool          // it gets no uses and loads
}

// termsFor returns the terms of each of a number of followers, with a number of targets listed. Large tells whether there
// is a service of which followers keep subsets.
func (p *pace) termsFor(followers, targets int, large bool) terms {
	if followers <= pacedFrom && targets <= pacedFromTargets {
		return terms{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !large && p.slowDown <= 1 {
		return terms{}
	}
	interval := time.Duration(p.slowDown * float64(followers) * float64(intervalPerFollower))
	return terms{
		interval:       min(maxInterval, max(minInterval, interval)),
		bytesPerSecond: uint32(answerBytesPerSecond / p.slowDown / float64(max(1, followers)) * min(1, manyFollowers/float64(max(1, followers)))),
		shed:           p.late > shedFrom,
	}
}

// state returns the mean lateness and the factor by which intervals are longer.
func (p *pace) state() (time.Duration, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late, p.slowDown
}

// Lateness returns by how much the replica's timers are late.
func (s *Service) Lateness() time.Duration {
	late, _ := s.pace.state()
	return late
}

// SlowDown returns the factor by which the intervals of followers are longer because the replica is behind.
func (s *Service) SlowDown() float64 {
	_, factor := s.pace.state()
	return factor
}

// Shed returns the number of answers without uses and loads because the replica was behind.
func (s *Service) Shed() uint64 { return s.shed.Load() }

// MeasureLateness measures how late the replica's timers are until the context ends. It then sends nil on the
// returned channel.
func (s *Service) MeasureLateness(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		timer := time.NewTimer(lateInterval)
		defer timer.Stop()
		due, shedding := s.timers.Now()+lateInterval, false
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-timer.C:
			}
			now := s.timers.Now()
			s.pace.observe(max(0, now-due))
			late, slowDown := s.pace.state()
			// Half of the bound ends it, so that a replica at the bound does not log all the time.
			if behind := late > shedFrom || shedding && late > shedFrom/2; behind != shedding {
				shedding = behind
				s.log.Info("uses and loads left out of answers", "begins", behind, "late-ms", late.Milliseconds(), "slow-down", slowDown, "answers", s.Shed())
			}
			due = now + lateInterval
			timer.Reset(lateInterval)
		}
	}()
	return done
}

// addTerms states the terms of a follower that keeps them, and reports whether the answer is to hold uses and loads.
func (s *Service) addTerms(r *wire.FollowRequest, answer *wire.FollowResponse) (told bool) {
	if !r.GetPaced() {
		return true
	}
	list, version := s.publisher.listVersion()
	t := s.pace.termsFor(int(answer.GetFollowers()), len(list), s.subsets.hasLarge(list, version))
	answer.IntervalMs, answer.BytesPerSecond = uint32(t.interval.Milliseconds()), t.bytesPerSecond
	answer.Shed = t.shed && !s.subsets.due(r.GetInstance(), s.timers.Now())
	if answer.GetShed() {
		s.shed.Add(1)
	}
	return !answer.GetShed()
}

// maxAnswers is how many answers to followers are made at the same time. The others wait where they do not keep the
// goroutines that deliver messages of the log from running.
const maxAnswers = 4

// beginAnswer waits until an answer to a follower may be made.
func (s *Service) beginAnswer(ctx context.Context) error {
	select {
	case s.answering <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endAnswer lets another answer be made.
func (s *Service) endAnswer() { <-s.answering }
