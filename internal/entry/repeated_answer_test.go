package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// repeatingTarget is an engine and a plain service that answers the first request on a connection and
// writes that answer once more when the next one comes, which it runs.
type repeatingTarget struct {
	listener net.Listener
	refuse   bool // the first request on a connection is refused

	mu   sync.Mutex // guards runs
	runs map[string]bool
}

func newRepeatingTarget(t *testing.T, refuse bool) *repeatingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &repeatingTarget{listener: listener, refuse: refuse, runs: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *repeatingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/load" {
			_, _ = fmt.Fprint(conn, answerText(http.StatusOK, `{"model":"m","model-version":"1","role":"serve"}`))
			continue
		}
		answer := answerText(http.StatusServiceUnavailable, "full")
		if !r.refuse || earlier != "" {
			r.mu.Lock()
			r.runs[request.Header.Get("X-Request-Id")] = true
			r.mu.Unlock()
			answer = answerText(http.StatusOK, "answer to "+request.URL.Path)
		}
		_, _ = fmt.Fprint(conn, earlier+answer)
		earlier = answer
	}
}

func answerText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestRepeatedAnswer guards against an earlier answer, written once more on a kept connection, that is
// taken for the answer to the next request: by a plain service, whose answers name no request, and by an
// engine whose refusal says that a request did not run which it runs.
func TestRepeatedAnswer(t *testing.T) {
	t.Run("plain service", func(t *testing.T) {
		target := newRepeatingTarget(t, false)
		address, stop := startServer(t, time.Minute, target.listener.Addr().String())
		defer stop()
		for i := range 6 {
			path := fmt.Sprint("/", i)
			r, err := http.NewRequest(http.MethodGet, "http://"+address+"/services/p"+path, nil)
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer k")
			response, body := send(t, r) //nolint:bodyclose // send closes it
			for range startTries {       // the server has just started
				if response.StatusCode == http.StatusOK {
					break
				}
				time.Sleep(startPause)
				response, body = send(t, r) //nolint:bodyclose // send closes it
			}
			require.Equal(t, "answer to "+path, body)
		}
	})
	t.Run("refusal of an engine", func(t *testing.T) {
		target := newRepeatingTarget(t, true)
		address, stop := startServer(t, 3*time.Second, target.listener.Addr().String())
		defer stop()
		for range 3 {
			response, body := send(t, completionRequest(t, address, false)) //nolint:bodyclose // send closes it
			if strings.Contains(body, `"no-target"`) {
				time.Sleep(startPause)
				continue
			}
			if response.Header.Get(headerOutcome) == "not-run" {
				target.mu.Lock()
				require.Empty(t, target.runs, "a request that was told not to have run")
				target.mu.Unlock()
			}
		}
	})
}
