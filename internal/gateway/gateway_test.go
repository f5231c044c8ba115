package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// script is one section of a testdata file: a request, the behaviour of the targets and the
// expected result.
type script struct {
	Kind       string   `ini:"kind" required:"true" oneof:"idempotent|once|stream"`
	Attempts   int      `ini:"attempts" default:"1"`
	Timeout    int      `ini:"timeout-ms" default:"3000"`
	Targets    []string `ini:"targets"`
	Body       int      `ini:"body-bytes" default:"10"`
	Status     int      `ini:"status" required:"true"`
	Complete   bool     `ini:"whole" default:"false"`
	Broken     bool     `ini:"broken" default:"false"`
	Runs       []int    `ini:"runs"`
	Events     int      `ini:"events" default:"0"`
	RetryAfter bool     `ini:"comes-back" default:"false"`
	Resumable  bool     `ini:"resumable" default:"false"`
	Copies     bool     `ini:"copies" default:"false"`
	After      string   `ini:"last-event" default:""`
	From       int      `ini:"first-event" default:"1"`
	Asked      []string `ini:"asked-after"`
}

// TestScripts runs the scripts of testdata.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		sections, found := inifile.Parse(file, data)
		require.NoError(t, found.Err())
		for _, section := range sections {
			var s script
			decoded := inifile.Decode(section, &s)
			require.NoError(t, decoded.Err())
			t.Run(strings.ReplaceAll(section.ID(), " ", "-"), func(t *testing.T) {
				t.Parallel()
				s.execute(t)
			})
		}
	}
}

func (s *script) execute(t *testing.T) {
	var targets []*standin
	for i, behaviour := range s.Targets {
		targets = append(targets, newStandin(t, fmt.Sprint("target-", i), behaviour))
	}
	c := configuration(1, kinds[s.Kind], s.Attempts, time.Duration(s.Timeout)*time.Millisecond)
	c.Routes[0].Resumable = s.Resumable
	c.Services[0].ContinuousCopies = s.Copies || !s.Resumable
	r := newRig(t, c, targets...)
	var header map[string]string
	if s.After != "" {
		header = map[string]string{testAfter: s.After}
	}
	got := r.send(t, http.MethodPost, "/r/path?query=1", strings.Repeat("x", s.Body), header)
	require.Equal(t, s.Broken, got.err != nil, "error of the answer: %v", got.err)
	require.Equal(t, s.Status, got.status)
	if s.Complete {
		require.Equal(t, completeBody, got.body)
	}
	if s.Events > 0 {
		want := ""
		for i := s.From; i < s.From+s.Events; i++ {
			want += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		}
		require.Equal(t, want, got.body)
	}
	require.Equal(t, s.RetryAfter, got.header.Get("Retry-After") != "")
	for i, runs := range s.Runs {
		require.Equal(t, runs, targets[i].runCount(), "runs at target %d", i)
	}
	for i, after := range s.Asked {
		require.Equal(t, strings.TrimSuffix(after, "-"), targets[i].lastHeader().Get(testAfter), "number sent to target %d; - for none", i)
	}
}

// TestRequestForwardedUnchanged checks that method, path, query, host and body reach the
// target unchanged, that the API key does not, and that the request states the target's ID
// and the time left.
func TestRequestForwardedUnchanged(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	got := r.send(t, http.MethodPut, "/r/a%2Fb/../c?x=%20&y", "body", map[string]string{testOrg: "forged", testResume: "forged", "Connection": "X-One", "X-One": "1", "X-Two": "2"})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, []string{"PUT /r/a%2Fb/../c?x=%20&y " + testHost + " body"}, target.bodies)
	h := target.seen[0]
	require.Equal(t, "org", h.Get(testOrg))
	require.Equal(t, "target-0", h.Get(testTarget))
	require.Empty(t, h.Get(testKey))
	require.Empty(t, h.Get("X-One"), "a hop-by-hop header")
	require.Equal(t, "2", h.Get("X-Two"))
	require.Regexp(t, "^(2[5-9]..|3000)$", h.Get(testLeft))
}

