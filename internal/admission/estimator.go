package admission

import (
	"math"
	"math/bits"

	"github.com/vanillaward/vanillaward"
)

const (
	// lengthBuckets is the number of buckets of a histogram, two for each
	// doubling, up to 2^17 tokens.
	lengthBuckets = 34
	// decayAfter is the total weight at which a histogram's weights are halved, so
	// that it adapts to changes.
	decayAfter = 2000
	// minSamples is the number of samples from which an organisation's own
	// histogram is used in place of its class's. A class's histogram is used from
	// its first sample on.
	minSamples = 40
	// priorTokens is the estimated length, in tokens, before the first sample.
	priorTokens = 128
	// promptBuckets is the number of buckets of prompt lengths. Prompts are separated
	// by length, since longer ones tend to ask for longer outputs.
	promptBuckets = 4
)

// histogram counts output lengths on a logarithmic scale.
type histogram struct {
	weight [lengthBuckets]float64
	sum    [lengthBuckets]float64
	total  float64
	// tail holds, for each bucket, the total weight of that bucket and all longer ones.
	tail [lengthBuckets + 1]float64
}

// halfOctave is the lower bound of the upper bucket of a doubling, relative to the
// start of the doubling and in units of 2^-16.
const halfOctave = 92682 // sqrt(2) * 2^16

// bucketOf returns the bucket of a length: 2k from 2^k on, 2k+1 from 2^(k+1/2).
func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	k := bits.Len(uint(tokens)) - 1
	b := 2 * k
	if tokens<<16>>k >= halfOctave {
		b++
	}
	return min(b, lengthBuckets-1)
}

// lowerBound returns the shortest length of each bucket; the last entry closes
// the last bucket.
var lowerBound = func() (out [lengthBuckets + 1]float64) {
	for b := range out {
		out[b] = math.Pow(2, float64(b)/2)
	}
	return out
}()

func (h *histogram) add(tokens int) {
	b := bucketOf(tokens)
	h.weight[b]++
	h.sum[b] += float64(tokens)
	h.total++
	if h.total >= decayAfter {
		for i := range h.weight {
			h.weight[i] /= 2
			h.sum[i] /= 2
		}
		h.total /= 2
	}
	for i := lengthBuckets - 1; i >= 0; i-- {
		h.tail[i] = h.tail[i+1] + h.weight[i]
	}
}

// longer returns the weight of the outputs with more than the given number of tokens.
func (h *histogram) longer(tokens int) float64 {
	b := bucketOf(tokens + 1)
	inside := (lowerBound[b+1] - float64(tokens)) / (lowerBound[b+1] - lowerBound[b])
	return h.tail[b+1] + h.weight[b]*min(1, max(0, inside))
}

// expected returns the mean length of the outputs that are longer than written tokens.
func (h *histogram) expected(written int) float64 {
	weight, sum := 0.0, 0.0
	for b := bucketOf(written + 1); b < lengthBuckets; b++ {
		weight += h.weight[b]
		sum += h.sum[b]
	}
	if weight < 1 {
		// Beyond the longest sample, a heavy tail is assumed: an output is as likely to
		// double in length as not.
		return max(priorTokens, 1.5*float64(written))
	}
	return max(sum/weight, float64(written+1))
}

// survival returns the probability that an output that has written tokens so far
// grows by more than ahead tokens.
func (h *histogram) survival(written, ahead int) float64 {
	current := h.longer(written)
	if current < 1 {
		return float64(max(written, priorTokens)) / float64(max(written, priorTokens)+ahead)
	}
	return h.longer(written+ahead) / current
}

// forecast returns the memory that a request will hold, when its output ends at
// maxTokens at the latest (0 for no bound).
func (h *histogram) forecast(prompt, written, maxTokens int) vanillaward.Forecast {
	var out vanillaward.Forecast
	for i, ahead := range vanillaward.Horizons {
		if maxTokens > 0 && written+ahead > maxTokens {
			break
		}
		p := h.survival(written, ahead)
		held := float64(prompt + written + ahead)
		out[i] = vanillaward.Moments{Mean: p * held, Variance: p * (1 - p) * held * held}
	}
	return out
}

// knownForecast returns the memory of a request whose length is known. The request
// counts at every horizon up to its end and at none after it.
func knownForecast(prompt, written, length int) vanillaward.Forecast {
	var out vanillaward.Forecast
	for i, ahead := range vanillaward.Horizons {
		if written+ahead > length {
			break
		}
		out[i].Mean = float64(prompt + written + ahead)
	}
	return out
}

// estimateKey selects the requests that share a histogram.
type estimateKey struct {
	class        string
	organisation string
	prompt       int // bucket of the prompt's length
}

func promptBucket(tokens int) int {
	b := 0
	for limit := 64; tokens > limit && b < promptBuckets-1; limit *= 4 {
		b++
	}
	return b
}

// Estimator learns output lengths by class, organisation and prompt size. It is
// not safe for concurrent use.
type Estimator struct {
	byOrganisation map[estimateKey]*histogram
	byClass        map[estimateKey]*histogram
	prior          *histogram
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{byOrganisation: map[estimateKey]*histogram{}, byClass: map[estimateKey]*histogram{}, prior: &histogram{}}
}

// Learn records the length in tokens of a finished output.
func (e *Estimator) Learn(class, organisation string, prompt, tokens int) {
	key := estimateKey{class, organisation, promptBucket(prompt)}
	histogramFor(e.byOrganisation, key).add(tokens)
	key.organisation = ""
	histogramFor(e.byClass, key).add(tokens)
}

func histogramFor(histograms map[estimateKey]*histogram, key estimateKey) *histogram {
	h := histograms[key]
	if h == nil {
		h = &histogram{}
		histograms[key] = h
	}
	return h
}

// lengths returns the most specific histogram for a request: that of its
// organisation, of its class, or the prior.
func (e *Estimator) lengths(class, organisation string, prompt int) *histogram {
	key := estimateKey{class, organisation, promptBucket(prompt)}
	if h := e.byOrganisation[key]; h != nil && h.total >= minSamples {
		return h
	}
	key.organisation = ""
	if h := e.byClass[key]; h != nil {
		return h
	}
	return e.prior
}

// Expected returns the expected output length in tokens, given that the output is
// longer than written tokens.
func (e *Estimator) Expected(class, organisation string, prompt, written int) float64 {
	return e.lengths(class, organisation, prompt).expected(written)
}
