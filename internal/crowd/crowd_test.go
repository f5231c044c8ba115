// Package crowd_test runs the system's own processes under crowds of clients that nobody controls, and checks
// that the processes stay alive, within their memory and their descriptors, and serve afterwards. The tests run
// one at a time and apart from those of other packages (scripts/test.sh).
package crowd_test

import (
	"context"
	"flag"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// largerCrowd replaces the sizes of the crowds in trials by hand; CI plays those of the constants.
var largerCrowd = flag.Int("crowd.clients", 0, "clients of each kind at each process; 0 stands for the usual crowds")

const (
	// bodyCrowd is the number of clients of each kind at each process. Bodies of bodyBytes from it, read whole,
	// hold 96 MiB, more than memoryBound.
	bodyCrowd = 24
	// headCrowd is the number of clients of a kind that sends heads only.
	headCrowd = 120
	// bodyBytes is the largest body in the configuration of the test, and configurationBytes the size of the
	// configurations that the crowd sends; 16 MiB are legal.
	bodyBytes          = 4 << 20
	configurationBytes = 8 << 20
	// largestConfiguration is the size of a configuration that the commit in the log still has room for.
	largestConfiguration = 15 << 20
	// memoryBound bounds the peak resident memory of each process: the smallest machine of the reduced
	// deployments. It leaves 38 MB for the program, its state and its connections, 25 MB for the budget of 24 MiB
	// for bodies that are being read, and as much again for what the collector has not freed yet.
	memoryBound = 88_000_000
	// returnMargin bounds what a process holds after a crowd beyond what it held before: half of the budget for
	// bodies.
	returnMargin = 12 << 20
	// descriptorMargin bounds the open descriptors after a crowd beyond those before.
	descriptorMargin = 20
)

// TestCrowd guards against processes that crowds of clients of one kind terminate, that hold connections of
// clients that have stopped sending, or that keep the memory of a crowd.
func TestCrowd(t *testing.T) {
	binary := buildProgram(t)
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { playCrowd(t, binary, []kind{k}) })
	}
}

// TestCrowdOfAllKinds is like TestCrowd with all kinds at once.
func TestCrowdOfAllKinds(t *testing.T) { playCrowd(t, buildProgram(t), kinds) }

// buildProgram builds the program without the race detector, which multiplies memory, and returns its path.
func buildProgram(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "vanillaward")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/vanillaward").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// TestLargestBodies guards against limits that refuse a single body of the largest legal size: one at the gateway and
// a configuration at the control process.
func TestLargestBodies(t *testing.T) {
	d := startDeployment(t, buildProgram(t))
	request := platformtest.Request{ID: "00000000largest0", Path: platformtest.SafePath + "x", Body: string(body(bodyBytes)), Budget: callTimeout}
	answer := platformtest.Send(t.Context(), d.client, d.gateway.address(), request)
	require.Equal(t, http.StatusOK, answer.Status, answer.Err)
	require.True(t, answer.Body == platformtest.PlainAnswer(request.ID, platformtest.Organisation, request.Body), "the body arrived changed")
	d.version++
	configuration := platformtest.Configuration(d.version, "/once/")
	configuration = strings.Repeat(" ", largestConfiguration-len(configuration)) + configuration
	status, err := platformtest.PutConfiguration(t.Context(), d.client, d.control.address(), configuration)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	for _, p := range []*process{d.control, d.gateway} {
		t.Logf("%s: peak %d bytes", p.role, p.memory(t, "VmHWM"))
	}
}

// TestCrowdAtOtherListeners is like TestCrowdOfAllKinds at the listeners for readiness, health, handover and peers.
func TestCrowdAtOtherListeners(t *testing.T) {
	d := startDeployment(t, buildProgram(t))
	var places []place
	for _, p := range []*process{d.control, d.gateway} {
		places = append(places, place{p, platformtest.PeerPort, request{body: configurationBytes}, []kind{messages}})
		places = append(places, place{p, platformtest.HealthPort, request{"GET /healthz HTTP/1.1\r\nHost: h\r\n", bodyBytes}, kinds})
	}
	places = append(places, place{d.gateway, platformtest.ReadinessPort, request{platformtest.ReadinessHead, bodyBytes}, kinds})
	places = append(places, place{d.gateway, platformtest.HandoverPort, d.gateway.request, kinds})
	d.play(t, places)
}

// playCrowd plays a crowd of each of the kinds at the gateway and at the control process.
func playCrowd(t *testing.T, binary string, kinds []kind) {
	t.Helper()
	d := startDeployment(t, binary)
	var places []place
	for _, p := range []*process{d.control, d.gateway} {
		places = append(places, place{p, p.port, p.request, kinds})
	}
	d.play(t, places)
}

// place is where crowds play.
type place struct {
	process *process
	port    string
	request request
	kinds   []kind
}

// crowdSize returns the number of clients of a kind at a place.
func (p place) crowdSize(k kind) int {
	switch {
	case *largerCrowd > 0:
		return *largerCrowd
	case len(p.kinds) == 1 && k.head:
		return headCrowd
	default:
		return bodyCrowd
	}
}

// play plays crowds at places. The clients that stop sending hold their connections until the process closes them.
func (d *deployment) play(t *testing.T, places []place) {
	t.Helper()
	processes := []*process{d.control, d.gateway}
	memory, descriptors := map[*process]int{}, map[*process]int{}
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for _, p := range processes {
		memory[p], descriptors[p] = p.memory(t, "VmRSS"), p.descriptors(t)
	}
	for _, at := range places {
		for _, k := range at.kinds {
			for range at.crowdSize(k) {
				clients.Go(func() { play(ctx, at.process.ip+":"+at.port, k, at.request) })
			}
		}
	}
	ended := make(chan struct{})
	go func() {
		clients.Wait()
		close(ended)
	}()
	asked, answered := 0, 0
	d.await(t, "the processes close the connections of all clients", func() bool {
		if *largerCrowd > 0 { // by hand: ordinary requests beside the crowd
			asked++
			if d.serves() {
				answered++
			}
		}
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	if *largerCrowd > 0 {
		t.Logf("beside the crowd %d of %d rounds of ordinary requests were answered", answered, asked)
	}
	d.await(t, "an ordinary request is answered", d.serves)
	for _, p := range processes {
		peak := p.memory(t, "VmHWM")
		t.Logf("%s: memory before %d, peak %d bytes", p.role, memory[p], peak)
		if peak > memoryBound {
			t.Errorf("%s: peak memory %d bytes, at most %d allowed", p.role, peak, memoryBound)
		}
		d.await(t, p.role+" closes its descriptors", func() bool { return p.descriptors(t) <= descriptors[p]+descriptorMargin })
		d.await(t, p.role+" gives its memory back", func() bool { return p.memory(t, "VmRSS") <= memory[p]+returnMargin })
	}
	d.requireAlive(t)
}
