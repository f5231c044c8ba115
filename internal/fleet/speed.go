package fleet

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward"
)

// The nominal cost of a decode step, of which only the ratio of the two parts matters: speeds are compared
// with the median of the service.
const (
	nominalStep       = 7 * time.Millisecond
	nominalStepPerRun = 120 * time.Microsecond
	// tokensPerEvent is the number of tokens of an event of a stream.
	tokensPerEvent = 4
)

// Bounds of the estimate of an engine's speed.
const (
	// A window is the time between two readings of an engine's runs. A shorter one than minWindow says
	// little, since events are counted whole; a longer one than maxWindow may hide that runs stood still.
	minWindow = 300 * time.Millisecond
	maxWindow = 1500 * time.Millisecond
	// windowsKept is the number of windows of an estimate, 8 s of readings, and windowsNeeded how many it
	// takes at least.
	windowsKept   = 16
	windowsNeeded = 3
	rankDivisor   = 5
	// stalledFraction is the fraction of the median progress of the runs of an engine below which a run
	// counts as stalled or preempted for a part of the window.
	stalledFraction = 0.7
	// speedUnit is the unit of a speed in a load.
	speedUnit = 1000
)

// speedometer estimates the decode speed of one engine from successive readings of its runs: the nominal
// time of the steps that the runs made, divided by the time that passed.
//
// While an engine processes prompts its runs progress less, and prompts that begin and end between two
// readings are not seen. The estimate is therefore an upper quantile of the windows.
type speedometer struct {
	startedMs uint64
	readAt    time.Duration
	runs      map[string]int // events made by each run at the last reading
	windows   []float64      // the newest last
}

// read adds a reading of an engine and returns the estimated speed, or 0 if it is not known. An engine that
// has started again is another one.
func (s *speedometer) read(runs []vanillaward.RunProgress, startedMs uint64, now time.Duration) float64 {
	if s.runs != nil && startedMs != s.startedMs {
		*s = speedometer{}
	}
	previous, elapsed := s.runs, now-s.readAt
	if previous != nil && elapsed < minWindow {
		return s.estimate()
	}
	s.startedMs, s.readAt, s.runs = startedMs, now, make(map[string]int, len(runs))
	for _, r := range runs {
		s.runs[r.Request] = r.Events
	}
	if previous == nil || elapsed > maxWindow {
		return s.estimate()
	}
	if events := progress(previous, s.runs); events > 0 {
		batch := float64(len(previous)+len(s.runs)) / 2
		step := nominalStep.Seconds() + batch*nominalStepPerRun.Seconds()
		s.windows = append(s.windows, events*tokensPerEvent*step/elapsed.Seconds())
		s.windows = s.windows[max(0, len(s.windows)-windowsKept):]
		return s.estimate()
	}
	return 0 // nothing was measured, the follower keeps the last speed for a while
}

// estimate returns the second highest of the windows, of many the third highest: the highest is often one that
// was longer at the engine than between the readings.
func (s *speedometer) estimate() float64 {
	n := len(s.windows)
	if n < windowsNeeded {
		return 0
	}
	return slices.Sorted(slices.Values(s.windows))[n-max(2, n/rankDivisor)]
}

// progress returns the mean number of events that the runs of both readings have made in between, without those
// that were stalled; 0 if no run has made any.
func progress(before, after map[string]int) float64 {
	var made []int
	for request, events := range after {
		if earlier, ok := before[request]; ok && earlier > 0 && events > earlier {
			made = append(made, events-earlier)
		}
	}
	if len(made) == 0 {
		return 0
	}
	slices.Sort(made)
	least := stalledFraction * float64(made[len(made)/2])
	sum, n := 0, 0
	for _, m := range made {
		if float64(m) >= least {
			sum += m
			n++
		}
	}
	return float64(sum) / float64(n)
}
