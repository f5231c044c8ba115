package balance

import (
	"slices"
	"time"
)

// SetEvacuated replaces the set of evacuated failure domains. A target in one of them is not chosen, and gets
// no copies and no resumptions. It is not leaving: what runs there stays.
func (b *Balancer) SetEvacuated(domains []string) {
	b.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		b.evacuated[d] = true
	}
	b.countGroups()
}

// Evacuated reports whether a target's failure domain is evacuated.
func (b *Balancer) Evacuated(t *Target) bool { return b.evacuated[t.domain] }

// usable reports whether new requests may go to a target, as far as its failure domain and its end are concerned.
func (b *Balancer) usable(t *Target, now time.Duration) bool {
	return !b.Evacuated(t) && !t.isLeaving(now)
}

// ServiceEvacuated reports whether the evacuation of failure domains leaves a service without targets.
func (b *Balancer) ServiceEvacuated(service string, now time.Duration) bool {
	listed := b.byService[service]
	return slices.ContainsFunc(listed, func(t *Target) bool { return b.Evacuated(t) && !t.isLeaving(now) }) &&
		!slices.ContainsFunc(listed, func(t *Target) bool { return b.usable(t, now) })
}

// TargetsIn returns the number of listed targets in a failure domain, and of this instance's requests there.
func (b *Balancer) TargetsIn(domain string) (targets, open int) {
	for _, t := range b.targets {
		if t.domain == domain {
			targets++
			open += t.open
		}
	}
	return targets, open
}
