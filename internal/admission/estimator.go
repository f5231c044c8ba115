package admission

import "math"

const (
	// bucketsPerDoubling is the resolution of the length histograms.
	bucketsPerDoubling = 2
	lengthBuckets      = 34 // up to 2^17 tokens
	// decayAfter halves a histogram's weights once it holds this much, so that
	// it follows changes.
	decayAfter = 2000
	// trustAfter is the number of samples from which an organisation's own
	// histogram is used in place of its class's.
	trustAfter = 40
	// priorTokens is the estimate before anything was seen.
	priorTokens = 128
	// promptBuckets separates prompts by length, since longer prompts tend to
	// ask for longer outputs.
	promptBuckets = 4
)

// histogram counts output lengths on a logarithmic scale.
type histogram struct {
	weight [lengthBuckets]float64
	sum    [lengthBuckets]float64
	total  float64
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(lengthBuckets-1, int(bucketsPerDoubling*math.Log2(float64(tokens))))
}

func (h *histogram) add(tokens int) {
	b := bucketOf(tokens)
	h.weight[b]++
	h.sum[b] += float64(tokens)
	h.total++
	if h.total < decayAfter {
		return
	}
	for i := range h.weight {
		h.weight[i] /= 2
		h.sum[i] /= 2
	}
	h.total /= 2
}

// expected returns the mean length of outputs that are longer than written.
func (h *histogram) expected(written int) (float64, bool) {
	weight, sum := 0.0, 0.0
	for b := bucketOf(written + 1); b < lengthBuckets; b++ {
		weight += h.weight[b]
		sum += h.sum[b]
	}
	if weight < 1 {
		return 0, false
	}
	return math.Max(sum/weight, float64(written+1)), true
}

// estimateKey selects the requests that share a histogram.
type estimateKey struct {
	class        string
	organisation string
	prompt       int
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
	own   map[estimateKey]*histogram
	class map[estimateKey]*histogram
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{own: map[estimateKey]*histogram{}, class: map[estimateKey]*histogram{}}
}

// Learn records a finished output.
func (e *Estimator) Learn(class, organisation string, prompt, tokens int) {
	key := estimateKey{class, organisation, promptBucket(prompt)}
	histogramFor(e.own, key).add(tokens)
	key.organisation = ""
	histogramFor(e.class, key).add(tokens)
}

func histogramFor(in map[estimateKey]*histogram, key estimateKey) *histogram {
	h := in[key]
	if h == nil {
		h = &histogram{}
		in[key] = h
	}
	return h
}

// Expected returns the expected output length in tokens, given that written
// tokens did not end it.
func (e *Estimator) Expected(class, organisation string, prompt, written int) float64 {
	key := estimateKey{class, organisation, promptBucket(prompt)}
	if h := e.own[key]; h != nil && h.total >= trustAfter {
		if x, ok := h.expected(written); ok {
			return x
		}
	}
	key.organisation = ""
	if h := e.class[key]; h != nil {
		if x, ok := h.expected(written); ok {
			return x
		}
	}
	// Beyond everything seen, a heavy tail is as likely to double as not.
	return math.Max(priorTokens, 1.5*float64(written))
}
