package balance

import (
	"time"

	"github.com/vanillaward/vanillaward/internal/ratelimit"
)

const (
	// unknownColdInstances is how many instances are assumed to share the limit of a cold target if it is not
	// known: as many as a large deployment has, since a target crashes if they are more.
	unknownColdInstances = 1024
	// maxColdWait bounds the time after which a caller is told to come back because all targets are cold: another
	// instance may have a part of a limit that it does not use.
	maxColdWait = time.Second
)

// ColdLimit is the limit of a service for its cold targets.
type ColdLimit struct {
	// Time is how long a target is cold after it has started or come back, unless the list says how long.
	Time time.Duration
	// PerSecond is how many requests a second from all instances a cold target tolerates, 0 for any number.
	PerSecond float64
}

// SetColdLimits replaces the limits for cold targets. Services without a limit may be left out.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit, now time.Duration) {
	b.cold = limits
	for _, t := range b.targets {
		if limits[t.service].PerSecond <= 0 {
			t.cold = nil
		}
	}
	for service, limit := range limits {
		if limit.PerSecond > 0 {
			b.demandFor(service) // counts from now on
		}
	}
	b.updateCold(now)
}

// ColdTargets returns the number of targets to which the limit for cold targets applies.
func (b *Balancer) ColdTargets(now time.Duration) int {
	n := 0
	for service := range b.cold {
		for _, t := range b.byService[service] {
			if b.isColdLimited(t, now) {
				n++
			}
		}
	}
	return n
}

// appear records that a target has come onto the list, or has come back. If the list states how long it is cold,
// that counts.
func (t *Target) appear(stated bool, now time.Duration) {
	t.fresh, t.freshAt, t.cold = !stated, now, nil
}

// restart records that a target has started.
func (t *Target) restart(now time.Duration) { t.appear(false, now) }

// coldUntil returns until when a target is cold, for a service in which that takes a time.
func (t *Target) coldUntil(coldTime time.Duration) time.Duration {
	if t.fresh {
		return max(t.warmupUntil, t.freshAt+coldTime)
	}
	return t.warmupUntil
}

// updateCold begins and ends the shares in the limits of cold targets. A share begins as soon as its target is known
// to be cold, so that this instance's demand is told before the share follows it.
func (b *Balancer) updateCold(now time.Duration) {
	for service, limit := range b.cold {
		if limit.PerSecond <= 0 {
			continue
		}
		for _, t := range b.byService[service] {
			switch {
			case now >= t.coldUntil(limit.Time):
				t.cold = nil
			case t.cold == nil:
				t.cold = ratelimit.NewShare(ratelimit.WithinSecond())
				fallthrough
			default:
				t.cold.Set(limit.PerSecond, b.random.Float64(), b.demandFor(service), now)
			}
		}
	}
}

// isColdLimited reports whether the limit for cold targets applies to a target.
func (b *Balancer) isColdLimited(t *Target, now time.Duration) bool {
	return t.cold != nil && b.cold[t.service].PerSecond > 0 && now < t.coldUntil(b.cold[t.service].Time)
}

// withinColdLimit reports whether the limit for cold targets permits another request to a target.
func (b *Balancer) withinColdLimit(t *Target, now time.Duration) bool {
	return !b.isColdLimited(t, now) || t.cold.Ready(b.demandFor(t.service), b.coldPeersOf(t, now), now)
}

// coldWait returns how long it takes until the limit for cold targets permits a request to a target.
func (b *Balancer) coldWait(t *Target, now time.Duration) time.Duration {
	if !b.isColdLimited(t, now) {
		return 0
	}
	return min(t.cold.Wait(b.demandFor(t.service), b.coldPeersOf(t, now), now), t.coldUntil(b.cold[t.service].Time)-now, maxColdWait)
}

// coldPeersOf returns what is known of the other instances that share the limit of a cold target.
func (b *Balancer) coldPeersOf(t *Target, now time.Duration) ratelimit.Peers {
	peers := b.peersOf(t, now)
	if b.instances == 0 {
		peers.Instances = unknownColdInstances
	}
	return peers
}
