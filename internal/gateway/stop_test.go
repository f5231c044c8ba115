package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
)

// testDelay is the header with the time that the target takes, in ms; without it there is no answer.
const testDelay = "Test-Delay-Ms"

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
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address+"/r/x", http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Host = testHost
	request.Header.Set(testID, id)
	request.Header.Set(testKey, "key")
	request.Header.Set(testBudget, strconv.Itoa(budget))
	request.Header.Set(testLongest, "20")
	if delay >= 0 {
		request.Header.Set(testDelay, strconv.Itoa(delay))
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
