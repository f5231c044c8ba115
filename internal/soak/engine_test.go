package soak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// engineFaults are the kinds of faults that makeEngineFaults draws.
var engineFaults = []fault{faultCut, faultEnd, faultCut, faultEnd, faultQuiet, faultMute}

// Bounds on the interval between the starts of two engine faults and on how long an engine is silent.
const (
	minEngineFaultInterval = 100 * time.Millisecond
	maxEngineFaultInterval = 600 * time.Millisecond
	minSilence             = 500 * time.Millisecond
	maxSilence             = 1500 * time.Millisecond
	// engineFaultFactor is how many times as long as others engine faults come, so that a seed exceeds a
	// retryWindow.
	engineFaultFactor = 2
)

const (
	// maxOverlap is how long a run may go on at an engine after it has been resumed at another one.
	maxOverlap = 400 * time.Millisecond
	// In any retryWindow a service may get retrySlack arrivals beyond the first of each request, and
	// retryRatio of its requests.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 21
)

// slowCallers is how many callers of each instance keep a long stream open while engine faults come alone.
const slowCallers = 6

// makeEngineFaults draws the engine faults of a seed.
func makeEngineFaults(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 5))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low+1)))
	}
	var out []step
	for at := between(minEngineFaultInterval, maxEngineFaultInterval); at < length; at += between(minEngineFaultInterval, maxEngineFaultInterval) {
		s := step{at: at, fault: engineFaults[random.IntN(len(engineFaults))]}
		engine := engineName(random.IntN(engineCount))
		switch s.fault {
		case faultCut, faultEnd:
			s.subject, s.to = []string{anySource, halfOfSources}[random.IntN(2)], engine
		default:
			s.subject, s.duration = engine, between(minSilence, maxSilence)
		}
		out = append(out, s)
	}
	return out
}

// runEngineStep runs an engine fault until it has ended.
func (c *cluster) runEngineStep(s step) {
	switch s.fault {
	case faultCut:
		c.net.reset(link{s.subject, s.to})
	case faultEnd:
		c.net.end(link{s.subject, s.to})
	default:
		c.target(s.subject).FallSilent(s.duration, s.fault == faultMute)
		time.Sleep(s.duration)
	}
}

// engineFindings checks runs at two engines. It does so unless there were faults that excuse an instance or
// keep it from reaching an engine; engine faults and troubles do neither.
func (l *load) engineFindings(steps []step) []string {
	if slices.ContainsFunc(steps, func(s step) bool { return !isTrouble(s) && !slices.Contains(engineFaults, s.fault) }) {
		return nil
	}
	return checkOverlaps(l.cluster.fleet.Works())
}

// checkOverlaps finds runs that went on at an engine though they had been resumed at another one.
func checkOverlaps(works []platformtest.Work) []string {
	byRequest := map[string][]platformtest.Work{}
	var out []string
	for _, second := range works {
		for _, first := range byRequest[second.Request] {
			if first.Target != second.Target && (first.To.IsZero() || first.To.Sub(second.From) > maxOverlap) {
				out = append(out, fmt.Sprintf("request %s ran at %s until %s after it had been resumed at %s at %s, which worked on it for %s",
					second.Request, first.Target, first.To.Sub(second.From), second.Target, second.From.Format("15:04:05.000"), second.To.Sub(second.From)))
			}
		}
		byRequest[second.Request] = append(byRequest[second.Request], second)
	}
	return out
}

// summarise counts the runs of engines, for the log of a seed.
func summarise(works []platformtest.Work) string {
	resumed := 0
	for _, w := range works {
		if w.Resumed {
			resumed++
		}
	}
	return fmt.Sprintf("%d runs at engines, %d of them resumed", len(works), resumed)
}

// checkRetryBudget counts, by service, the arrivals beyond the first of each request, whether targets ran or
// refused them. Requests count in the window, the one before it, or the one half a window before it, whichever
// has most.
func checkRetryBudget(records []requestRecord, arrivals []platformtest.Arrival) []string {
	streams := map[string]bool{}
	sent := map[bool][]time.Time{}
	for _, r := range records {
		isStream := r.kind == kindStream || r.kind == kindContinued
		streams[r.request.ID] = isStream
		sent[isStream] = append(sent[isStream], r.from)
	}
	repeats := map[bool][]time.Time{}
	arrived := map[string]bool{}
	for _, a := range arrivals {
		if isStream, ok := streams[a.Request]; ok && arrived[a.Request] {
			repeats[isStream] = append(repeats[isStream], a.At)
		}
		arrived[a.Request] = true
	}
	var out []string
	for isStream, times := range repeats {
		if finding := checkRetryWindows(times, sent[isStream]); finding != "" {
			out = append(out, fmt.Sprintf("streams %v: %s", isStream, finding))
		}
	}
	return out
}

