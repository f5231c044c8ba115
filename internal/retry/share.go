package retry

import "time"

const (
	// usableSlack is the part of the slack that the instances share; the rest covers that a target counts
	// a request at another time than the instance that sends it.
	usableSlack = 0.95
	// heldWindows is for how many windows a number of instances counts. An instance that the others do
	// not hear of for a while goes on with the share that it had.
	heldWindows = 6
)

// Share is the share of one instance in the repeats that all instances together may send in a window beside
// the ratio. It is the same for each service. It is not safe for concurrent use.
//
// An instance has no share before it has run for a window: the process in whose place it was started may
// have used up its own, and the others count the new one by then. It has none either while it has not been
// told the number of instances for a window: others may have been started meanwhile.
type Share struct {
	window time.Duration
	slack  float64
	start  time.Duration
	last   int // the number of instances that was told last, 0 for none
	toldAt time.Duration
	most   [heldWindows + 1]int // the largest number of instances, by window
	newest int64                // number of the newest window since the start of the clock
}

// NewShare returns the share in a slack of an instance that starts now.
func NewShare(window time.Duration, slack float64, now time.Duration) *Share {
	return &Share{window: window, slack: slack, start: now, newest: int64(now / window)}
}

// UpdateInstances updates the number of instances.
func (s *Share) UpdateInstances(n int, now time.Duration) {
	s.advance(now)
	s.last, s.toldAt = n, now
	most := &s.most[s.newest%int64(len(s.most))]
	*most = max(*most, n)
}

// Reserve returns how many repeats of a service's requests the instance may send in a window beside the ratio.
func (s *Share) Reserve(now time.Duration) float64 {
	if s.last == 0 || now-s.start <= s.window || now-s.toldAt > s.window {
		return 0
	}
	s.advance(now)
	instances := 0
	for _, n := range s.most {
		instances = max(instances, n)
	}
	return usableSlack * s.slack / float64(instances)
}

// advance begins the windows until now. The number of instances that was told last holds in them.
func (s *Share) advance(now time.Duration) {
	number := int64(now / s.window)
	for s.newest < number {
		s.newest = max(s.newest+1, number-int64(len(s.most)))
		s.most[s.newest%int64(len(s.most))] = s.last
	}
}
