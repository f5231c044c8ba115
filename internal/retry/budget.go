// Package retry limits how many requests are retried. Every instance limits its
// retries to a fraction of its own requests, so that all instances together keep to
// the same fraction of all requests without exchanging a message.
package retry

import "time"

// bucketCount is the number of buckets in which requests are counted. It is one more than a
// window needs, because the newest bucket is incomplete.
const bucketCount = 10

// Budget is the retry budget of one service at one instance. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	bucket  time.Duration
	counts  [bucketCount]bucketCounts
	newest  int64 // number of the newest bucket since the start of the clock
}

// bucketCounts holds the counters of one bucket.
type bucketCounts struct {
	requests int
	retries  int
}

// New returns a budget that allows, within a sliding window, the given ratio of the requests
// in the window to be retried, and reserve retries in addition.
func New(window time.Duration, ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, bucket: window / (bucketCount - 1)}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Duration) { b.bucketAt(now).requests++ }

// Allow reports whether a request may be retried, and counts the retry if so.
func (b *Budget) Allow(now time.Duration) bool {
	current := b.bucketAt(now)
	requests, retries := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		retries += c.retries
	}
	if float64(retries+1) > b.ratio*float64(requests)+b.reserve {
		return false
	}
	current.retries++
	return true
}

// bucketAt advances the window to the given time and returns its newest bucket.
func (b *Budget) bucketAt(now time.Duration) *bucketCounts {
	number := int64(now / b.bucket)
	for b.newest < number {
		b.newest = max(b.newest+1, number-bucketCount)
		b.counts[b.newest%bucketCount] = bucketCounts{}
	}
	return &b.counts[number%bucketCount]
}
