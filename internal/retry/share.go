package retry

import "time"

const (
	// usableSlack is the part of the slack that the instances share; the rest covers that a target counts
	// a request at another time than the instance that sends it.
	usableSlack = 0.95
	// startPart is the part of what each instance has that it has from its start on. The process before may
	// have used as much in the same window, so that no more of it is used at any time.
	startPart = 0.5
	// manyInstances is the number of instances from which on an equal part of the slack is less than the runs
	// that one of them loses when an engine ends, and minResumptions how many it may resume in a window
	// all the same.
	manyInstances  = 13
	minResumptions = 4
	// heldWindows is for how many windows a number of instances counts: one that is not heard of for a while may
	// still be using its share, so that those of the others must not grow by it.
	heldWindows = 6
	// knownDivisor divides the window; the quotient is for how long a number of instances that was told is
	// taken for known. The part in the slack begins as much later than a window after the start, so that an
	// instance that does not know of a new one has stopped using its part a window before that one begins.
	knownDivisor = 4
)

// Share is what one instance may repeat in a window beside the ratio: what each instance has, and a part of
// the slack that all instances share. It is the same for each service. It is not safe for concurrent use.
//
// An instance may use half of what it has for itself at any time: the process in whose place it was started
// may have used as much in the same window. It has no part of the slack in the window after its start and a
// little longer, until the others count it, nor while it has not been told the number of instances lately:
// others may have been started meanwhile. After so long without being told that the others may not count it
// any more it waits as after a start.
type Share struct {
	window time.Duration
	slack  float64 // of all instances
	each   float64 // of each instance in addition
	start  time.Duration
	joined time.Duration // from when on the others count it
	last   int           // the number of instances that was told last, 0 for none
	toldAt time.Duration
	most   [heldWindows + 1]int // the largest number of instances, by window
	newest int64                // number of the newest window since the start of the clock
}

// NewShare returns the share of an instance that starts now, in the slack of all instances and what each has
// in addition.
func NewShare(window time.Duration, slack, each float64, now time.Duration) *Share {
	return &Share{window: window, slack: slack, each: each, start: now, joined: now, newest: int64(now / window)}
}

// UpdateInstances updates the number of instances.
func (s *Share) UpdateInstances(n int, now time.Duration) {
	s.advance(now)
	if s.last > 0 && now-s.toldAt > (heldWindows-1)*s.window {
		s.joined = now
	}
	s.last, s.toldAt = n, now
	most := &s.most[s.newest%int64(len(s.most))]
	*most = max(*most, n)
}

// Reserve returns how many repeats of a service's requests the instance may send in a window beside the ratio.
func (s *Share) Reserve(now time.Duration) float64 {
	own := s.each * startPart
	if now-s.start <= s.window {
		return own
	}
	known := s.window / knownDivisor
	if s.last == 0 || now-s.toldAt > known || now-s.joined <= s.window+known {
		return own
	}
	s.advance(now)
	instances := 0
	for _, n := range s.most {
		instances = max(instances, n)
	}
	return own + usableSlack*s.slack/float64(instances)
}

// ResumptionReserve is Reserve for repeats that resume a run. Where many instances share the slack, most resume
// no run in a window and a few of them several: each may resume minResumptions then. That the sum of all keeps
// to the slack follows there from their number, and not in the worst case.
func (s *Share) ResumptionReserve(now time.Duration) float64 {
	if s.last < manyInstances {
		return s.Reserve(now)
	}
	return max(s.Reserve(now), minResumptions)
}

// advance begins the windows until now. The number of instances that was told last holds in them.
func (s *Share) advance(now time.Duration) {
	number := int64(now / s.window)
	for s.newest < number {
		s.newest = max(s.newest+1, number-int64(len(s.most)))
		s.most[s.newest%int64(len(s.most))] = s.last
	}
}