// TestRefused checks that requests which the configuration does not allow, or which exceed
// a limit, are refused and reach no target.
func TestRefused(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	for _, c := range []struct {
		path, body, key, big string
		status               int
	}{
		{path: "/other", status: http.StatusNotFound},
		{path: "/r", status: http.StatusNotFound},
		{path: "/r/x", key: "unknown", status: http.StatusUnauthorized},
		{path: "/r/x", body: strings.Repeat("x", 65<<10), status: http.StatusRequestEntityTooLarge},
		{path: "/r/x", big: strings.Repeat("x", 5000), status: http.StatusRequestHeaderFieldsTooLarge},
	} {
		header := map[string]string{"Big": c.big}
		if c.key != "" {
			header[testKey] = c.key
		}
		require.Equal(t, c.status, r.send(t, http.MethodPost, c.path, c.body, header).status, c.path)
	}
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/public/x", "", map[string]string{testKey: "unknown"}).status)
	require.Equal(t, 1, target.runCount())
}

// TestMalformed checks that a malformed request, or one that can be read as two requests,
// reaches no target.
func TestMalformed(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	for _, raw := range []string{
		"POST /r/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"POST /r/x HTTP/1.1\r\nHost: example.test\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"POST http://example.test/r/x HTTP/1.1\r\nHost: example.test\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n",
		"GET\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, raw)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, raw)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.Close())
	}
	require.Zero(t, target.runCount())
}

// TestChunked checks that a chunked body is forwarded completely, and that bytes in it that
// look like a request remain part of the body.
func TestChunked(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	inner := "POST /r/inner HTTP/1.1\r\nHost: example.test\r\n\r\n"
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, []string{"POST /r/x " + testHost + " " + inner}, target.bodies)
}

// TestNoConfiguration checks that an instance without a configuration refuses every request
// as not run and is not ready.
func TestNoConfiguration(t *testing.T) {
	r := newRig(t, nil)
	require.False(t, r.gateway.Ready())
	got := r.send(t, http.MethodPost, "/r/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// TestOlderDocumentIgnored checks that a document with a lower number changes nothing.
func TestOlderDocumentIgnored(t *testing.T) {
	current := configuration(7, route.Once, 1, time.Second)
	r := newRig(t, current)
	require.NoError(t, r.gateway.Install(&wire.Document{Number: 6}))
	require.EqualValues(t, 7, r.gateway.Number())
	require.Error(t, r.gateway.Install(&wire.Document{Number: 8}), "the number of the document and of its configuration differ")
	require.EqualValues(t, 7, r.gateway.Number())
}

// TestGracefulStop checks that a stopping instance is not ready, still serves requests that
// end in time, and refuses as not run those that the stop would cut off.
func TestGracefulStop(t *testing.T) {
	target := newStandin(t, "target-0", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 3*time.Second), target)
	require.True(t, r.gateway.Ready())
	close(r.stop)
	require.Eventually(t, func() bool { return !r.gateway.Ready() }, 20*time.Second, time.Millisecond)
	got := r.send(t, http.MethodPost, "/r/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status, "the stop would cut off a long stream")
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Zero(t, target.runCount())
	got = r.send(t, http.MethodPost, "/r/x", "", map[string]string{testLongest: "40"})
	require.Equal(t, http.StatusOK, got.status, "a short stream ends in time")
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.True(t, response.Close, "the connection accepts no further request")
	require.NoError(t, response.Body.Close())
}

// TestCallerLeaves checks that the request at the target ends when the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	target := newStandin(t, "target-0", "mute")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return target.runCount() == 1 }, 20*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return len(r.gateway.LocalUses()) == 0 }, 20*time.Second, time.Millisecond, "the request is released")
}

// TestExtraBytesAfterAnswer checks that bytes after a complete answer are not used as the
// answer to the next request, which is sent over another connection.
func TestExtraBytesAfterAnswer(t *testing.T) {
	target := newStandin(t, "target-0", "extra")
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	for i := range 3 {
		got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: fmt.Sprint("request-", i)})
		require.Equal(t, completeBody, got.body)
	}
}

