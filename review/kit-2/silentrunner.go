package main

import (
	"fmt"
	"time"
)

const (
	// silentAfter is when the runner falls silent, counted from the request, and silence for how long.
	silentAfter = 2500 * time.Millisecond
	silence     = 1200 * time.Millisecond
	// maxOverlap is how long the rule lets the runner before work on.
	maxOverlap = 400 * time.Millisecond
)

// longStream is a stream that lasts longer than half of its time budget.
var longStream = shape{events: 45, first: 100 * time.Millisecond, every: 100 * time.Millisecond}

// silentRunner sends streams that may be resumed, one after another. The runner of each falls silent for a while.
func silentRunner(d *deployment, trouble bool) (bool, error) {
	f, front, _, err := startModel(d, longStream)
	if err != nil {
		return false, err
	}
	defer f.close()
	broken := false
	for i := range streams {
		id := fmt.Sprintf("%016x", 0x51e27+i)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			requestStream(f, front, id, streamBudget)
		}()
		time.Sleep(silentAfter)
		n := f.runnerOf(id)
		if n == nil {
			return false, fmt.Errorf("no runner works on %s", id)
		}
		if trouble {
			n.fallSilent(silence)
		}
		<-ended
		time.Sleep(2 * time.Second)
		broken = overlaps(d.rec, f.worksOf(id)) || broken
	}
	return broken, nil
}

// overlaps reports whether a runner worked on a request later than maxOverlap after another one had begun to.
func overlaps(rec *record, works []work) bool {
	broken := false
	for i, second := range works {
		for _, first := range works[:i] {
			if first.runner == second.runner {
				continue
			}
			overlap := first.to - second.from
			rec.line("%s goes on at %s at %.3f s; %s works on it until %.3f s, %.0f ms later", second.request, second.runner.id, second.from.Seconds(), first.runner.id, first.to.Seconds(), float64(overlap.Milliseconds()))
			broken = broken || overlap > maxOverlap
		}
	}
	return broken
}
