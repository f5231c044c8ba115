package ratelimit

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
	// lowestTime is the time of which Lowest returns the lowest rate: what instances know of each other's
	// demand is at most as old. It is kept in steps of lowestStep.
	lowestTime = 4 * time.Second
	lowestStep = 250 * time.Millisecond
	lowestKept = int64(lowestTime/lowestStep) + 1
)

// Demand is a moving average of the requests that an instance wants to send.
type Demand struct {
	rate  float64 // requests a second
	total float64 // integral of the rate
	at    time.Duration
	lows  [lowestKept]low // by step, each in the place of the one lowestKept before
}

// low is the lowest rate in a step of time, just before the requests in it.
type low struct {
	step int64
	rate float64
}

// Add counts a request.
func (d *Demand) Add(now time.Duration) {
	decay := d.decay(now)
	d.noteLow(d.rate*decay, now)
	d.total += d.rate * demandTime.Seconds() * (1 - decay)
	d.rate = d.rate*decay + 1/demandTime.Seconds()
	d.at = now
}

// noteLow records a rate that a request is about to raise.
func (d *Demand) noteLow(rate float64, now time.Duration) {
	step := int64(now / lowestStep)
	l := &d.lows[step%lowestKept]
	if l.step != step || l.rate > rate {
		*l = low{step: step, rate: rate}
	}
}

// Lowest returns the lowest rate within lowestTime, in requests a second.
func (d *Demand) Lowest(now time.Duration) float64 {
	lowest := d.Rate(now)
	first := int64(now/lowestStep) - lowestKept + 1
	for _, l := range d.lows {
		if l.step >= first {
			lowest = min(lowest, l.rate)
		}
	}
	return lowest
}

// Rate returns the requests a second.
func (d *Demand) Rate(now time.Duration) float64 { return d.rate * d.decay(now) }

// Total returns the requests so far, each of which counts little by little over a time of a few
// seconds.
func (d *Demand) Total(now time.Duration) float64 {
	return d.total + d.rate*demandTime.Seconds()*(1-d.decay(now))
}

func (d *Demand) decay(now time.Duration) float64 {
	return math.Exp(-(now - d.at).Seconds() / demandTime.Seconds())
}
