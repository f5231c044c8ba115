package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaward/vanillaward/internal/ratelimit"
)

// Exclusion is why a target may not be sent a request at present; empty if it may.
type Exclusion string

// Exclusions, in the order in which they are looked at.
const (
	ExcludedEvacuated Exclusion = "evacuated" // its failure domain is
	ExcludedLeaving   Exclusion = "leaving"
	ExcludedSuspected Exclusion = "suspected-leaving" // it closes connections
	ExcludedWait      Exclusion = "asked-to-wait"
	ExcludedLimit     Exclusion = "limit"
	ExcludedCold      Exclusion = "cold"
	ExcludedNoRoom    Exclusion = "no-room"
	ExcludedSubset    Exclusion = "not-in-subset" // while a target in it can be chosen
	ExcludedEjected   Exclusion = "ejected"       // while others are not
)

// Assessment is what is known of a target and what a choice would conclude for a request.
type Assessment struct {
	// Target and Domain are the target's identity and failure domain.
	Target string
	Domain string
	// Excluded is why the target would not be chosen.
	Excluded Exclusion
	// Parts are the parts of its score.
	Parts ScoreParts
	// Probability is that of being chosen now.
	Probability float64
	// State is what is known of it. That of plain services has no report.
	State LoadState
	// Open is the number of this instance's requests there, Others that of the others', and Running that of its report.
	Open    int
	Others  int
	Running int
	// Cold is how long the target is still warming up.
	Cold time.Duration
}

// Assess returns the assessment of each target of a service for a request, in the order in which they would be
// chosen, and what is known of the other instances. It changes nothing that a choice depends on.
func (b *Balancer) Assess(service string, tokens int, now time.Duration) ([]Assessment, Others) {
	out := b.assessAll(service, tokens, now)
	ejected := 0
	for _, a := range out {
		if a.Excluded == "" && a.Parts.Ejected > 0 {
			ejected++
		}
	}
	slices.SortStableFunc(out, func(x, y Assessment) int {
		return cmp.Or(cmp.Compare(min(1, len(x.Excluded)), min(1, len(y.Excluded))), cmp.Compare(x.Parts.Total(), y.Parts.Total()))
	})
	usable := 0
	for usable < len(out) && out[usable].Excluded == "" {
		usable++
	}
	others := b.otherInstances(service, now)
	b.setProbabilities(out[:usable], tokens, others)
	if ejected < usable { // an ejected target is chosen only if all others are
		for i := usable - ejected; i < usable; i++ {
			out[i].Excluded = ExcludedEjected
		}
	}
	return out, others
}

// assessAll returns the assessment of each target of a service. Those outside the subset are excluded while one in it is not.
func (b *Balancer) assessAll(service string, tokens int, now time.Duration) []Assessment {
	listed := b.byService[service]
	out := make([]Assessment, 0, len(listed))
	subsetUsable := false
	for _, t := range listed {
		a := b.assess(t, tokens, now)
		subsetUsable = subsetUsable || !t.outside && a.Excluded == ""
		out = append(out, a)
	}
	for i, t := range listed {
		if subsetUsable && t.outside && out[i].Excluded == "" {
			out[i].Excluded = ExcludedSubset
		}
	}
	return out
}

func (b *Balancer) assess(t *Target, tokens int, now time.Duration) Assessment {
	return Assessment{
		Target: t.id, Domain: t.domain, Excluded: b.exclusion(t, tokens, now), Parts: b.score(t, tokens, now), State: b.LoadState(t, now),
		Open: t.open, Others: t.peerUse.requests, Running: t.load.running, Cold: max(0, t.warmupUntil-now),
	}
}

// exclusion returns why a target would not be chosen, without taking a token of its limit. Of brittle engines with
// little room it says none; they are chosen by chance.
func (b *Balancer) exclusion(t *Target, tokens int, now time.Duration) Exclusion {
	switch {
	case b.Evacuated(t):
		return ExcludedEvacuated
	case t.knownLeaving():
		return ExcludedLeaving
	case t.isLeaving(now):
		return ExcludedSuspected
	case !t.accepts(now):
		return ExcludedWait
	case !b.limitPermits(t, now):
		return ExcludedLimit
	case !b.coldLimitPermits(t, now):
		return ExcludedCold
	case tokens > 0 && !b.mayHaveRoom(t, tokens, now):
		return ExcludedNoRoom
	}
	return ""
}

// limitPermits is withinLimit without any effect on the share of the limit.
func (b *Balancer) limitPermits(t *Target, now time.Duration) bool {
	return b.shareReady(t.stated.share, t, b.peersOf(t, now), now)
}

// coldLimitPermits is withinColdLimit without any effect on the share of the limit.
func (b *Balancer) coldLimitPermits(t *Target, now time.Duration) bool {
	return !b.isColdLimited(t, now) || b.shareReady(*t.cold, t, b.coldPeersOf(t, now), now)
}

// shareReady reports whether a copy of the share in a target's limit permits a request, so that the share itself does not
// advance, and begins no count of demand.
func (b *Balancer) shareReady(share ratelimit.Share, t *Target, peers ratelimit.Peers, now time.Duration) bool {
	demand := b.demand[t.service]
	if demand == nil {
		demand = &ratelimit.Demand{}
	}
	return share.Ready(demand, peers, now)
}

// setProbabilities sets the probabilities with which the targets are chosen, which are in the order of their scores.
func (b *Balancer) setProbabilities(targets []Assessment, tokens int, others Others) {
	if len(targets) == 0 {
		return
	}
	if tokens == 0 {
		best := 1
		for best < len(targets) && targets[best].Parts.Total() == targets[0].Parts.Total() {
			best++
		}
		for i := range targets[:best] {
			targets[i].Probability = 1 / float64(best)
		}
		return
	}
	candidates := make([]Candidate, len(targets))
	chosen := make(map[*Target]int, len(targets)) // by the target's place among the targets
	for i, a := range targets {
		t := &Target{id: a.Target}
		chosen[t] = i
		candidates[i] = Candidate{target: t, Score: a.Parts.Total(), Step: a.Parts.Request}
	}
	random := rand.New(rand.NewPCG(1, 1)) // a random source of its own, so that the next choices stay the same
	for range sampledChoices {
		i := chosen[candidates[b.pick(candidates, others, random)].target]
		targets[i].Probability += 1.0 / sampledChoices
	}
}

// sampledChoices is the number of choices from which the probabilities of an assessment are estimated.
const sampledChoices = 4000
