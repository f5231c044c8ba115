package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an engine that a request may be sent to.
type Candidate struct {
	target *Target
	// Score ranks the engine by what is known of it; the lowest is the best.
	Score float64
	// Step is by how much another request like the one to be sent adds to the score: less for a faster
	// engine.
	Step float64
}

// ID returns the engine's identity.
func (c Candidate) ID() string { return c.target.id }

// Others is what is known of the instances that choose among the same engines.
type Others struct {
	// Instances is their number, 0 if unknown.
	Instances int
	// Age is that of what is known of what they have sent.
	Age time.Duration
	// Unseen is the number of requests that they are expected to have sent since then.
	Unseen float64
}

// Picker picks one of several candidates and returns its index. It may reorder them.
type Picker func(candidates []Candidate, others Others, random *rand.Rand) int

// PickByRoom picks a candidate with a probability in proportion to its room, after the requests that others are
// expected to have sent unseen have been distributed as evenly as the scores permit: filled up with these, the
// candidates with room reach one level. With none expected it picks the best. If all instances choose alike, the
// requests of a moment are expected to reach this level, however many they are.
func PickByRoom(candidates []Candidate, others Others, random *rand.Rand) int {
	if len(candidates) == 1 {
		return 0
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	requests := max(others.Unseen, minUnseen)
	level := levelOf(candidates, requests)
	at := random.Float64() * requests
	for i, c := range candidates {
		if at -= c.room(level); at < 0 {
			return i
		}
	}
	return 0 // by rounding; the best
}

const (
	// freshAge is the age up to which the uses of other instances tell where requests go next: all of them have been told of
	// a choice by then.
	freshAge = 200 * time.Millisecond
	// manyInstances is the number of instances from which on a choice by old information is made by room. Fewer instances
	// overrun no engine between two reports, and to spread their requests over engines that are known to be fuller
	// makes these preempt.
	manyInstances = 100
	// leastJitter is the width of the random part of a score while uses are known as of a moment ago: instances that
	// choose within the time of an exchange would all take the same engine.
	leastJitter = 0.03
)

// PickByAge picks by score, and by room where many instances have old information.
func PickByAge(candidates []Candidate, others Others, random *rand.Rand) int {
	if others.Instances > manyInstances && others.Age >= freshAge {
		return PickByRoom(candidates, others, random)
	}
	return PickByScore(candidates, others, random)
}

// PickByScore picks the lowest score with a random part, which is the wider the more instances choose and the older the
// information is.
func PickByScore(candidates []Candidate, others Others, random *rand.Rand) int {
	stale := min(1, float64(others.Age)/float64(freshAge))
	width := jitterWidth(others.Instances)
	width = min(width, max(leastJitter, width*stale))
	best, lowest := 0, 0.0
	for i, c := range candidates {
		if score := c.Score + width*random.Float64(); i == 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// room returns how many requests fill the candidate up to a score.
func (c Candidate) room(level float64) float64 { return max(0, level-c.Score) / c.Step }

// levelOf returns the score that the best candidates reach with a number of requests, more than 0. The candidates are
// in the order of their scores.
func levelOf(candidates []Candidate, requests float64) float64 {
	speeds, filled := 0.0, requests // the sums of 1/Step and Score/Step
	level := 0.0
	for i, c := range candidates {
		if i > 0 && c.Score >= level {
			break
		}
		speeds += 1 / c.Step
		filled += c.Score / c.Step
		level = filled / speeds
	}
	return level
}

// Option changes how a balancer chooses.
type Option func(*Balancer)

// WithPicker sets how one of several engines is picked.
func WithPicker(p Picker) Option { return func(b *Balancer) { b.pick = p } }
