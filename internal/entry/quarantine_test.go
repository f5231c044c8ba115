package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashingTarget returns a target that crashes on a request with the word crash in its body, before it
// answers or when it has begun to, and stays down until all are back. It counts these in crashes, and answers
// others.
func crashingTarget(crashes *atomic.Int64, allBack *atomic.Bool, begins bool) http.Handler {
	sound := cutEngine("chunks", 1<<20)
	var down atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || down.Load() && !allBack.Load() {
			panic(http.ErrAbortHandler)
		}
		switch {
		case strings.Contains(string(body), "crash"):
			crashes.Add(1)
			down.Store(true)
			if begins {
				w.Header().Set("Content-Type", "text/event-stream")
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		case strings.HasPrefix(r.URL.Path, "/plain"):
			_, _ = io.WriteString(w, "answer")
		default:
			sound.ServeHTTP(w, r)
		}
	})
}

// promptRequest returns a request for the completion of a prompt.
func promptRequest(t *testing.T, address, prompt string) *http.Request {
	t.Helper()
	r := completionRequest(t, address, false)
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt})
	require.NoError(t, err)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(string(body))), int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(string(body))), nil }
	return r
}

// TestPromptThatCrashesEnginesIsHeldBack guards against sending a request, its repeats and others
// whose prompts begin alike on to engine after engine while each one ends under them.
func TestPromptThatCrashesEnginesIsHeldBack(t *testing.T) {
	var crashes atomic.Int64
	var allBack atomic.Bool
	var addresses []string
	for range 9 {
		engine := httptest.NewServer(crashingTarget(&crashes, &allBack, true))
		defer engine.Close()
		addresses = append(addresses, engine.Listener.Addr().String())
	}
	address, stop := startServer(t, time.Minute, addresses...)
	defer stop()
	ask := func(prompt string) *http.Request { return promptRequest(t, address, prompt) }
	requireComplete(t, true, ask("sound"))
	crashing := "crash " + strings.Repeat("x", prefixBytes)
	for range 3 {
		_, _ = send(t, ask(crashing+"one")) //nolint:bodyclose // send closes it
	}
	require.EqualValues(t, 3, crashes.Load(), "a request and its repeats")
	for _, end := range []string{"two", "three", "four"} {
		_, _ = send(t, ask(crashing+end)) //nolint:bodyclose // send closes it
	}
	require.EqualValues(t, 5, crashes.Load(), "others that begin alike")
	response, body := send(t, ask(crashing+"five")) //nolint:bodyclose // send closes it
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
	require.Equal(t, "not-run", response.Header.Get(headerOutcome))
	require.NotEmpty(t, response.Header.Get(headerRetryAfter))
	allBack.Store(true)
	requireComplete(t, true, ask("sound"))
}

// TestPromptThatCrashesEnginesUnbegunIsHeldBack guards against prompts that begin alike and are sent on to engine after
// engine, because these crash before they begin to answer.
func TestPromptThatCrashesEnginesUnbegunIsHeldBack(t *testing.T) {
	const (
		engines    = 16
		prompts    = 8
		maxCrashes = 8
		pause      = 300 * time.Millisecond // longer than crashes that count as one
	)
	var crashes atomic.Int64
	var addresses []string
	for range engines {
		engine := httptest.NewUnstartedServer(nil)
		sound := cutEngine("chunks", 1<<20)
		engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err == nil && strings.Contains(string(body), "crash") {
				crashes.Add(1)
				_ = engine.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			sound.ServeHTTP(w, r)
		})
		engine.Start()
		defer engine.Close()
		addresses = append(addresses, engine.Listener.Addr().String())
	}
	address, stop := startServer(t, time.Minute, addresses...)
	defer stop()
	ask := func(prompt string) *http.Request { return promptRequest(t, address, prompt) }
	for i := range prompts {
		_, _ = send(t, ask("crash "+strings.Repeat("x", prefixBytes)+strconv.Itoa(i))) //nolint:bodyclose // send closes it
		time.Sleep(pause)
		_, _ = send(t, ask("sound")) //nolint:bodyclose // send closes it
	}
	require.LessOrEqual(t, crashes.Load(), int64(maxCrashes))
	response, body := send(t, ask("crash "+strings.Repeat("x", prefixBytes)+"last")) //nolint:bodyclose // send closes it
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
	require.Contains(t, body, string(codePromptHeldBack))
}
