package balance

import "time"

// Weights of a score. That of a plain service's target is the fraction of its slots in use plus the
// costs below; that of an engine is a comparable weighted sum. The target with the lowest score is
// chosen.
const (
	// crossDomainCost is added for a target in another failure domain: the traffic
	// between domains has a cost, and a partition would break the request.
	crossDomainCost = 0.5
	// failureCost is added for a target of which every recent request failed.
	failureCost = 2.0
	// warmupCost is added for a target that is warming up.
	warmupCost = 0.25
	// prefillUnit is the number of prompt tokens in flight to an engine that adds 1 to its
	// score, as much as all slots in use add for a plain service.
	prefillUnit = 8000
	// batchWeight is the weight of an engine's batch: each further request slows its
	// steps slightly.
	batchWeight = 0.3
	// memoryThreshold is the fraction of an engine's memory up to which memory does not
	// affect its score; memoryCost is the weight of the fraction beyond it.
	memoryThreshold = 0.6
	memoryCost      = 3.0
	// partitionCost is added for the targets of another failure domain that is considered
	// partitioned because one of its targets was unreachable.
	partitionCost = 1.0
	// jitterPerInstance is the width of the random part of the score of a copy's holder for
	// each instance that chooses among the same engines, up to maxJitter.
	jitterPerInstance = 0.004
	maxJitter         = 0.3
)

// score ranks a target. An ejected target ranks after all that are not ejected, so that it is
// used only if there is none of these.
func (b *Balancer) score(t *Target, tokens int, now time.Duration) float64 {
	score := b.loadScore(t, tokens, now) + failureCost*t.failureRate
	if t.domain != b.domain {
		score += crossDomainCost
		if now < b.partitionedUntil[t.domain] {
			score += partitionCost
		}
	}
	if now < t.warmupUntil {
		score += warmupCost
	}
	if now < t.ejectedUntil {
		score += 100 * failureCost
	}
	return score
}

// jitterWidth returns the width of the random part where other instances choose at the same moment: all
// that have runs at an engine learn together that it is leaving.
func (b *Balancer) jitterWidth() float64 {
	return min(maxJitter, jitterPerInstance*float64(b.instances))
}

// likelySlots returns the target's number of slots, or what is assumed if it does not report any.
func (t *Target) likelySlots() int {
	if t.slots == 0 {
		return defaultSlots
	}
	return t.slots
}

// loadScore returns the load of a target with another request: the fraction of its slots
// in use for a plain service, and for an engine a weighted sum of prompts in flight, batch and waiting
// requests, which its speed divides, and memory. The request itself counts as well, since a slow
// engine without load serves it later than a fast one with some.
func (b *Balancer) loadScore(t *Target, tokens int, now time.Duration) float64 {
	slots := t.likelySlots()
	if tokens == 0 {
		return float64(t.open) / float64(slots)
	}
	work := b.prompts(t, now)/prefillUnit + batchWeight*float64(t.batch())/float64(slots) + waitingCost*float64(t.load.waiting)
	score := work/t.speedAt(now) + t.step(tokens, now)
	if memory, known := t.memory(tokens, now); known && memory > memoryThreshold {
		score += memoryCost * (memory - memoryThreshold)
	}
	return score
}

// step returns what another request like the one that needs a number of tokens adds to the score of an engine.
func (t *Target) step(tokens int, now time.Duration) float64 {
	return (float64(tokens)/prefillUnit + batchWeight/float64(t.likelySlots())) / t.speedAt(now)
}
