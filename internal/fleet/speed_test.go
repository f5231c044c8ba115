package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/engine"
	"github.com/vanillaward/vanillaward/internal/fleet"
)

// decoder is an engine that runs generations at a speed and reports them as of a while ago.
type decoder struct {
	engine  *engine.Engine
	speed   float64
	now     time.Duration // the end of the last step
	next    time.Duration // the next arrival
	meter   fleet.Speedometer
	tokens  map[string]int
	history []reading
	started int
}

type reading struct {
	at   time.Duration
	runs []vanillaward.RunProgress
}

const (
	readInterval = 500 * time.Millisecond
	reportDelay  = 500 * time.Millisecond
	// reportTick is the interval at which an engine records what it reports: two readings are of moments that are
	// not as far apart as the readings.
	reportTick = 70 * time.Millisecond
)

func newDecoder(speed float64) *decoder {
	return &decoder{speed: speed, tokens: map[string]int{}, engine: engine.New(engine.Config{
		CapacityTokens: 27000, MaxBatch: 24, StepBase: 7 * time.Millisecond, StepPerSequence: 120 * time.Microsecond, PrefillPerToken: time.Second / 14000,
	})}
}

// advance runs the engine up to a time under a load of long and short generations.
func (d *decoder) advance(random *rand.Rand, perSecond float64, until time.Duration) {
	for d.now < until {
		for d.next <= d.now {
			d.next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			d.started++
			s := &engine.Sequence{ID: fmt.Sprint(d.started), Prompt: 2200, Length: 8}
			if random.IntN(3) == 0 {
				s.Prompt, s.Length = 3000, 752
			}
			d.engine.Submit(s)
		}
		if d.engine.Idle() {
			d.now = min(d.next, until)
		} else {
			took, events := d.engine.Step()
			d.now += time.Duration(float64(took) / d.speed)
			for _, e := range events {
				switch e.Kind {
				case engine.Token:
					d.tokens[e.Sequence.ID] = e.Index + 1
				case engine.Finished, engine.Preempted:
					delete(d.tokens, e.Sequence.ID)
				}
			}
		}
		if len(d.history) == 0 || d.now >= d.history[len(d.history)-1].at+reportTick {
			r := reading{at: d.now}
			for id, tokens := range d.tokens {
				r.runs = append(r.runs, vanillaward.RunProgress{Request: id, Events: tokens / 4})
			}
			d.history = append(d.history, r)
		}
	}
}

// read gives the meter the newest report that is old enough.
func (d *decoder) read(now time.Duration) float64 {
	var runs []vanillaward.RunProgress
	for _, r := range d.history {
		if r.at <= now-reportDelay {
			runs = r.runs
		}
	}
	return d.meter.Read(runs, 1, now)
}

// estimates returns the estimated speeds of engines with the given speeds, relative to their median, after a time.
func estimates(random *rand.Rand, speeds []float64, perSecond float64, after time.Duration) []float64 {
	decoders := make([]*decoder, len(speeds))
	out := make([]float64, len(speeds))
	for i, s := range speeds {
		decoders[i] = newDecoder(s)
	}
	for i, d := range decoders {
		offset := time.Duration(random.Int64N(int64(readInterval)))
		// The engine is observed after the load has built up.
		for now := 4*time.Second + offset; now <= 4*time.Second+after+offset; now += readInterval {
			d.advance(random, perSecond*d.speed, now)
			out[i] = d.read(now)
		}
	}
	return out
}

// TestSpeedUnderPrompts: engines of which a third each has 0.7, 0.7 and 1.7 of the nominal speed process prompts
// beside their runs, most of which begin and end between two readings. After 4 s the fast ones are known as fast, and
// no slow one. Engines of equal speed are not told apart by the prompts that each happened to get, beyond the range
// within which the choice takes speeds as equal.
func TestSpeedUnderPrompts(t *testing.T) {
	const seed = 1
	for _, perSecond := range []float64{0.8, 1.25} {
		random := rand.New(rand.NewPCG(seed, 1))
		slow := known(estimates(random, slices.Repeat([]float64{0.7}, 200), perSecond, 4*time.Second))
		fast := known(estimates(random, slices.Repeat([]float64{1.7}, 200), perSecond, 4*time.Second))
		equal := known(estimates(random, slices.Repeat([]float64{1}, 200), perSecond, 8*time.Second))
		median, middle := slow[len(slow)/2], equal[len(equal)/2]
		require.Less(t, slow[len(slow)-1]/median, 1.18, "seed %d", seed)
		require.Greater(t, fast[len(fast)/20]/median, 1.7, "seed %d: nineteen of twenty fast ones are known as such", seed)
		require.Greater(t, equal[len(equal)/20]/middle, 0.85, "seed %d", seed)
		require.Less(t, equal[len(equal)-1]/middle, 1.18, "seed %d", seed)
	}
}

// known returns the estimates of engines of which the speed is known, in order.
func known(speeds []float64) []float64 {
	out := slices.DeleteFunc(slices.Clone(speeds), func(s float64) bool { return s == 0 })
	slices.Sort(out)
	return out
}

// TestSpeedOfRestartedEngine: an engine that has started again is another machine, and runs that stand still or
// were preempted show no speed.
func TestSpeedOfRestartedEngine(t *testing.T) {
	var s fleet.Speedometer
	run := func(events int) []vanillaward.RunProgress {
		return []vanillaward.RunProgress{{Request: "r", Events: events}, {Request: "stalled", Events: 9}, {Request: "preempted", Events: 400 - events}}
	}
	got := 0.0
	for n := range 6 {
		got = s.Read(run(10*n), 1, time.Duration(n)*readInterval)
	}
	require.InDelta(t, 10*4*(0.007+3*0.00012)/0.5, got, 0.01)
	require.Zero(t, s.Read(run(50), 1, 6*readInterval), "nothing progressed")
	require.Zero(t, s.Read(run(60), 2, 7*readInterval), "it has started again")
}
