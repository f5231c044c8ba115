package experiment

import (
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/admission"
)

// Result holds the figures of one run.
type Result struct {
	Setup Setup

	Requests    int
	Completed   int
	Refusals    map[admission.Reason]int
	Preemptions float64 // per 1,000 requests
	StallTime   float64 // seconds of silences of at least a second, per 1,000 requests
	Between     [3]time.Duration
	FirstToken  time.Duration // 95th percentile
	Worth       float64       // worth answered whole with a first token in time, per second of arrivals
	Offered     float64       // worth offered, per second of arrivals
	SmallShare  float64       // tokens of small organisations against their fair part
	Tokens      float64       // generated tokens a second

	preemptions int
	stalls      time.Duration
	gaps        []time.Duration
	firsts      []time.Duration
	worth       float64
	offered     float64
	orgTokens   []float64
	orgOffered  []float64
	tokens      int
}

func newResult(s Setup) *Result {
	return &Result{
		Setup: s, Refusals: map[admission.Reason]int{},
		orgTokens: make([]float64, len(s.Mix.organisations)), orgOffered: make([]float64, len(s.Mix.organisations)),
	}
}

func (r *Result) offer(a arrival) {
	r.Requests++
	r.offered += r.Setup.Mix.classes[a.class].worth
	r.orgOffered[a.org] += float64(a.prompt + a.output)
}

func (r *Result) refuse(reason admission.Reason) { r.Refusals[reason]++ }

func (r *Result) complete(s *requestState) {
	r.Completed++
	if c := r.Setup.Mix.classes[s.class]; s.firstAt <= s.at+c.deadline {
		r.worth += c.worth
	}
	r.orgTokens[s.org] += float64(s.prompt + s.output)
}

func (r *Result) token(s *requestState, now time.Duration) {
	if now > r.warm() && now <= r.Setup.Length {
		r.tokens++
	}
	if !s.first {
		s.first, s.firstAt = true, now
		r.firsts = append(r.firsts, now-s.at)
		return
	}
	gap := now - s.last
	r.gaps = append(r.gaps, gap)
	if gap >= stallNotable {
		r.stalls += gap
	}
}

// warm is when the rate of tokens begins to be measured.
func (r *Result) warm() time.Duration { return r.Setup.Length / 3 }

// finish computes the figures from what was counted.
func (r *Result) finish() {
	length := r.Setup.Length.Seconds()
	thousands := float64(max(1, r.Requests)) / 1000
	r.Preemptions = float64(r.preemptions) / thousands
	r.StallTime = r.stalls.Seconds() / thousands
	slices.Sort(r.gaps)
	slices.Sort(r.firsts)
	for i, q := range []float64{0.5, 0.95, 0.99} {
		r.Between[i] = quantile(r.gaps, q)
	}
	r.FirstToken = quantile(r.firsts, 0.95)
	r.Worth, r.Offered = r.worth/length, r.offered/length
	r.Tokens = float64(r.tokens) / (r.Setup.Length - r.warm()).Seconds()
	r.SmallShare = r.smallShare()
	r.gaps, r.firsts = nil, nil
}

// smallShare returns the served part of the small organisations' demand against
// what max-min fairness by weight would give them.
func (r *Result) smallShare() float64 {
	const largest = 3
	fair := r.fairTokens()
	got, due := 0.0, 0.0
	for i := largest; i < len(r.orgTokens); i++ {
		got += r.orgTokens[i]
		due += fair[i]
	}
	if due == 0 {
		return 1
	}
	return got / due
}

// fairTokens divides the served tokens by weighted max-min fairness, no
// organisation above its demand.
func (r *Result) fairTokens() []float64 {
	total := 0.0
	for _, t := range r.orgTokens {
		total += t
	}
	fair := make([]float64, len(r.orgTokens))
	satisfied := make([]bool, len(fair))
	for range fair {
		weights, left := 0.0, total
		for i := range fair {
			if satisfied[i] {
				left -= fair[i]
				continue
			}
			weights += r.Setup.Mix.weights[i]
		}
		again := false
		for i := range fair {
			if satisfied[i] {
				continue
			}
			fair[i] = left * r.Setup.Mix.weights[i] / weights
			if r.orgOffered[i] <= fair[i] {
				fair[i], satisfied[i], again = r.orgOffered[i], true, true
			}
		}
		if !again {
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