// TestEngineLeaves checks that an engine that reports that it is leaving gets no new request.
func TestEngineLeaves(t *testing.T) {
	c := configuration(1, route.Stream, 1, 3*time.Second)
	c.Services[0].ContinuousCopies = false
	first := newStandin(t, "target-0", "mute")
	second := newStandin(t, "target-1", "stream:")
	r := newRig(t, c, first, second)
	r.gateway.UpdateLoads([]*wire.Load{{Target: "target-0", CapacityTokens: 10000, Leaving: true}})
	got := r.send(t, http.MethodPost, "/r/x", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Zero(t, first.runCount())
	require.Equal(t, 1, second.runCount())
}

// fiveEvents is the complete answer of a stand-in's stream.
const fiveEvents = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\nid: 5\ndata: event 5\n\n"

// TestLostBeforeFirstEvent checks that a stream whose engine fails before its first event is
// not sent to another engine: its run has no copy yet, and the engine chosen to hold the copy
// may run the request again. This made one request run twice (seven replicas, test day
// answers-lost-and-retries, seed 899011821946).
func TestLostBeforeFirstEvent(t *testing.T) {
	first := newStandin(t, "target-0", "reset")
	second := newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, 1, first.runCount())
	require.Zero(t, second.requestCount())
}

// TestLostSoonAfterFirstEvent guards against a run that is begun again by a faulty engine, which should hold
// its copy when nothing of that can have arrived there.
func TestLostSoonAfterFirstEvent(t *testing.T) {
	first := newStandin(t, "target-0", "stream:2")
	second := newStandin(t, "target-1", "stream:")
	r := newRigWith(t, configuration(1, route.Stream, 1, 30*time.Second), func(s *settings.Gateway) { s.CopyAfter = time.Hour }, first, second)
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
	require.Error(t, got.err, "the answer must not look complete")
	require.Equal(t, 1, first.runCount())
	require.Zero(t, second.requestCount())
}

// TestStalledEngine checks that a run whose engine stalls is resumed from its copy, and that
// the connection to the engine is closed only once the holder has accepted the run: the
// engine may only have preempted the run while the copy is lost. The stream was cut off in
// that case, once, in a run named mix (seed 107778455418).
func TestStalledEngine(t *testing.T) {
	t.Run("holder has the copy", func(t *testing.T) {
		first := newStandin(t, "target-0", "stream-paused:2")
		second := newStandin(t, "target-1", "stream:")
		r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
		got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"})
		require.NoError(t, got.err)
		require.Equal(t, fiveEvents, got.body)
		require.Equal(t, second.address()+"/request-1", second.firstHeader().Get(testResume))
		require.Equal(t, "2", second.firstHeader().Get(testAfter))
		require.Empty(t, second.firstHeader().Get(testBackup), "the stalled engine must not hold the new copy")
		close(first.held)
	})
	t.Run("holder has lost the copy", func(t *testing.T) {
		first := newStandin(t, "target-0", "stream-paused:2")
		second := newStandin(t, "target-1", "refuse")
		r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
		got := make(chan reply, 1)
		go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
		require.Eventually(t, func() bool { return second.requestCount() > 0 }, 20*time.Second, time.Millisecond)
		close(first.held)
		answer := <-got
		require.NoError(t, answer.err)
		require.Equal(t, fiveEvents, answer.body)
		require.Zero(t, second.runCount())
	})
}

// TestCopyAfterEnd checks that a copy that completes after its request has ended is freed.
// Otherwise the copy would occupy an engine's memory for seconds.
func TestCopyAfterEnd(t *testing.T) {
	c := configuration(1, route.Stream, 1, 30*time.Second)
	c.Services[0].ContinuousCopies = false
	first := newStandin(t, "target-0", "stream-held:2")
	second := newStandin(t, "target-1", "stream:")
	r := newRig(t, c, first, second)
	r.engines.hold = make(chan struct{})
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "700"}) }()
	require.Eventually(t, func() bool { return first.runCount() == 1 }, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		r.gateway.UpdateLoads([]*wire.Load{{Target: "target-0", CapacityTokens: 10000, Leaving: true}})
		return r.engines.moveCount() > 0
	}, 20*time.Second, time.Millisecond)
	<-got
	require.Empty(t, r.engines.dropped())
	close(r.engines.hold)
	require.Eventually(t, func() bool { return len(r.engines.dropped()) == 1 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"handle"}, r.engines.dropped())
	close(first.held)
}

// TestCopyWhenEngineLeaves checks that a run without a copy is copied when its engine reports
// that it is leaving, and is resumed from that copy with the event after the caller's last
// one, also when the engine does not run it at the moment, as one that preempted it, and is asked
// again.
func TestCopyWhenEngineLeaves(t *testing.T) {
	for name, absent := range map[string]int{"running": 0, "preempted": 5} {
		t.Run(name, func(t *testing.T) { copyWhenEngineLeaves(t, absent) })
	}
}

