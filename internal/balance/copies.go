package balance

import (
	"slices"
	"time"
)

// Weights and bounds of the choice of an engine that is to hold a copy.
const (
	// crossDomainCopyCost is added for a holder of a continuously updated copy in another failure
	// domain than the run's engine, and crossDomainMoveCost for the destination of a copy on demand:
	// copying between domains takes twice as long, for which the copies behind it on the engine's
	// link wait, and less time than that may be left.
	crossDomainCopyCost = 0.15
	crossDomainMoveCost = 0.5
	// pairCost is added for each other copy that the holder has of runs of the same engine:
	// when that engine terminates, all of these runs resume at the holder at once.
	pairCost = 0.1
	// slowHolderCost is added for a holder of half the median speed, where a run that resumes is slower;
	// it is proportional to the time that an engine takes for a token beyond that of the median.
	slowHolderCost = 0.1
	// A copy is placed on an engine only if the used memory of the engine, with the copy, does
	// not exceed a fraction: lowUtilisationCopyLimit while runs need at most lowUtilisation of
	// the memory of all engines, highUtilisationCopyLimit while they need at least
	// highUtilisation, and migrationCopyLimit for copies of runs whose engine is leaving.
	lowUtilisation           = 0.7
	highUtilisation          = 0.9
	lowUtilisationCopyLimit  = 0.8
	highUtilisationCopyLimit = 0.2
	migrationCopyLimit       = 0.97
	// spareCopyLimit is the limit for a copy that is not needed if the run's engine gives notice.
	spareCopyLimit = 0.2
	// idleUtilisation is the fraction of all engines' memory that runs need up to which copies take no other run's room.
	idleUtilisation = 0.4
	// noticeUse is the fraction of the time of notice that copying may take: other engines that
	// leave copy over the same links.
	noticeUse = 0.5
	// noticeWeight is the weight of the newest notice in the mean time of notice.
	noticeWeight = 0.2
	// coldHolderCost is added for a holder that is cold: its limit may not permit the request that resumes the run.
	coldHolderCost = 0.5
)

// pair is the engine of a run and the engine that holds a copy of it.
type pair struct {
	source string
	holder string
}

// ChooseCopyHolder returns the engine that should hold a continuously updated copy of a
// run's KV cache, or nil when none has the capacity. Rate is how many tokens an engine copies in a
// second, 0 if unknown. A run that can be copied once its engine gives notice gets such a copy only
// at an engine that is nearly idle, unless most memory of all is free: elsewhere another run would start in the
// memory that the copy takes for the whole time of the run.
func (b *Balancer) ChooseCopyHolder(source *Target, tokens int, rate float64, avoid []string, now time.Duration) *Target {
	limit := b.copyLimit(source.service, now)
	if b.movableInTime(source, tokens, rate) && b.utilisation(source.service, now) > idleUtilisation {
		limit = min(limit, spareCopyLimit)
	}
	return b.chooseHolder(source, tokens, avoid, limit, crossDomainCopyCost, now)
}

// movableInTime reports whether a run could be copied from an engine between its notice and its end. Its other runs
// are copied over the same link, for which noticeUse leaves time.
func (b *Balancer) movableInTime(source *Target, tokens int, rate float64) bool {
	notice, known := b.notices[source.service]
	if !known || rate <= 0 {
		return false
	}
	return float64(tokens)/rate <= noticeUse*notice
}

// AddUncopied adds to the tokens of this instance's runs at an engine that have no copy, or subtracts
// from them with a negative number. Instances of earlier builds decide by the sums which runs need copies.
func (b *Balancer) AddUncopied(t *Target, tokens int) { t.uncopied += tokens }

// noteNotice records how long before its end an engine is known to be leaving.
func (b *Balancer) noteNotice(t *Target, left time.Duration) {
	mean, known := b.notices[t.service]
	if !known {
		mean = left.Seconds()
	}
	b.notices[t.service] = mean + noticeWeight*(left.Seconds()-mean)
}

// ChooseMigrationDestination returns the engine that the KV cache of a run should be copied
// to because the run's engine is leaving, or nil. Such a copy is needed soon and for a short
// time, so it may use more of the destination's memory than a continuously updated one.
func (b *Balancer) ChooseMigrationDestination(source *Target, tokens int, avoid []string, now time.Duration) *Target {
	return b.chooseHolder(source, tokens, avoid, migrationCopyLimit, crossDomainMoveCost, now)
}

// chooseHolder returns the best engine for a copy of a run whose engine is source, among
// those whose memory stays within limit, or nil. It prefers engines in the failure domain of
// source: a partition between domains would stop the copying, and copying between domains
// takes twice as long.
func (b *Balancer) chooseHolder(source *Target, tokens int, avoid []string, limit, crossDomain float64, now time.Duration) *Target {
	var best *Target
	bestScore := 0.0
	for _, t := range b.candidates(source.service) {
		if !b.usable(t, now) || !t.accepts(now) || !b.withinStatedLimit(t, now) || t == source || now < t.ejectedUntil || t.load.waiting > 0 || slices.Contains(avoid, t.id) {
			continue
		}
		score, known := t.memory(tokens, now)
		if !known {
			score = unreportedMemory + float64(t.open+t.copies)/float64(max(t.slots, defaultSlots))
		}
		if score > limit {
			continue
		}
		if t.domain != source.domain {
			score += crossDomain
		}
		if b.isColdLimited(t, now) {
			score += coldHolderCost
		}
		score += slowHolderCost*(1/t.speedAt(now)-1) + pairCost*float64(b.pairs[pair{source.id, t.id}]) + jitterWidth(b.instances)*b.random.Float64()
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// AddCopy counts a copy, held by t, of a run whose engine is source.
func (b *Balancer) AddCopy(source, t *Target, tokens int, now time.Duration) {
	b.pairs[pair{source.id, t.id}]++
	t.copies++
	t.tokens += tokens
	t.copyTokens += tokens
	t.load.record(now, tokens, 0)
}

// RemoveCopy reverts what AddCopy counted.
func (b *Balancer) RemoveCopy(source, t *Target, tokens int) {
	if key := (pair{source.id, t.id}); b.pairs[key] > 1 {
		b.pairs[key]--
	} else {
		delete(b.pairs, key)
	}
	t.copies--
	t.tokens -= tokens
	t.copyTokens -= tokens
}

// utilisation returns the fraction of the memory of a service's engines that runs will
// need, excluding copies.
func (b *Balancer) utilisation(service string, now time.Duration) float64 {
	needed, capacity := 0, 0
	for _, t := range b.candidates(service) {
		needed += t.tokens - t.copyTokens + t.peerUse.tokens - t.peerUse.copyTokens
		if b.usable(t, now) {
			capacity += t.load.capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(needed) / float64(capacity)
}

// copyLimit returns the fraction of an engine's memory that copies may fill up to. It
// decreases when runs need the memory: then it is more useful to start a waiting run than to
// let another one resume elsewhere after the loss of its engine.
func (b *Balancer) copyLimit(service string, now time.Duration) float64 {
	utilisation := b.utilisation(service, now)
	switch {
	case utilisation <= lowUtilisation:
		return lowUtilisationCopyLimit
	case utilisation >= highUtilisation:
		return highUtilisationCopyLimit
	}
	fraction := (utilisation - lowUtilisation) / (highUtilisation - lowUtilisation)
	return lowUtilisationCopyLimit - fraction*(lowUtilisationCopyLimit-highUtilisationCopyLimit)
}
