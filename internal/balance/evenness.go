package balance

import (
	"math"
	"time"
)

// presenceTime is the time over which the number of requests at an engine is averaged.
const presenceTime = 10 * time.Second

// notePresence adds a report that describes the engine at a time to the mean number of requests there.
func (l *load) notePresence(requests int, at time.Duration) {
	weight := 1.0
	if l.known {
		weight = 1 - math.Exp(-(at-l.at).Seconds()/presenceTime.Seconds())
	}
	l.presence += weight * (float64(requests) - l.presence)
}

// Evenness returns how many requests the engine with the most has had lately, by their reports, divided by the mean,
// and of how many engines that is the mean. It looks at the service with the most engines. Requests take less time at
// a faster engine, so equal numbers are even by speed. It is 1 without requests.
func (b *Balancer) Evenness(now time.Duration) (evenness float64, engines int) {
	evenness = 1
	for _, targets := range b.byService {
		sum, most, n := 0.0, 0.0, 0
		for _, t := range targets {
			if t.load.known && now-t.load.at <= reportValid && !t.isLeaving(now) {
				sum, most, n = sum+t.load.presence, max(most, t.load.presence), n+1
			}
		}
		if n <= engines {
			continue
		}
		evenness, engines = 1, n
		if sum > 0 {
			evenness = most * float64(n) / sum
		}
	}
	return evenness, engines
}
