package admission

import (
	"github.com/vanillaward/vanillaward"
)

// Verify that the policies implement the root interface.
var (
	_ vanillaward.RoutingPolicy = RandomChoice{}
	_ vanillaward.RoutingPolicy = LeastOutstanding{}
	_ vanillaward.RoutingPolicy = TwoChoices{}
	_ vanillaward.RoutingPolicy = ReserveLongest{}
	_ vanillaward.RoutingPolicy = PredictedPeak{}
)

// RandomChoice chooses candidates at random, which distributes requests similarly to
// round-robin but needs no state.
type RandomChoice struct{}

// Name implements vanillaward.RoutingPolicy.
func (RandomChoice) Name() string { return "round-robin" }

// Choose implements vanillaward.RoutingPolicy.
func (RandomChoice) Choose(_ vanillaward.RoutingRequest, candidates []vanillaward.Candidate, random uint64) int {
	return availableFrom(candidates, random)
}

// availableFrom returns the index of the first available candidate from a random
// start, or -1.
func availableFrom(candidates []vanillaward.Candidate, random uint64) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	start := int(random % uint64(n))
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		if candidates[at].Available {
			return at
		}
	}
	return -1
}

// LeastOutstanding chooses the candidate with the fewest requests.
type LeastOutstanding struct{}

// Name implements vanillaward.RoutingPolicy.
func (LeastOutstanding) Name() string { return "least-outstanding" }

// Choose implements vanillaward.RoutingPolicy.
func (LeastOutstanding) Choose(_ vanillaward.RoutingRequest, candidates []vanillaward.Candidate, random uint64) int {
	best := availableFrom(candidates, random)
	for i := range candidates {
		if candidates[i].Available && candidates[i].Running < candidates[best].Running {
			best = i
		}
	}
	return best
}

// TwoChoices chooses the one of two random candidates that uses less memory.
type TwoChoices struct{}

// Name implements vanillaward.RoutingPolicy.
func (TwoChoices) Name() string { return "two-choices" }

// Choose implements vanillaward.RoutingPolicy.
func (TwoChoices) Choose(_ vanillaward.RoutingRequest, candidates []vanillaward.Candidate, random uint64) int {
	first := availableFrom(candidates, random&0xffffffff)
	second := availableFrom(candidates, random>>32)
	if first >= 0 && candidates[second].UsedTokens < candidates[first].UsedTokens {
		return second
	}
	return first
}

// ReserveLongest admits a request only where its longest output fits in addition to
// the longest outputs of all others.
type ReserveLongest struct{}

// Name implements vanillaward.RoutingPolicy.
func (ReserveLongest) Name() string { return "reserve-longest" }

// Choose implements vanillaward.RoutingPolicy.
func (ReserveLongest) Choose(r vanillaward.RoutingRequest, candidates []vanillaward.Candidate, _ uint64) int {
	best, bestFree := -1, -1.0
	for i := range candidates {
		c := &candidates[i]
		free := c.CapacityTokens - c.ReservedTokens - float64(r.PromptTokens+r.LongestTokens)
		if c.Available && c.Running < c.BatchCap && (free >= 0 || c.Running == 0) && free > bestFree {
			best, bestFree = i, free
		}
	}
	return best
}

// PredictedPeak admits a request where the predicted peak of the batch stays
// below the capacity, and chooses the least loaded of such candidates.
type PredictedPeak struct {
	// Deviations is the number of standard deviations that are added to the mean of
	// the forecast memory; the sum must stay within the capacity.
	Deviations float64
	// Headroom is the fraction of the capacity that is kept free in addition.
	Headroom float64
	// UrgentHeadroom is the further fraction that only urgent requests may use.
	UrgentHeadroom float64
	// PrefixBonus is how much more loaded a candidate may be, as a fraction of its
	// capacity, when it has the prompt's prefix in its cache.
	PrefixBonus float64
	// Samples is the number of random candidates that are compared; 0 compares
	// all. With a small number, fewer instances choose the same candidate.
	Samples int
}

// DefaultPolicy returns the policy that the system uses.
func DefaultPolicy() PredictedPeak {
	return PredictedPeak{Deviations: 1.5, Headroom: 0.02, UrgentHeadroom: 0.03, PrefixBonus: 0.05, Samples: 2}
}

// urgentSlotsDivisor determines the slots of a batch that only urgent requests may
// use: the batch cap divided by it.
const urgentSlotsDivisor = 16

// Name implements vanillaward.RoutingPolicy.
func (PredictedPeak) Name() string { return "predicted-peak" }

// Choose implements vanillaward.RoutingPolicy.
func (p PredictedPeak) Choose(r vanillaward.RoutingRequest, candidates []vanillaward.Candidate, random uint64) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	headroom := p.Headroom
	if r.Urgency == 0 {
		headroom += p.UrgentHeadroom
	}
	best, bestLoad, fitting := -1, 0.0, 0
	at := int(random % uint64(n))
	for range n {
		c := &candidates[at]
		if load, ok := p.load(c, &r, headroom); ok {
			if at == r.PrefixTarget {
				load -= p.PrefixBonus
			}
			if best < 0 || load < bestLoad {
				best, bestLoad = at, load
			}
			if fitting++; p.Samples > 0 && fitting >= p.Samples {
				break
			}
		}
		if at++; at == n {
			at = 0
		}
	}
	return best
}

// load returns the load that the candidate would have with the request, and whether
// the request fits. The load is the larger of two fractions: the highest forecast
// mean of the memory of the capacity, and the running requests of the batch cap.
func (p PredictedPeak) load(c *vanillaward.Candidate, r *vanillaward.RoutingRequest, headroom float64) (float64, bool) {
	slots := c.BatchCap
	if r.Urgency == 0 {
		slots -= c.BatchCap / urgentSlotsDivisor
	}
	if !c.Available || c.Running >= slots {
		return 0, false
	}
	limit := c.CapacityTokens * (1 - headroom)
	deviationsSquared := p.Deviations * p.Deviations
	peak, need := 0.0, 0.0
	for i := range c.Forecast {
		mean := c.Forecast[i].Mean + r.Forecast[i].Mean
		free := limit - mean
		if c.Running > 0 && (free < 0 || free*free < deviationsSquared*(c.Forecast[i].Variance+r.Forecast[i].Variance)) {
			return 0, false
		}
		peak = max(peak, mean)
		need = max(need, r.Forecast[i].Mean)
	}
	if need > c.Allowance {
		return 0, false
	}
	return max(peak/c.CapacityTokens, float64(c.Running+1)/float64(c.BatchCap)), true
}
