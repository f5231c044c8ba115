package soak_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the deployment.
const (
	controls = 3
	gateways = 3
	engines  = 4
	plains   = 2
)

// fault is a kind of step.
type fault string

const (
	faultKill       fault = "kill"        // SIGKILL, started again later
	faultStop       fault = "stop"        // SIGTERM, started again once it has ended
	faultPause      fault = "pause"       // SIGSTOP, later SIGCONT
	faultReload     fault = "reload"      // other seeds in the settings, then SIGHUP
	faultWipe       fault = "wipe"        // SIGKILL, started again with an empty disk
	faultTear       fault = "tear"        // SIGKILL, started again with a torn record at the end of its log
	faultSilence    fault = "silence"     // a link passes nothing, either way
	faultOneWay     fault = "one-way"     // a link passes nothing from the first to the second
	faultDelay      fault = "delay"       // a link passes everything late
	faultReset      fault = "reset"       // all connections of a link are reset
	faultIsolate    fault = "isolate"     // all links of a process pass nothing
	faultTargetKill fault = "target-kill" // a target ends without a word; another one comes
	faultTargetEnd  fault = "target-end"  // a target ends after a notice; another one comes
	faultTargetFull fault = "target-full" // a target refuses everything
	faultListDark   fault = "list-dark"   // the platform's list gives no answers
)

// weights tell how often each fault is drawn.
var weights = []struct {
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
	{faultListDark, 1},
}

// Bounds on the time that faults last and on the pause between two.
const (
	shortest   = 200 * time.Millisecond
	longest    = 2500 * time.Millisecond
	closest    = 50 * time.Millisecond
	farthest   = 700 * time.Millisecond
	linkDelay  = 300 * time.Millisecond
	noticeTime = 1500 * time.Millisecond
)

// step is a fault at a time.
type step struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	on    string // a process, the source of a link, or a target's slot
	to    string // the other end of a link
}

func (s step) String() string {
	return fmt.Sprintf("%.2f s %s %s %s for %.2f s", s.at.Seconds(), s.fault, s.on, s.to, s.lasts.Seconds())
}

func controlName(i int) string { return fmt.Sprint("control-", i) }
func gatewayName(i int) string { return fmt.Sprint("gateway-", i) }
func engineName(i int) string  { return fmt.Sprint("engine-", i) }
func plainName(i int) string   { return fmt.Sprint("plain-", i) }

// makePlan draws the steps of a seed. Faults overlap as they come; what must not, the loss
// of a second disk before the log has mended the first, is left to whoever carries them
// out.
func makePlan(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low+1)))
	}
	var out []step
	for at := between(closest, farthest); at < length; at += between(closest, farthest) {
		s := step{at: at, lasts: between(shortest, longest), fault: drawFault(random)}
		s.on, s.to = drawPlace(random, s.fault)
		out = append(out, s)
	}
	return out
}

func drawFault(random *rand.Rand) fault {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	n := random.IntN(sum)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.fault
		}
	}
	return faultKill
}

func drawPlace(random *rand.Rand, f fault) (on, to string) {
	process := func() string {
		if i := random.IntN(controls + gateways); i >= controls {
			return gatewayName(i - controls)
		}
		return controlName(random.IntN(controls))
	}
	target := func() string {
		if i := random.IntN(engines + plains); i >= engines {
			return plainName(i - engines)
		}
		return engineName(random.IntN(engines))
	}
	switch f {
	case faultWipe, faultTear:
		return controlName(random.IntN(controls)), ""
	case faultTargetKill, faultTargetEnd, faultTargetFull:
		return target(), ""
	case faultListDark:
		return "list", ""
	case faultSilence, faultOneWay, faultDelay, faultReset:
		if random.IntN(3) == 0 {
			return anyone, target()
		}
		return process(), controlName(random.IntN(controls))
	}
	return process(), ""
}

// TestPlan: a seed always gives the same steps, and every fault comes up.
func TestPlan(t *testing.T) {
	seen := map[fault]bool{}
	for seed := range uint64(50) {
		steps := makePlan(seed, 10*time.Second)
		require.Equal(t, steps, makePlan(seed, 10*time.Second))
		for _, s := range steps {
			seen[s.fault] = true
		}
	}
	require.Len(t, seen, len(weights))
}
