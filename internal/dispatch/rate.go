package dispatch

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which the rate at which capacity appears is averaged, and rateKnownAfter the
	// time during which requests have to wait before it is used: shorter ones are gaps between two reports.
	rateTime       = 4 * time.Second
	rateKnownAfter = 2 * time.Second
	// rateKnownSent is the number of requests that have to be sent before it is used. One of many instances
	// sends about one request a second: the rate of a few says nothing of when the next one begins.
	rateKnownSent = 8
	// rateDeviations is the number of standard deviations by which the rate may be higher than measured before a
	// request is refused because of it: serving late is better than refusing.
	rateDeviations = 3
	// rateHorizon is how many times the duration of a measurement it is a forecast for: the rate of a burst, or of a time
	// without news, says nothing of the end of a long time limit.
	rateHorizon = 4
)

// rate measures how many tokens of waiting requests find capacity in a second, while some wait.
type rate struct {
	waiting bool
	since   time.Duration // since when requests wait without a break
	at      time.Duration
	sent    int     // since then
	tokens  float64 // sent, with exponentially decreasing weight
	weight  float64 // seconds, with the same weight
}

// observe is called before capacity is offered to requests.
func (r *rate) observe(now time.Duration) {
	if r.waiting {
		seconds := (now - r.at).Seconds()
		left := math.Exp(-seconds / rateTime.Seconds())
		r.tokens *= left
		r.weight = r.weight*left + seconds
	}
	r.at = now
}

// waits records whether requests wait after capacity was offered.
func (r *rate) waits(now time.Duration, waiting bool) {
	if waiting && !r.waiting {
		r.since, r.sent = now, 0
	}
	r.waiting = waiting
}

// add counts a request that is sent. Those that are sent while none waits tell nothing.
func (r *rate) add(tokens int) {
	if r.waiting {
		r.tokens += float64(tokens)
		r.sent++
	}
}

// perSecond returns the rate, and false while it is not known.
func (r *rate) perSecond(now time.Duration) (float64, bool) {
	if !r.waiting || now-r.since < rateKnownAfter || r.sent < rateKnownSent || r.weight <= 0 {
		return 0, false
	}
	return r.tokens / r.weight, true
}

// foretells reports whether requests have waited for long enough to forecast the rate for a time to come.
func (r *rate) foretells(now, ahead time.Duration) bool { return ahead <= rateHorizon*(now-r.since) }

// uncertainty returns by which factor the rate may be higher than measured.
func (r *rate) uncertainty() float64 { return 1 + rateDeviations/math.Sqrt(float64(max(1, r.sent))) }
