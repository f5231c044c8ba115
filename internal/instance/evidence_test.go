package instance_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/standin"
)

// toldWithin is how long after the last of several crashes every instance has heard of them.
const toldWithin = 3 * time.Second

// reportRuns returns how often the targets of the service reports ran a report.
func (d *deployment) reportRuns(report string) int {
	runs := 0
	for i := 3; i <= plainTargets; i++ {
		runs += d.host.Plain(fmt.Sprint("plain-", i)).Runs()["GET /"+report+" "]
	}
	return runs
}

// askEverywhere sends a request for a report to each instance.
func (d *deployment) askEverywhere(report string) {
	for _, name := range d.names {
		a := d.send(name, http.MethodGet, "/services/reports/"+report, "", nil)
		require.NotEqual(d.t, http.StatusOK, a.status)
	}
}

// TestInstancesTellEachOtherOfCrashes guards against instances that each find out for themselves which
// request crashes targets, and against all of it being forgotten when all are restarted together.
func TestInstancesTellEachOtherOfCrashes(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3, "b": 2})
	for i := 3; i <= plainTargets; i++ {
		d.injectFault(fmt.Sprint("plain-", i), standin.Faults{ResetAfterRun: true})
	}
	for range 3 {
		d.send("a-1", http.MethodGet, "/services/reports/bad", "", nil)
	}
	time.Sleep(toldWithin)
	runs := d.reportRuns("bad")
	require.GreaterOrEqual(t, runs, 3)
	d.askEverywhere("bad")
	require.Equal(t, runs, d.reportRuns("bad"), "other instances were told")
	for _, name := range d.names {
		d.crash(name)
	}
	for _, name := range d.names {
		d.start(name)
	}
	for _, name := range d.names {
		d.awaitServing(name)
	}
	time.Sleep(toldWithin)
	d.askEverywhere("bad")
	require.Equal(t, runs, d.reportRuns("bad"), "replicas remember")
	d.askEverywhere("another")
	require.NotZero(t, d.reportRuns("another"))
}
