// Package retry bounds how many requests are sent a second time. Every instance
// keeps to a part of its own requests, so that all instances together keep to the
// same part of all requests without exchanging a message.
package retry

import "time"

// buckets is the number of parts that a window is counted in.
const buckets = 10

// Budget is the retry budget of one service at one instance. It is not safe for
// concurrent use.
type Budget struct {
	ratio  float64
	spare  float64
	bucket time.Duration
	counts [buckets]counted
	newest int64 // number of the newest bucket since the start of the clock
}

type counted struct {
	requests int
	repeats  int
}

// New returns a budget that allows, within any window, a ratio of the requests of
// that window and a few spare ones to be repeated.
func New(window time.Duration, ratio, spare float64) *Budget {
	return &Budget{ratio: ratio, spare: spare, bucket: window / (buckets - 1)}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Duration) { b.at(now).requests++ }

// Allow reports whether a request may be sent once more, and counts it if so.
func (b *Budget) Allow(now time.Duration) bool {
	current := b.at(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > b.ratio*float64(requests)+b.spare {
		return false
	}
	current.repeats++
	return true
}

// at moves the window to the given time and returns its newest bucket.
func (b *Budget) at(now time.Duration) *counted {
	number := int64(now / b.bucket)
	for b.newest < number {
		b.newest = max(b.newest+1, number-buckets)
		b.counts[b.newest%buckets] = counted{}
	}
	return &b.counts[number%buckets]
}
