package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// instanceMemory is the memory of an entry instance on the users' platform.
	instanceMemory = 134 << 20
	// memoryTarget is the target of the garbage collector, as in the templates of deploy.
	memoryTarget = 64 << 20
	endlessCount = 400
	soundCount   = 50
	// leaveAfter is the time after which callers of answers without end leave, from the arrival of all
	// requests.
	leaveAfter = 3 * time.Second
	// readBeforeLeaving is how many bytes of an answer callers read before they leave.
	readBeforeLeaving = 2 << 20
)

// heldMemory returns the memory that the process holds from the operating system.
func heldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// TestManyAnswersWithoutEnd guards against answers without end that take down an instance with all sound
// streams in it: many of all kinds at the same time. The stand-ins count too, as they run in this process.
func TestManyAnswersWithoutEnd(t *testing.T) {
	answers := endlessHeads()
	maps.Copy(answers, endlessStreamParts())
	endureAnswersWithoutEnd(t, route.Stream, answers)
}

// TestManyBodiesWithoutEnd guards against the same by bodies of answers that are buffered as far as they are
// short, of which a caller could get any length.
func TestManyBodiesWithoutEnd(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.Once} {
		t.Run(kind.String(), func(t *testing.T) { endureAnswersWithoutEnd(t, kind, endlessBodies()) })
	}
}

// TestManySlowAnswersWithoutEnd guards against answers of which each stays below every bound of its own: all
// together they held more memory than an instance has.
func TestManySlowAnswersWithoutEnd(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.Once} {
		t.Run(kind.String(), func(t *testing.T) { endureAnswersWithoutEnd(t, kind, slowBodies()) })
	}
	t.Run("heads", func(t *testing.T) { endureAnswersWithoutEnd(t, route.Once, slowHeads()) })
	t.Run("events", func(t *testing.T) { endureAnswersWithoutEnd(t, route.Stream, slowEvents()) })
}

// endureAnswersWithoutEnd has callers wait for answers without end while others get sound streams. The
// callers leave some time after all have sent their requests.
func endureAnswersWithoutEnd(t *testing.T, kind route.Kind, answers map[string]endless) {
	t.Helper()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryTarget))
	debug.FreeOSMemory()
	var arrived atomic.Int64
	allArrived := make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	wait := func() { // until all requests have reached their targets
		if arrived.Add(1) == endlessCount+soundCount {
			close(allArrived)
			time.AfterFunc(leaveAfter, leave)
		}
		<-allArrived
	}
	var targets []*wire.Target
	add := func(s *standin, service string) {
		targets = append(targets, &wire.Target{
			Id: s.id, Service: service, Address: s.address(), FailureDomain: ownDomain, Slots: endlessCount, State: wire.TargetState_TARGET_STATE_READY,
		})
	}
	for name, c := range answers {
		add(newRawStandin(t, name, func(conn net.Conn, _ *http.Request) {
			wait()
			c.write(conn)
		}), "endless")
	}
	add(newRawStandin(t, "sound", func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: begun\n\n", testID, request.Header.Get(testID))
		wait()
		time.Sleep(time.Second) // while the others are written
		_, _ = fmt.Fprint(conn, "id: 2\ndata: whole\n\n")
	}), "sound")
	r := newRig(t, memoryConfiguration(kind))
	r.gateway.UpdateTargets(targets)

	before, peak, stop := heldMemory(), uint64(0), make(chan struct{})
	var watch, callers sync.WaitGroup
	watch.Go(func() {
		for {
			peak = max(peak, heldMemory())
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	header := func(n int) map[string]string {
		return map[string]string{testID: fmt.Sprint("request-", n), testBudget: "60000"}
	}
	for n := range endlessCount {
		callers.Go(func() {
			status, err := r.sendDiscarding(ctx, t, "/endless/", header(n), readBeforeLeaving)
			if err == nil && status < http.StatusInternalServerError {
				t.Errorf("request %d is complete: %d", n, status)
			}
		})
	}
	for n := range soundCount {
		callers.Go(func() {
			got := r.send(t, http.MethodPost, "/sound/", "", header(endlessCount+n))
			if got.err != nil || got.body != "id: 1\ndata: begun\n\nid: 2\ndata: whole\n\n" {
				t.Errorf("sound stream %d: %d %q %v", n, got.status, got.body, got.err)
			}
		})
	}
	callers.Wait()
	close(stop)
	watch.Wait()
	t.Logf("%d MB at most, %d MB before", peak>>20, before>>20)
	require.LessOrEqual(t, peak, uint64(instanceMemory))
}

// memoryConfiguration has a service with targets that never end their answers, and a sound one.
func memoryConfiguration(kind route.Kind) *route.Configuration {
	c := configuration(1, route.Stream, 1, time.Minute)
	c.Routes, c.Services = nil, nil
	for name, kind := range map[string]route.Kind{"endless": kind, "sound": route.Stream} {
		c.Routes = append(c.Routes, route.Spec{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, KindValid: true, Timeout: time.Minute, Attempts: 1,
			Shares: []route.Share{{Service: name, Weight: 1}},
		})
		c.Services = append(c.Services, route.ServiceSpec{Name: name, Slots: endlessCount})
	}
	return c
}
