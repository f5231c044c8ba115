package admission_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/admission"
)

func newCore(targets int, settings admission.Settings) *admission.Core {
	core := admission.New(settings, admission.DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	var specs []admission.TargetSpec
	for i := range targets {
		specs = append(specs, admission.TargetSpec{Name: "t" + strconv.Itoa(i), Pool: "m", Capacity: 4000, BatchCap: 16})
	}
	core.SetTargets(0, specs)
	return core
}

func newRequest(id uint64, organisation string, urgency int) admission.Request {
	return admission.Request{
		ID: id, Pool: "m", Organisation: organisation, Class: "c", Weight: 1, Urgency: urgency,
		PromptTokens: 100, LongestTokens: 1000, Deadline: time.Hour,
	}
}

func started(decisions []admission.Decision) (ids []uint64) {
	for _, d := range decisions {
		if d.Target != "" {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// fill starts requests until the next one waits, and returns how many started.
func fill(t *testing.T, core *admission.Core) uint64 {
	t.Helper()
	for id := uint64(1); id < 1000; id++ {
		if len(started(core.Arrive(0, newRequest(id, "filler", 0)))) == 0 {
			return id - 1
		}
	}
	t.Fatal("no request had to wait: the targets did not reach their capacity")
	return 0
}

// TestFairShares checks that the requests of an organisation get their share while
// another organisation fills the queue.
func TestFairShares(t *testing.T) {
	core := newCore(1, admission.DefaultSettings())
	running := fill(t, core)
	for id := uint64(1000); id < 1100; id++ {
		core.Arrive(0, newRequest(id, "large", 0))
	}
	for id := uint64(2000); id < 2010; id++ {
		core.Arrive(0, newRequest(id, "small", 0))
	}
	small := 0
	for id := uint64(1); id <= running; id++ {
		for _, s := range started(core.Done(time.Second, id, 50, admission.Finished)) {
			if s >= 2000 {
				small++
			}
		}
	}
	require.GreaterOrEqual(t, small, int(running)/3, "of %d slots", running)
}

// TestUrgency checks that an urgent request starts before those that already wait.
func TestUrgency(t *testing.T) {
	core := newCore(1, admission.DefaultSettings())
	fill(t, core)
	core.Arrive(0, newRequest(1000, "a", 0))
	core.Arrive(0, newRequest(1001, "a", 0))
	decided := started(core.Arrive(0, newRequest(1002, "a", 1)))
	if len(decided) == 0 { // the capacity reserved for urgent requests is used up too
		decided = started(core.Done(time.Second, 1, 50, admission.Finished))
	}
	require.Equal(t, uint64(1002), decided[0])
}

// TestEarlyRefusal checks that a request that is predicted to miss its deadline is
// refused on arrival, with a time for the retry, and does not wait until the deadline.
func TestEarlyRefusal(t *testing.T) {
	core := newCore(1, admission.DefaultSettings())
	running := fill(t, core)
	now := time.Duration(0)
	for i := range 40 { // the core measures the rate of the target
		now += 250 * time.Millisecond
		for id := uint64(1); id <= running; id++ {
			core.Progress(now, id, 20*(i+1))
		}
	}
	for id := uint64(1000); id < 1200; id++ {
		core.Arrive(now, newRequest(id, "a", 0))
	}
	late := newRequest(5000, "a", 0)
	late.Deadline = now + 5*time.Second
	decisions := core.Arrive(now, late)
	require.Len(t, decisions, 1)
	require.Equal(t, admission.ReasonDeadline, decisions[0].Reason)
	require.Greater(t, decisions[0].RetryAfter, 5*time.Second)
}

// TestQueueBound checks that a full queue refuses the newest request of the
// organisation that exceeds its share.
func TestQueueBound(t *testing.T) {
	settings := admission.DefaultSettings()
	settings.MaxQueue = 10
	core := newCore(1, settings)
	fill(t, core)
	core.Arrive(0, newRequest(999, "small", 0))
	refused := 0
	for id := uint64(1000); id < 1030; id++ {
		for _, d := range core.Arrive(0, newRequest(id, "large", 0)) {
			require.Equal(t, admission.ReasonQueueFull, d.Reason)
			require.NotEqual(t, uint64(999), d.ID)
			require.Positive(t, d.RetryAfter)
			refused++
		}
	}
	require.Equal(t, 22, refused, "fill leaves one request waiting in addition to that of organisation small")
	require.Equal(t, 10, core.Queued())
}

// TestRetryBudget checks that retries cannot double the load of a failing fleet.
func TestRetryBudget(t *testing.T) {
	core := newCore(3, admission.DefaultSettings())
	allowed := 0
	for range 1000 {
		if core.TakeRetry() {
			allowed++
		}
	}
	require.LessOrEqual(t, allowed, 20)
	for id := range uint64(100) {
		core.Arrive(0, newRequest(id, "a", 0))
		core.Done(0, id, 10, admission.Finished)
	}
	allowed = 0
	for core.TakeRetry() {
		allowed++
	}
	require.InDelta(t, 10, allowed, 1, "a tenth of the requests that succeeded")
}

// TestEjection checks that a failing target is ejected, and that a single request
// probes it after the ejection.
func TestEjection(t *testing.T) {
	core := newCore(2, admission.DefaultSettings())
	id := uint64(0)
	failures := 0
	for range 60 { // every request on t0 fails
		id++
		for _, d := range core.Arrive(0, newRequest(id, "a", 0)) {
			result := admission.Finished
			if d.Target == "t0" {
				result = admission.Failed
				failures++
			}
			core.Done(0, id, 10, result)
		}
	}
	require.Equal(t, admission.DefaultSettings().EjectAfter, failures)
	core.Tick(6 * time.Second)
	probes := 0
	for range 20 {
		id++
		for _, d := range core.Arrive(6*time.Second, newRequest(id, "a", 0)) {
			if d.Target == "t0" {
				probes++
			}
		}
	}
	require.Equal(t, 1, probes, "a single request probes the target")
}

// TestReports checks that a target that must report its load is used only with a
// valid report, and not while it is leaving.
func TestReports(t *testing.T) {
	core := admission.New(admission.DefaultSettings(), admission.DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	core.SetTargets(0, []admission.TargetSpec{{Name: "t", Pool: "m", Capacity: 4000, BatchCap: 16, Reports: true}})
	require.Empty(t, core.Arrive(0, newRequest(1, "a", 0)), "no report yet")
	require.Len(t, started(core.Report(0, "t", admission.Load{Ready: true})), 1)
	core.Report(time.Second, "t", admission.Load{Ready: true, Leaving: true})
	require.Empty(t, core.Arrive(time.Second, newRequest(2, "a", 0)), "leaving")
	require.Len(t, started(core.Report(2*time.Second, "t", admission.Load{Ready: true})), 1)
	core.Tick(6 * time.Second)
	require.Empty(t, core.Arrive(6*time.Second, newRequest(3, "a", 0)), "the report is too old")
	core.Report(7*time.Second, "t", admission.Load{Ready: false})
	require.Empty(t, core.Arrive(7*time.Second, newRequest(4, "a", 0)), "another model than declared")
}

// TestEstimator checks that estimates follow the recorded lengths, and grow with the
// tokens generated so far.
func TestEstimator(t *testing.T) {
	e := admission.NewEstimator()
	random := rand.New(rand.NewPCG(4, 4))
	for range 500 {
		e.Learn("short", "o", 50, 3+random.IntN(5))
		e.Learn("long", "o", 50, 200+random.IntN(400))
	}
	require.InDelta(t, 5, e.Expected("short", "o", 50, 0), 1)
	require.InDelta(t, 400, e.Expected("long", "o", 50, 0), 40)
	require.Greater(t, e.Expected("long", "o", 50, 500), 500.0)
	require.InDelta(t, 5, e.Expected("short", "unseen", 50, 0), 1, "an organisation without samples uses the estimate of its class")
}

func candidates(n int, full bool) []vanillaward.Candidate {
	out := make([]vanillaward.Candidate, n)
	for i := range out {
		out[i] = vanillaward.Candidate{CapacityTokens: 65536, BatchCap: 64, Running: i % 40, Allowance: 1e9, Available: true}
		for h := range out[i].Forecast {
			out[i].Forecast[h] = vanillaward.Moments{Mean: float64(i % 40000), Variance: 1e6}
			if full {
				out[i].Forecast[h].Mean = 65000
			}
		}
	}
	return out
}

// BenchmarkChoose measures one routing decision: with free memory, with all targets
// compared, and with no free memory at any target.
func BenchmarkChoose(b *testing.B) {
	all := admission.DefaultPolicy()
	all.Samples = 0
	for _, n := range []int{3, 30, 673, 7400} {
		for name, run := range map[string]struct {
			policy vanillaward.RoutingPolicy
			full   bool
		}{"two": {admission.DefaultPolicy(), false}, "all": {all, false}, "full": {admission.DefaultPolicy(), true}} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				c := candidates(n, run.full)
				request := vanillaward.RoutingRequest{PromptTokens: 200, PrefixTarget: -1}
				for i := range request.Forecast {
					request.Forecast[i] = vanillaward.Moments{Mean: 500, Variance: 1000}
				}
				b.ReportAllocs()
				for i := range b.N {
					run.policy.Choose(request, c, uint64(i)*2654435761)
				}
			})
		}
	}
}
