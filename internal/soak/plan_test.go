package soak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// Numbers of processes and targets in the deployment.
const (
	controlCount = 3
	// spareReplicas is how many replicas can be replaced in a seed.
	spareReplicas = 2
	gatewayCount  = 3
	engineCount   = 4
	plainCount    = 2
)

// fault is the kind of fault that a step injects.
type fault string

const (
	faultKill            fault = "kill"        // SIGKILL, restarted later
	faultStop            fault = "stop"        // SIGTERM, restarted after the process has exited
	faultPause           fault = "pause"       // SIGSTOP, later SIGCONT
	faultReload          fault = "reload"      // other seed addresses in the settings, then SIGHUP
	faultWipe            fault = "wipe"        // SIGKILL, restarted with an empty disk
	faultTear            fault = "tear"        // SIGKILL, restarted with a torn record at the end of its log
	faultSilence         fault = "silence"     // a link blocks all traffic in both directions
	faultOneWay          fault = "one-way"     // a link blocks all traffic from its source to its destination
	faultDelay           fault = "delay"       // a link delays all traffic
	faultReset           fault = "reset"       // all connections of a link are reset
	faultIsolate         fault = "isolate"     // all links of a process block all traffic
	faultTargetKill      fault = "target-kill" // a target terminates without notice and is replaced
	faultTargetEnd       fault = "target-end"  // a target terminates after a notice and is replaced
	faultTargetFull      fault = "target-full" // a target refuses all requests
	faultListUnavailable fault = "list-dark"   // the platform's list of targets does not answer
	// Faults between instances and engines that are no disruption; makeEngineFaults draws them.
	faultCut   fault = "cut"   // all connections to an engine, or half of them, are reset, while both ends work on
	faultEnd   fault = "end"   // the same, in the orderly way
	faultQuiet fault = "quiet" // an engine sends no events for a time
	faultMute  fault = "mute"  // the same, and it does not answer questions about its runs
	// Losses of replicas; makeReplicaFaults draws them.
	faultReplace   fault = "replace"    // a replica is replaced and ends without a word, then another one loses its disk
	faultSplitWipe fault = "split-wipe" // a replica is cut off from the others, one of which loses its disk meanwhile
	// Troubles that requests and targets bring by themselves; makeTroubles draws them.
	faultCrashPart   fault = "crash-part"   // engines crash on a part of some prompts
	faultTargetLimit fault = "target-limit" // a target states a limit
	faultRepeat      fault = "repeat"       // a request that comes again and again crashes targets
	faultNarrow      fault = "narrow"       // few bytes a second pass from replicas to an instance, while configurations are large
)

// Kinds of faults that makeTroubles draws, with how often each comes in a seed.
var (
	troubles       = []fault{faultCrashPart, faultTargetLimit, faultCrashPart, faultTargetLimit}
	repeatTroubles = []fault{faultRepeat, faultNarrow, faultRepeat}
)

// faultWeights are the relative frequencies of the faults.
var faultWeights = []struct {
	fault  fault
	weight int
}{
	{faultKill, 4},
	{faultStop, 4},
	{faultPause, 4},
	{faultReload, 2},
	{faultWipe, 2},
	{faultTear, 2},
	{faultSilence, 3},
	{faultOneWay, 3},
	{faultDelay, 2},
	{faultReset, 3},
	{faultIsolate, 2},
	{faultTargetKill, 4},
	{faultTargetEnd, 4},
	{faultTargetFull, 2},
	{faultListUnavailable, 1},
}

// Bounds on the duration of faults and on the interval between the starts of two.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	minFaultInterval = 50 * time.Millisecond
	maxFaultInterval = 700 * time.Millisecond
	linkDelay        = 300 * time.Millisecond
	noticePeriod     = 1500 * time.Millisecond
)

// step is a fault with its start and duration.
type step struct {
	at       time.Duration
	duration time.Duration
	fault    fault
	subject  string // a process, the source of a link, the slot of a target, or the list
	to       string // destination of a link
}

