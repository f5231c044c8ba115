// Package experiment compares routing strategies: it runs the real admission cores
// against the engine model in virtual time, with the same seeded arrivals for every
// strategy.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// requestClass describes the requests of one class in a workload.
type requestClass struct {
	name     string
	share    float64       // share of all requests
	prompt   float64       // median, in tokens
	output   float64       // median, in tokens
	sigma    float64       // standard deviation of the logarithm of the output's length
	longest  int           // longest output, in tokens
	urgency  int           // a higher value goes first
	worth    float64       // value of one complete answer whose first token met the deadline
	deadline time.Duration // from the arrival to the first token
}

// Workload describes the requests of a run: classes, organisations and the engines
// that serve them.
type Workload struct {
	name          string
	classes       []requestClass
	organisations []float64 // each organisation's share of the requests
	weights       []float64 // each organisation's weight in fair sharing
	engines       int
	domains       int
	capacity      int // tokens of an engine's key-value cache
	batchCap      int
}

// CorreaWorkload returns a workload that resembles recaps of any length and short tags.
func CorreaWorkload() *Workload {
	return &Workload{
		name: "correa", engines: 9, domains: 3, capacity: 24576, batchCap: 64,
		classes: []requestClass{
			{name: "recap", share: 0.45, prompt: 350, output: 260, sigma: 1.1, longest: 16384, worth: 5, deadline: 60 * time.Second},
			{name: "tag", share: 0.55, prompt: 60, output: 5, sigma: 0.4, longest: 64, urgency: 1, worth: 1, deadline: 10 * time.Second},
		},
		organisations: []float64{0.3, 0.22, 0.18, 0.05, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03},
		weights:       []float64{4, 3, 3, 1, 1, 1, 1, 1, 1, 1},
	}
}

// KupaWorkload returns a workload that resembles streamed write-ups and short verdicts.
func KupaWorkload() *Workload {
	return &Workload{
		name: "kupa", engines: 12, domains: 3, capacity: 24576, batchCap: 64,
		classes: []requestClass{
			{name: "write-up", share: 0.5, prompt: 200, output: 300, sigma: 0.9, longest: 16384, worth: 3, deadline: 30 * time.Second},
			{name: "verdict", share: 0.5, prompt: 120, output: 30, sigma: 0.5, longest: 128, urgency: 1, worth: 2, deadline: 10 * time.Second},
		},
		organisations: []float64{0.3, 0.2, 0.2, 0.05, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03},
		weights:       []float64{4, 3, 3, 1, 1, 1, 1, 1, 1, 1},
	}
}

// arrival is one request of a workload.
type arrival struct {
	id     uint64
	at     time.Duration
	class  int
	org    int
	prompt int
	output int
}

// arrivals draws the requests of a Poisson process. Rate is in requests per second.
func (w *Workload) arrivals(rate float64, duration time.Duration, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > duration {
			return out
		}
		class := w.drawClass(rng)
		c := &w.classes[class]
		out = append(out, arrival{
			id: uint64(len(out) + 1), at: at, class: class, org: drawIndex(rng, w.organisations),
			prompt: logNormal(rng, c.prompt, 0.6, 4096),
			output: logNormal(rng, c.output, c.sigma, c.longest),
		})
	}
}

func (w *Workload) drawClass(rng *rand.Rand) int {
	shares := make([]float64, len(w.classes))
	for i := range w.classes {
		shares[i] = w.classes[i].share
	}
	return drawIndex(rng, shares)
}

func drawIndex(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func logNormal(rng *rand.Rand, median, sigma float64, limit int) int {
	return max(1, min(limit, int(median*math.Exp(sigma*rng.NormFloat64()))))
}
