package crowd_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// previousProgram is the program of the build that ordinary requests are compared with.
var previousProgram = flag.String("crowd.previous", "", "path of another build, which BenchmarkOrdinaryRequests measures side by side")

const (
	benchCallers  = 32
	benchRequests = 40 // of each caller in a round
	benchBody     = 8 << 10
	ticksPerSec   = 100 // of the times in /proc/PID/stat
)

// BenchmarkOrdinaryRequests measures ordinary requests at a gateway, and at one of another build in turn, a round
// each: requests a second, and the gateway's processor time for a request. The reported figures are medians.
func BenchmarkOrdinaryRequests(b *testing.B) {
	programs := map[string]string{"new": buildProgram(b)}
	names := []string{"new"}
	if *previousProgram != "" {
		programs["previous"] = *previousProgram
		names = append(names, "previous")
	}
	deployments, rates, costs := map[string]*deployment{}, map[string][]float64{}, map[string][]float64{}
	for _, name := range names {
		deployments[name] = startDeployment(b, programs[name])
	}
	b.ResetTimer()
	for range b.N {
		for _, name := range names {
			rate, cost := deployments[name].round(b)
			rates[name], costs[name] = append(rates[name], rate), append(costs[name], cost)
		}
		slices.Reverse(names) // neither build is always the first
	}
	for name := range programs {
		b.ReportMetric(median(rates[name]), name+"-requests/s")
		b.ReportMetric(median(costs[name]), name+"-cpu-us/request")
	}
}

func median(of []float64) float64 {
	sorted := slices.Sorted(slices.Values(of))
	return sorted[len(sorted)/2]
}

// round sends requests from several callers over kept connections, and returns the requests a second and the
// gateway's processor time for each in microseconds.
func (d *deployment) round(b *testing.B) (rate, cost float64) {
	b.Helper()
	began, cpu := time.Now(), d.gateway.ticks(b)
	var callers sync.WaitGroup
	for i := range benchCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for j := range benchRequests {
				request := platformtest.Request{ID: fmt.Sprintf("%06d%06d0", i, j), Path: platformtest.SafePath + "x", Body: strings.Repeat("x", benchBody), Budget: callTimeout}
				if answer := platformtest.Send(context.Background(), client, d.gateway.address(), request); answer.Status != http.StatusOK {
					b.Errorf("status %d: %v", answer.Status, answer.Err)
				}
			}
		})
	}
	callers.Wait()
	requests := float64(benchCallers * benchRequests)
	return requests / time.Since(began).Seconds(), float64(d.gateway.ticks(b)-cpu) / ticksPerSec / requests * 1e6
}

// ticks returns the processor time that the process has used.
func (p *process) ticks(t testing.TB) int {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(stat), ") ")
	var user, system int
	fields := strings.Fields(rest)
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	require.NoError(t, err)
	return user + system
}