func copyWhenEngineLeaves(t *testing.T, absent int) {
	c := configuration(1, route.Stream, 1, 30*time.Second)
	c.Services[0].ContinuousCopies = false
	first := newStandin(t, "target-0", "stream-held:2")
	second := newStandin(t, "target-1", "stream:")
	r := newRig(t, c, first, second)
	r.engines.absent = absent
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
	require.Eventually(t, func() bool { return first.runCount() == 1 }, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		r.gateway.UpdateLoads([]*wire.Load{{Target: "target-0", CapacityTokens: 10000, Leaving: true}})
		return r.engines.moveCount() > absent
	}, 20*time.Second, time.Millisecond, "no copy was requested")
	close(first.held)
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, fiveEvents, answer.body)
	require.Equal(t, first.address()+"/handle", second.seen[0].Get(testResume))
	require.Equal(t, "2", second.seen[0].Get(testAfter))
}

// TestStopLate guards against a request being accepted late in a stop that is not certain to end
// in time: only its deadline makes that certain, however short its output. One that was likely
// to end was cut off 4.3 s later (test day seeds-and-rolling-stop), and one with a short output
// waited 3.3 s for its first token (patitas-grown, mix, seed 747836259429).
func TestStopLate(t *testing.T) {
	target := newStandin(t, "target-0", "stream:")
	held := newStandin(t, "target-1", "mute")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), held)
	running := make(chan reply, 1)
	go func() { running <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
	require.Eventually(t, func() bool { return held.runCount() == 1 }, 20*time.Second, time.Millisecond)
	r.updateTargets(target, held)
	close(r.stop)
	require.Eventually(t, func() bool { return !r.gateway.Ready() }, 20*time.Second, time.Millisecond)
	likely := map[string]string{testLongest: "300", testBudget: "30000"}
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", likely).status)
	time.Sleep(3 * time.Second) // longer than likelyEndWindow, after which a likely end does not suffice
	require.Equal(t, http.StatusServiceUnavailable, r.send(t, http.MethodPost, "/r/x", "", likely).status)
	require.Equal(t, http.StatusServiceUnavailable, r.send(t, http.MethodPost, "/r/x", "", map[string]string{testLongest: "10", testBudget: "30000"}).status)
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", map[string]string{testLongest: "300", testBudget: "1500"}).status)
	require.Equal(t, http.StatusGatewayTimeout, (<-running).status, "the stop must not wait indefinitely, and says that the outcome is unknown")
}

// TestTimeouts checks that the timeouts for a request's head and for idle connections follow
// the configuration, for connections accepted after it came into force.
func TestTimeouts(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	c := configuration(1, route.Once, 1, 30*time.Second)
	c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 20*time.Second, 20*time.Second
	r := newRig(t, c, target)
	earlier := dial(t, r)
	require.Equal(t, http.StatusOK, exchange(t, earlier))
	next := configuration(2, route.Once, 1, 30*time.Second)
	next.Limits.HeaderTimeout, next.Limits.IdleTimeout = time.Second, time.Second
	*c = *next
	require.NoError(t, r.gateway.Install(&wire.Document{Number: 2}))

	slow := dial(t, r)
	_, err := io.WriteString(slow, "POST /r/x HTTP/1.1\r\nHost: exa")
	require.NoError(t, err)
	_, err = slow.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the head timeout must close the connection")

	idle := dial(t, r)
	require.Equal(t, http.StatusOK, exchange(t, idle))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the idle timeout must close the connection")

	require.Equal(t, http.StatusOK, exchange(t, earlier), "an earlier connection keeps its timeouts")
}

func dial(t *testing.T, r *rig) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a request over the connection and returns the status of its answer.
func exchange(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// TestListsBesideRequests lets lists of targets come while requests choose targets, fail and are turned away,
// for the race detector.
func TestListsBesideRequests(t *testing.T) {
	targets := []*standin{newStandin(t, "target-0", "stream"), newStandin(t, "target-1", "stream:2"), newStandin(t, "target-2", "refuse")}
	r := newRig(t, configuration(1, route.Stream, 2, 3*time.Second), targets...)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				r.updateTargets(targets...)
			}
		}
	}()
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for n := range 20 {
				r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: fmt.Sprint("request-", caller, "-", n)})
			}
		})
	}
	callers.Wait()
	close(stop)
	<-stopped
}
