package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/quarantine"
)

// TestUncertainCrashes guards against requests that go on to engines which crash on a part of their prompts without being
// seen to begin an answer, and against holding back parts that were at these engines by chance.
func TestUncertainCrashes(t *testing.T) { playScripts(t, "uncertain.txt") }

// TestPartIsHeldBackHoweverSeen guards against the same where each crash ends requests at several instances, which see
// it up to 300 ms apart and cannot tell which request was the reason; or see only what had just begun at the engines as
// crashed for certain.
func TestPartIsHeldBackHoweverSeen(t *testing.T) {
	for _, begun := range []float64{0, 0.5} {
		t.Run(fmt.Sprintf("%.1f of what ends beside has just begun", begun), func(t *testing.T) { playUncertain(t, begun) })
	}
}

// playUncertain plays random deployments in which a share of the sound requests that end with engines has just begun.
func playUncertain(t *testing.T, begun float64) {
	t.Helper()
	const (
		beside   = 3   // sound requests that end with each engine that crashes
		delay    = 300 // milliseconds by which an instance sees a crash before the others at most
		minSound = 20  // requests of which a share can be told
	)
	for seed := range uint64(spreadSeeds) {
		d := newDeployment(seed, 0)
		soundShare := d.random.Float64()
		end := func(target, request string, parts []string) {
			d.instances[d.random.IntN(len(d.instances))].MayHaveCrashed(request, target, parts,
				d.now-time.Second, d.now-time.Duration(d.random.IntN(delay))*time.Millisecond, d.now)
		}
		for step := range spreadSteps {
			d.tick(step)
			if d.random.Float64() <= soundShare {
				d.failing = 0
				d.send(false)
				continue
			}
			d.requests++
			parts := []string{"system", "crashing", fmt.Sprint("topic-", d.random.IntN(4))}
			if d.instances[d.random.IntN(len(d.instances))].Check(parts, d.now) != nil {
				continue
			}
			if len(d.crashes) >= 5 && d.now > d.crashes[4]+spreadTime {
				d.late++
			}
			d.crashes = append(d.crashes, d.now)
			target := fmt.Sprint("engine-", d.requests)
			end(target, fmt.Sprint(d.requests), parts)
			for n := range beside {
				parts := []string{"system", fmt.Sprint("topic-", d.random.IntN(4))}
				if d.random.Float64() < begun {
					d.instances[d.random.IntN(len(d.instances))].Crashed(fmt.Sprint(d.requests, "-", n), target, parts, time.Duration(d.random.IntN(500))*time.Millisecond, d.now)
				} else {
					end(target, fmt.Sprint(d.requests, "-", n), parts)
				}
			}
		}
		require.LessOrEqual(t, d.late, maxAfterwards, "seed %d, %d instances, %.2f of the requests sound", seed, len(d.instances), soundShare)
		if sent := d.refused + d.sound; sent >= minSound {
			require.LessOrEqual(t, float64(d.refused), maxRefused*float64(sent), "seed %d, %d instances, %.2f of the requests sound", seed, len(d.instances), soundShare)
		}
	}
}

// TestLossOfManyEnginesHoldsNothingBack guards against holding back what ran at engines that end for a reason of their own,
// all together or a share of them each second, and against evidence without bounds.
func TestLossOfManyEnginesHoldsNothingBack(t *testing.T) {
	const (
		engines = 100
		topics  = 300
	)
	d := newDeployment(1, 9)
	d.failing = 0
	engine := 0
	for step := range spreadSteps {
		d.tick(step)
		for range 10 {
			d.send(false)
		}
		if step%50 != 25 {
			continue
		}
		for range engines {
			engine++
			for n := range 3 {
				parts := []string{"system", fmt.Sprint("topic-", d.random.IntN(4)), fmt.Sprint("rare-", d.random.IntN(topics))}
				d.instances[d.random.IntN(len(d.instances))].MayHaveCrashed(fmt.Sprint(engine, "-", n), fmt.Sprint("engine-", engine), parts, d.now-time.Second, d.now, d.now)
			}
		}
	}
	require.Zero(t, d.refused)
	for _, instance := range d.instances {
		require.LessOrEqual(t, len(instance.Evidence(d.now).GetUncertainCrashes()), 128)
	}
}

// TestEndAfterCrashSaysNothing guards against blaming what was sent to an engine that was down already.
func TestEndAfterCrashSaysNothing(t *testing.T) {
	l := quarantine.New("i")
	l.RequestCrashed(plain("r"), "1", "target", 0, 10*time.Second)
	l.MayHaveCrashed("2", "target", []string{"late"}, 11*time.Second, 11*time.Second, 11*time.Second)
	l.MayHaveCrashed("3", "target", []string{"before"}, 9*time.Second, 10*time.Second, 11*time.Second)
	evidence := l.Evidence(11 * time.Second).GetUncertainCrashes()
	require.Len(t, evidence, 1)
	require.Equal(t, []string{"before"}, evidence[0].GetParts())
}

// TestUncertainCrashesOutliveRestart guards against a part that is let go because the evidence of uncertain crashes is old
// when instances start with what replicas have saved.
func TestUncertainCrashesOutliveRestart(t *testing.T) {
	const later = time.Hour
	l := quarantine.New("i")
	for n := range 8 {
		at := time.Duration(1+n) * time.Second
		l.MayHaveCrashed(fmt.Sprint(n), fmt.Sprint("engine-", n), []string{"bad"}, 0, at, at)
	}
	require.NotNil(t, l.Check([]string{"bad"}, 8*time.Second))
	restarted := quarantine.New("j")
	restarted.Merge(l.Evidence(later), later)
	require.NotNil(t, restarted.Check([]string{"bad"}, later), "a trial is claimed first")
}

// TestUncertainEvidenceTakesFewBytes guards against evidence of what ended beside crashes that takes more than its part of what
// an instance may spend on control, while engines crash and requests with parts of their own end with each.
func TestUncertainEvidenceTakesFewBytes(t *testing.T) {
	const (
		maxBytes = 2 << 10 / 3 // a second and instance, for one of three replicas, of 2 KiB
		seconds  = 20
		beside   = 24 // requests that end with an engine
		parts    = 3000
	)
	for _, count := range []int{8, 61, 240, 1100} {
		d := newDeployment(1, count)
		d.failing = 0
		for step := range seconds * 10 {
			d.tick(step)
			for range count {
				d.send(false)
			}
			if step%10 > 0 { // an engine crashes each second
				continue
			}
			for n := range beside {
				own := []string{"system", fmt.Sprint("topic-", d.random.IntN(4)), fmt.Sprint("rare-", d.random.IntN(parts))}
				d.instances[d.random.IntN(count)].MayHaveCrashed(fmt.Sprint(step, "-", n), fmt.Sprint("engine-", step), own, d.now-time.Second, d.now, d.now)
			}
		}
		rate := float64(d.bytes) / float64(count) / seconds
		t.Logf("%d instances: %.0f bytes a second and instance", count, rate)
		require.LessOrEqual(t, rate, float64(maxBytes))
		require.Zero(t, d.refused)
	}
}