// checkRetryWindows returns the window of one service that exceeds its retry budget the most, or the empty
// string.
func checkRetryWindows(repeats, sent []time.Time) string {
	slices.SortFunc(repeats, time.Time.Compare)
	var out string
	worst := 0.0
	for _, end := range repeats {
		count := countWithin(repeats, end)
		requests := max(countWithin(sent, end), countWithin(sent, end.Add(-retryWindow/2)), countWithin(sent, end.Add(-retryWindow)))
		allowed := retryRatio*float64(requests) + retrySlack
		if excess := float64(count) - allowed; excess > worst {
			worst = excess
			out = fmt.Sprintf("%d arrivals beyond the first of each request in %s until %s, allowed %.1f for %d requests", count, retryWindow, end.Format("15:04:05.000"), allowed, requests)
		}
	}
	return out
}

// countWithin counts the times in the retryWindow that ends at a time.
func countWithin(times []time.Time, end time.Time) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < retryWindow {
			count++
		}
	}
	return count
}

// TestOverlapCheck checks that the check finds two engines at work on one request, and only these.
func TestOverlapCheck(t *testing.T) {
	at := func(milliseconds int) time.Time { return time.UnixMilli(int64(milliseconds)) }
	work := func(request, target string, from, to int) platformtest.Work {
		return platformtest.Work{Request: request, Target: target, From: at(from), To: at(to)}
	}
	first := work("r", "a", 0, 1400)
	endless := first
	endless.To = time.Time{}
	for name, c := range map[string]struct {
		works    []platformtest.Work
		findings int
	}{
		"soon":          {[]platformtest.Work{first, work("r", "b", 1000, 3000)}, 0},
		"too long":      {[]platformtest.Work{first, work("r", "b", 999, 3000)}, 1},
		"cancelled":     {[]platformtest.Work{first, work("r", "b", 500, 501)}, 1},
		"without end":   {[]platformtest.Work{endless, work("r", "b", 1000, 3000)}, 1},
		"other request": {[]platformtest.Work{first, work("s", "b", 0, 3000)}, 0},
		"same engine":   {[]platformtest.Work{first, work("r", "a", 0, 3000)}, 0},
		"third":         {[]platformtest.Work{first, work("r", "b", 100, 200), work("r", "c", 300, 3000)}, 2},
	} {
		require.Len(t, checkOverlaps(c.works), c.findings, name)
	}
}

// TestRetryBudgetCheck checks that the check counts resumptions and refused arrivals of all instances, by
// service and window.
func TestRetryBudgetCheck(t *testing.T) {
	at := func(milliseconds int) time.Time { return time.UnixMilli(int64(milliseconds)) }
	// Requests come every 100 ms, so that 100 of them in a window allow 20 and the slack.
	var records []requestRecord
	var once, repeated []platformtest.Arrival
	for i := range 200 {
		id := fmt.Sprint(i)
		records = append(records, requestRecord{kind: kindStream, request: platformtest.Request{ID: id}, from: at(100 * i)})
		once = append(once, platformtest.Arrival{Request: id, At: at(100 * i)})
		repeated = append(repeated, platformtest.Arrival{Request: id, At: at(100*i + 10)})
	}
	mix := func(repeats []platformtest.Arrival) []platformtest.Arrival {
		out := slices.Concat(once, repeats)
		slices.SortStableFunc(out, func(a, b platformtest.Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
		return out
	}
	require.Empty(t, checkRetryBudget(records, mix(nil)))
	require.Empty(t, checkRetryBudget(records, mix(repeated[100:141])))
	require.Len(t, checkRetryBudget(records, mix(repeated[100:142])), 1)
	spread := slices.Concat(repeated[59:100], repeated[159:200])
	require.Empty(t, checkRetryBudget(records, mix(spread)), "in two windows")
	late := slices.Repeat([]platformtest.Arrival{{Request: "0", At: at(29_000)}}, 41)
	require.Empty(t, checkRetryBudget(records, mix(late)), "the requests of the window before count")
	for i := range records[:100] {
		records[i].kind = kindSafe
	}
	require.Len(t, checkRetryBudget(records, mix(repeated[120:163])), 1, "of one service")
	require.Empty(t, checkRetryBudget(records, mix(slices.Concat(repeated[79:100], repeated[100:121]))), "of two services")
}

// TestEngineFaultPlan checks that a seed always gives the same engine faults and that each kind occurs.
func TestEngineFaultPlan(t *testing.T) {
	seen := map[fault]bool{}
	for seed := range uint64(10) {
		steps := makeEngineFaults(seed, 10*time.Second)
		require.Equal(t, steps, makeEngineFaults(seed, 10*time.Second))
		for _, s := range steps {
			seen[s.fault] = true
		}
	}
	require.Len(t, seen, 4)
}
