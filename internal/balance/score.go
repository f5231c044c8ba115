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
	// jitterPerInstance is the width of the random part of a score for each instance that chooses among the same
	// engines, up to maxJitter.
	jitterPerInstance = 0.004
	maxJitter         = 0.3
)

// ScoreParts are the parts of a target's score; the score is their sum.
type ScoreParts struct {
	// Load is the fraction of the slots in use, of a plain service's target.
	Load float64 `json:"load,omitempty"`
	// Prompts, Batch and Waiting are for the prompts, the batch and the requests that wait at an engine, and
	// Request for the request itself, by the engine's speed.
	Prompts float64 `json:"prompts,omitempty"`
	Batch   float64 `json:"batch,omitempty"`
	Waiting float64 `json:"waiting,omitempty"`
	Request float64 `json:"request,omitempty"`
	// Memory is for little free memory of an engine.
	Memory float64 `json:"memory,omitempty"`
	// Failures is for requests that failed lately, Domain for another failure domain, Partition for one that is
	// considered partitioned, Warmup for a target that is warming up and Ejected for one that is ejected.
	Failures  float64 `json:"failures,omitempty"`
	Domain    float64 `json:"other-domain,omitempty"`
	Partition float64 `json:"partitioned,omitempty"`
	Warmup    float64 `json:"warm-up,omitempty"`
	Ejected   float64 `json:"ejected,omitempty"`
}

// Total returns the score.
func (p *ScoreParts) Total() float64 {
	return p.Load + p.Prompts + p.Batch + p.Waiting + p.Request + p.Memory + p.Failures + p.Domain + p.Partition + p.Warmup + p.Ejected
}

// score ranks a target. An ejected target ranks after all that are not ejected, so that it is
// used only if there is none of these.
func (b *Balancer) score(t *Target, tokens int, now time.Duration) ScoreParts {
	p := b.loadScore(t, tokens, now)
	p.Failures = failureCost * t.failureRate
	if t.domain != b.domain {
		p.Domain = crossDomainCost
		if now < b.partitionedUntil[t.domain] {
			p.Partition = partitionCost
		}
	}
	if now < t.warmupUntil {
		p.Warmup = warmupCost
	}
	if now < t.ejectedUntil {
		p.Ejected = 100 * failureCost
	}
	return p
}

// jitterWidth returns the width of the random part where a number of instances choose at the same moment, as all
// that have runs at an engine do when they learn that it is leaving.
func jitterWidth(instances int) float64 {
	return min(maxJitter, jitterPerInstance*float64(instances))
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
func (b *Balancer) loadScore(t *Target, tokens int, now time.Duration) ScoreParts {
	slots := float64(t.likelySlots())
	if tokens == 0 {
		return ScoreParts{Load: float64(t.open) / slots}
	}
	speed := t.speedAt(now)
	p := ScoreParts{
		Prompts: b.prompts(t, now) / prefillUnit / speed, Batch: batchWeight * float64(t.batch()) / slots / speed,
		Waiting: waitingCost * float64(t.load.waiting) / speed, Request: t.step(tokens, now),
	}
	if memory, known := t.memory(tokens, now); known && memory > memoryThreshold {
		p.Memory = memoryCost * (memory - memoryThreshold)
	}
	return p
}

// step returns what another request like the one that needs a number of tokens adds to the score of an engine.
func (t *Target) step(tokens int, now time.Duration) float64 {
	return (float64(tokens)/prefillUnit + batchWeight/float64(t.likelySlots())) / t.speedAt(now)
}