func (s step) String() string {
	return fmt.Sprintf("%.2f s %s %s %s for %.2f s", s.at.Seconds(), s.fault, s.subject, s.to, s.duration.Seconds())
}

func controlName(i int) string { return fmt.Sprint("control-", i) }
func gatewayName(i int) string { return fmt.Sprint("gateway-", i) }
func engineName(i int) string  { return fmt.Sprint("engine-", i) }
func plainName(i int) string   { return fmt.Sprint("plain-", i) }

// makePlan draws the steps of a seed. Faults may overlap. One combination must not: the
// loss of a second disk before the log has recovered from the loss of the first. The code
// that runs the steps prevents it.
func makePlan(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low+1)))
	}
	var out []step
	for at := between(minFaultInterval, maxFaultInterval); at < length; at += between(minFaultInterval, maxFaultInterval) {
		s := step{at: at, duration: between(minFaultDuration, maxFaultDuration), fault: drawFault(random)}
		s.subject, s.to = drawSubject(random, s.fault)
		out = append(out, s)
	}
	return out
}

// Bounds on the duration of troubles, which last until instances must have learnt of them and on,
// and on the limits that targets state.
const (
	minTroubleDuration = 5 * time.Second
	maxTroubleDuration = 8 * time.Second
	minLimit, maxLimit = 1, 6
)

// makeTroubles draws the troubles of some kinds for a seed, in a plan of their own, so that the faults of a
// seed stay the same.
func makeTroubles(seed uint64, kinds []fault) []step {
	random := rand.New(rand.NewPCG(seed, 2))
	var out []step
	for i, f := range kinds {
		s := step{
			at: time.Duration(random.Int64N(int64(2 * time.Second))), fault: f, subject: fmt.Sprint("part-", i),
			duration: minTroubleDuration + time.Duration(random.Int64N(int64(maxTroubleDuration-minTroubleDuration))),
		}
		switch f {
		case faultTargetLimit:
			s.subject, s.to = plainName(random.IntN(plainCount)), fmt.Sprint(minLimit+random.IntN(maxLimit))
		case faultRepeat:
			s.to = []string{platformtest.SafePath, platformtest.StreamPath}[random.IntN(2)]
		case faultNarrow:
			s.subject = gatewayName(random.IntN(gatewayCount))
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return out
}

func drawFault(random *rand.Rand) fault {
	sum := 0
	for _, w := range faultWeights {
		sum += w.weight
	}
	n := random.IntN(sum)
	for _, w := range faultWeights {
		if n -= w.weight; n < 0 {
			return w.fault
		}
	}
	return faultKill
}

func drawSubject(random *rand.Rand, f fault) (subject, to string) {
	process := func() string {
		if i := random.IntN(controlCount + gatewayCount); i >= controlCount {
			return gatewayName(i - controlCount)
		}
		return controlName(random.IntN(controlCount))
	}
	target := func() string {
		if i := random.IntN(engineCount + plainCount); i >= engineCount {
			return plainName(i - engineCount)
		}
		return engineName(random.IntN(engineCount))
	}
	switch f {
	case faultWipe, faultTear:
		return controlName(random.IntN(controlCount)), ""
	case faultTargetKill, faultTargetEnd, faultTargetFull:
		return target(), ""
	case faultListUnavailable:
		return "list", ""
	case faultSilence, faultOneWay, faultDelay, faultReset:
		if random.IntN(3) == 0 {
			return anySource, target()
		}
		return process(), controlName(random.IntN(controlCount))
	}
	return process(), ""
}

// TestPlan checks that a seed always gives the same steps and that every fault occurs.
func TestPlan(t *testing.T) {
	seen := map[fault]bool{}
	for seed := range uint64(50) {
		steps := makePlan(seed, 10*time.Second)
		require.Equal(t, steps, makePlan(seed, 10*time.Second))
		for _, s := range steps {
			seen[s.fault] = true
		}
	}
	require.Len(t, seen, len(faultWeights))
}
