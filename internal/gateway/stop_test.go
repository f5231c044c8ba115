package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
)

const (
	// stopSeed is the seed of the requests of TestNoRequestIsCutWithoutAnswer.
	stopSeed = 39
	// testDelay is the header with the time that the target takes, in ms; without it there is no answer.
	testDelay = "Test-Delay-Ms"
)

// TestNoRequestIsCutWithoutAnswer guards against requests that a stopping gateway takes and passes on, early
// or late in its grace, and then cuts with no answer at the end. Callers keep their connections.
func TestNoRequestIsCutWithoutAnswer(t *testing.T) {
	for _, kind := range []route.Kind{route.Once, route.Idempotent, route.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			t.Parallel()
			target := newRawStandin(t, "target-0", answerAfterDelay)
			r := newRig(t, configuration(1, kind, 1, handoverTimeout), target)
			random := rand.New(rand.NewPCG(stopSeed, uint64(kind)))
			t.Log("seed", stopSeed)
			close(r.stop)
			require.Eventually(t, func() bool { return !r.gateway.Ready() }, 20*time.Second, time.Millisecond)
			begun := time.Now()
			var callers sync.WaitGroup
			for caller := range 8 {
				budgets, delays := []int{400, 900, 2500, 30000}, []int{1, 300, 1500, 4000, -1}
				transport := &http.Transport{MaxIdleConnsPerHost: 1}
				seed := random.Uint64()
				callers.Go(func() {
					random := rand.New(rand.NewPCG(seed, 0))
					for n := 0; ; n++ {
						id := fmt.Sprint("request-", caller, "-", n)
						status, err := r.sendDuringStop(transport, id, budgets[random.IntN(len(budgets))], delays[random.IntN(len(delays))])
						passedOn := target.received(id)
						if err != nil {
							if passedOn {
								t.Errorf("%s was passed on and got no answer, %d ms after the stop began: %v", id, time.Since(begun).Milliseconds(), err)
							}
							return // the gateway has stopped
						}
						if passedOn && status == http.StatusServiceUnavailable {
							t.Errorf("%s was passed on and refused as not run", id)
						}
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
					}
				})
			}
			callers.Wait()
		})
	}
}

// answerAfterDelay answers a request when it says, or never.
func answerAfterDelay(conn net.Conn, request *http.Request) {
	delay, err := strconv.Atoi(request.Header.Get(testDelay))
	if err != nil {
		_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
		return
	}
	time.Sleep(time.Duration(delay) * time.Millisecond)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", testID, request.Header.Get(testID), len(fiveEvents), fiveEvents)
}

// received reports whether a request has reached the target.
func (s *standin) received(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.seen {
		if h.Get(testID) == id {
			return true
		}
	}
	return false
}

// sendDuringStop sends a request over a kept connection, and returns the status of the complete answer.
func (r *rig) sendDuringStop(transport *http.Transport, id string, budget, delay int) (int, error) {
	header := map[string]string{testID: id, testBudget: strconv.Itoa(budget), testLongest: "20"}
	if delay >= 0 {
		header[testDelay] = strconv.Itoa(delay)
	}
	request, err := r.newRequest(http.MethodPost, "/r/x", "", header)
	if err != nil {
		return 0, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // it was read, or its error is returned
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestNoRequestIsCutAtTheEnd guards against requests that come in the moment in which a stopping gateway finds
// that nothing is open and closes its connections: they were passed on and cut.
func TestNoRequestIsCutAtTheEnd(t *testing.T) {
	const stops, callersPerStop = 15, 8
	for stop := range stops {
		target := newStandin(t, "target-0", "complete")
		r := newRigWith(t, configuration(1, route.Once, 1, handoverTimeout), func(s *settings.Gateway) { s.StopDelay = time.Millisecond }, target)
		var callers sync.WaitGroup
		for caller := range callersPerStop {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			callers.Go(func() {
				for n := 0; ; n++ {
					id := fmt.Sprint("request-", caller, "-", n)
					if _, err := r.sendDuringStop(transport, id, 30000, 0); err != nil {
						if target.received(id) {
							t.Errorf("stop %d: %s was passed on and got no answer: %v", stop, id, err)
						}
						return
					}
				}
			})
		}
		require.Eventually(t, func() bool { return target.requestCount() > 0 }, 20*time.Second, time.Millisecond)
		close(r.stop)
		callers.Wait()
	}
}
