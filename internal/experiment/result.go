package experiment

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/admission"
)

// Result holds the metrics of one run.
type Result struct {
	Setup Setup

	Requests       int
	Completed      int
	Refusals       map[admission.Reason]int
	Preemptions    float64          // per 1,000 requests
	StallTime      float64          // seconds in gaps of at least a second between tokens, per 1,000 requests
	InterToken     [3]time.Duration // time between tokens: 50th, 95th and 99th percentile
	FirstToken     time.Duration    // time to the first token: 95th percentile
	CompletedWorth float64          // worth of the complete answers whose first token met the deadline, per second of arrivals
	OfferedWorth   float64          // worth of the offered requests, per second of arrivals
	SmallShare     float64          // tokens of the small organisations divided by their fair share
	Tokens         float64          // generated tokens per second after the warm-up

	preemptions     int
	stallTime       time.Duration
	gaps            []time.Duration
	firstTokenTimes []time.Duration
	completedWorth  float64
	offeredWorth    float64
	orgTokens       []float64
	orgOffered      []float64
	tokens          int
}

func newResult(s Setup) *Result {
	return &Result{
		Setup: s, Refusals: map[admission.Reason]int{},
		orgTokens: make([]float64, len(s.Workload.organisations)), orgOffered: make([]float64, len(s.Workload.organisations)),
	}
}

func (r *Result) recordArrival(a arrival) {
	r.Requests++
	r.offeredWorth += r.Setup.Workload.classes[a.class].worth
	r.orgOffered[a.org] += float64(a.prompt + a.output)
}

func (r *Result) recordRefusal(reason admission.Reason) { r.Refusals[reason]++ }

func (r *Result) recordCompletion(s *requestState) {
	r.Completed++
	if c := r.Setup.Workload.classes[s.class]; s.firstAt <= s.at+c.deadline {
		r.completedWorth += c.worth
	}
	r.orgTokens[s.org] += float64(s.prompt + s.output)
}

func (r *Result) recordToken(s *requestState, now time.Duration) {
	if now > r.warmUpEnd() && now <= r.Setup.Duration {
		r.tokens++
	}
	if !s.hasFirst {
		s.hasFirst, s.firstAt = true, now
		r.firstTokenTimes = append(r.firstTokenTimes, now-s.at)
		return
	}
	gap := now - s.lastTokenAt
	r.gaps = append(r.gaps, gap)
	if gap >= stallThreshold {
		r.stallTime += gap
	}
}

// warmUpEnd returns the end of the warm-up, after which the rate of tokens is
// measured.
func (r *Result) warmUpEnd() time.Duration { return r.Setup.Duration / 3 }

// finish computes the metrics from the counts.
func (r *Result) finish() {
	seconds := r.Setup.Duration.Seconds()
	thousands := float64(max(1, r.Requests)) / 1000
	r.Preemptions = float64(r.preemptions) / thousands
	r.StallTime = r.stallTime.Seconds() / thousands
	slices.Sort(r.gaps)
	slices.Sort(r.firstTokenTimes)
	for i, q := range []float64{0.5, 0.95, 0.99} {
		r.InterToken[i] = quantile(r.gaps, q)
	}
	r.FirstToken = quantile(r.firstTokenTimes, 0.95)
	r.CompletedWorth, r.OfferedWorth = r.completedWorth/seconds, r.offeredWorth/seconds
	r.Tokens = float64(r.tokens) / (r.Setup.Duration - r.warmUpEnd()).Seconds()
	r.SmallShare = r.smallShare()
	r.gaps, r.firstTokenTimes = nil, nil
}

// smallShare returns the tokens that were served to the small organisations (all
// but the three largest, which come first) divided by those that weighted max-min
// fairness gives them.
func (r *Result) smallShare() float64 {
	const largeOrganisations = 3
	fair := r.fairTokens()
	served, fairTotal := 0.0, 0.0
	for i := largeOrganisations; i < len(r.orgTokens); i++ {
		served += r.orgTokens[i]
		fairTotal += fair[i]
	}
	if fairTotal == 0 {
		return 1
	}
	return served / fairTotal
}

// fairTokens divides the served tokens among the organisations by weighted max-min
// fairness. No organisation receives more than its demand.
func (r *Result) fairTokens() []float64 {
	total := 0.0
	for _, t := range r.orgTokens {
		total += t
	}
	fair := make([]float64, len(r.orgTokens))
	satisfied := make([]bool, len(fair))
	for range fair {
		weights, remaining := 0.0, total
		for i := range fair {
			if satisfied[i] {
				remaining -= fair[i]
				continue
			}
			weights += r.Setup.Workload.weights[i]
		}
		changed := false
		for i := range fair {
			if satisfied[i] {
				continue
			}
			fair[i] = remaining * r.Setup.Workload.weights[i] / weights
			if r.orgOffered[i] <= fair[i] {
				fair[i], satisfied[i], changed = r.orgOffered[i], true, true
			}
		}
		if !changed {
			break
		}
	}
	return fair
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
