// Package experiment compares ways of routing: it runs the real admission cores
// against the engines' model in virtual time, with the same seeded arrivals for
// every way.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// classMix is a class of requests within a load.
type classMix struct {
	name     string
	part     float64 // of all requests
	prompt   float64 // median, in tokens
	output   float64 // median, in tokens
	spread   float64 // of the logarithm of the output's length
	longest  int
	urgency  int
	worth    float64
	deadline time.Duration
}

// Mix is a load: classes, organisations and the engines that serve it.
type Mix struct {
	name          string
	classes       []classMix
	organisations []float64 // part of the load of each
	weights       []float64
	engines       int
	domains       int
	capacity      int // tokens of an engine's key-value cache
	batchCap      int
}

// Correa resembles recaps of any length and short tags.
func Correa() *Mix {
	return &Mix{
		name: "correa", engines: 9, domains: 3, capacity: 24576, batchCap: 64,
		classes: []classMix{
			{name: "recap", part: 0.45, prompt: 350, output: 260, spread: 1.1, longest: 16384, worth: 5, deadline: 60 * time.Second},
			{name: "tag", part: 0.55, prompt: 60, output: 5, spread: 0.4, longest: 64, urgency: 1, worth: 1, deadline: 10 * time.Second},
		},
		organisations: []float64{0.3, 0.22, 0.18, 0.05, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03},
		weights:       []float64{4, 3, 3, 1, 1, 1, 1, 1, 1, 1},
	}
}

// Kupa resembles streamed write-ups and short verdicts.
func Kupa() *Mix {
	return &Mix{
		name: "kupa", engines: 12, domains: 3, capacity: 24576, batchCap: 64,
		classes: []classMix{
			{name: "write-up", part: 0.5, prompt: 200, output: 300, spread: 0.9, longest: 16384, worth: 3, deadline: 30 * time.Second},
			{name: "verdict", part: 0.5, prompt: 120, output: 30, spread: 0.5, longest: 128, urgency: 1, worth: 2, deadline: 10 * time.Second},
		},
		organisations: []float64{0.3, 0.2, 0.2, 0.05, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03},
		weights:       []float64{4, 3, 3, 1, 1, 1, 1, 1, 1, 1},
	}
}

// arrival is one request of a load.
type arrival struct {
	id     uint64
	at     time.Duration
	class  int
	org    int
	prompt int
	output int
}

// arrivals draws a Poisson process with the given requests a second.
func (m *Mix) arrivals(rate float64, length time.Duration, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			return out
		}
		class := m.drawClass(random)
		c := &m.classes[class]
		out = append(out, arrival{
			id: uint64(len(out) + 1), at: at, class: class, org: drawPart(random, m.organisations),
			prompt: logNormal(random, c.prompt, 0.6, 4096),
			output: logNormal(random, c.output, c.spread, c.longest),
		})
	}
}

func (m *Mix) drawClass(random *rand.Rand) int {
	parts := make([]float64, len(m.classes))
	for i := range m.classes {
		parts[i] = m.classes[i].part
	}
	return drawPart(random, parts)
}

func drawPart(random *rand.Rand, parts []float64) int {
	x := random.Float64()
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}

func logNormal(random *rand.Rand, median, spread float64, longest int) int {
	return max(1, min(longest, int(median*math.Exp(spread*random.NormFloat64()))))
}
