package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

// handoverTimeout is the time limit of the routes of these tests, long enough for a busy machine.
const handoverTimeout = 30 * time.Second

// newCutRig returns a gateway none of whose targets can be reached, with the given gateways as helpers.
func newCutRig(t *testing.T, c *route.Configuration, helpers ...*rig) *rig {
	t.Helper()
	r := newRig(t, c, newStandin(t, "dead-0", "dead"), newStandin(t, "dead-1", "dead"))
	r.helpedBy(helpers...)
	return r
}

func (r *rig) helpedBy(helpers ...*rig) {
	var addresses []string
	for _, h := range helpers {
		addresses = append(addresses, h.takeover)
	}
	r.gateway.UpdateHelpers(addresses)
}

func (r *rig) sendPatiently(t *testing.T, id string) reply {
	t.Helper()
	return r.send(t, http.MethodPost, "/r/path?query=1", "body", map[string]string{testID: id, testBudget: strconv.FormatInt(handoverTimeout.Milliseconds(), 10)})
}

// TestHandedOver checks that a gateway without targets has requests served by another one, unchanged and
// once, and that its caller gets what that one's target answered.
func TestHandedOver(t *testing.T) {
	for _, c := range []struct {
		kind      route.Kind
		behaviour string
		body      string
		status    int
	}{
		{route.Once, "complete", completeBody, http.StatusOK},
		{route.Idempotent, "complete", completeBody, http.StatusOK},
		{route.Once, "unframed", completeBody, http.StatusOK},
		{route.Once, "error", "oops", http.StatusInternalServerError},
		{route.Once, "truncate", "", http.StatusBadGateway},
		{route.Stream, "stream:", fiveEvents, http.StatusOK},
	} {
		t.Run(fmt.Sprint(c.kind, c.behaviour), func(t *testing.T) {
			target := newStandin(t, "target-0", c.behaviour)
			helper := newRig(t, configuration(1, c.kind, 1, handoverTimeout), target)
			cut := newCutRig(t, configuration(1, c.kind, 1, handoverTimeout), helper)
			for i := range 3 {
				id := fmt.Sprint("request-", i)
				got := cut.sendPatiently(t, id)
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				if c.body != "" {
					require.Equal(t, c.body, got.body)
				}
				for name := range got.header {
					require.NotContains(t, name, "Handover", "callers are not told")
				}
				require.Equal(t, i+1, target.runCount())
				require.Equal(t, id, target.runs[i])
			}
			require.True(t, strings.HasPrefix(target.bodies[0], "POST /r/path?query=1 "+testHost+" "))
			require.Equal(t, "org", target.firstHeader().Get(testOrg))
			require.Empty(t, target.firstHeader().Get("Vanillaward-Handover"), "targets are not told")
			require.True(t, cut.gateway.LacksTargets())
			require.False(t, helper.gateway.LacksTargets())
		})
	}
}

// TestHandedOverOnlyOnce guards against requests that go round between gateways without targets.
func TestHandedOverOnlyOnce(t *testing.T) {
	c := configuration(1, route.Once, 1, handoverTimeout)
	first, second := newCutRig(t, c), newCutRig(t, c)
	first.helpedBy(second)
	second.helpedBy(first)
	for _, r := range []*rig{first, second, first} {
		got := r.sendPatiently(t, "request")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
}

// TestNextHelper checks that a request that a helper declines, or cannot be told, goes to another one.
func TestNextHelper(t *testing.T) {
	newest := configuration(2, route.Once, 1, handoverTimeout)
	behindTarget, target := newStandin(t, "target-0", "complete"), newStandin(t, "target-0", "complete")
	behind := newRig(t, configuration(1, route.Once, 1, handoverTimeout), behindTarget)
	alsoCut := newCutRig(t, newest)
	require.Equal(t, http.StatusServiceUnavailable, alsoCut.sendPatiently(t, "notices").status)
	helper := newRig(t, newest, target)
	cut := newCutRig(t, newest, behind, alsoCut, helper)
	for i := range 4 {
		require.Equal(t, http.StatusOK, cut.sendPatiently(t, fmt.Sprint("request-", i)).status)
	}
	require.Zero(t, behindTarget.requestCount(), "its configuration may not have the route")
	require.Equal(t, 4, target.runCount())
}

// TestHelperIsLost guards against requests that may have run being refused as not run, or being handed
// over once more, when their helper is lost.
func TestHelperIsLost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go acceptAll(listener, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	c := configuration(1, route.Once, 1, handoverTimeout)
	target := newStandin(t, "target-0", "complete")
	cut := newCutRig(t, c, newRig(t, c, target))
	cut.gateway.UpdateHelpers([]string{listener.Addr().String()})
	require.Equal(t, http.StatusBadGateway, cut.sendPatiently(t, "request").status)
	require.Zero(t, target.requestCount())
}

// TestHelperCutsStream guards against a stream that breaks off at the helper and looks complete.
func TestHelperCutsStream(t *testing.T) {
	c := configuration(1, route.Stream, 1, handoverTimeout)
	cut := newCutRig(t, c, newRig(t, c, newStandin(t, "target-0", "stream:2")))
	got := cut.sendPatiently(t, "request")
	require.Equal(t, http.StatusOK, got.status)
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	require.Equal(t, firstEvents(2), got.body)
}

// firstEvents returns the first of fiveEvents.
func firstEvents(n int) string {
	return strings.Join(strings.SplitAfter(fiveEvents, "\n\n")[:n], "")
}

// TestCallerLeavesHandedOver guards against runs that go on after the caller of a request that was handed
// over has left.
func TestCallerLeavesHandedOver(t *testing.T) {
	left := make(chan struct{})
	target := newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
		close(left)
	})
	c := configuration(1, route.Once, 1, handoverTimeout)
	cut := newCutRig(t, c, newRig(t, c, target))
	conn, err := net.Dial("tcp", cut.address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return target.requestCount() == 1 }, handoverTimeout, time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-left:
	case <-time.After(handoverTimeout):
		require.Fail(t, "the target is still at work")
	}
}

// TestHandedOverKeepsLimits checks that the attempts and the time of a request are those that it would have
// had at its own gateway.
func TestHandedOverKeepsLimits(t *testing.T) {
	failing := []*standin{newStandin(t, "target-0", "error"), newStandin(t, "target-1", "error"), newStandin(t, "target-2", "error")}
	c := configuration(1, route.Idempotent, 2, handoverTimeout)
	cut := newCutRig(t, c, newRig(t, c, failing...))
	got := cut.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "9000"})
	require.Equal(t, http.StatusInternalServerError, got.status)
	sent := 0
	for _, s := range failing {
		sent += s.requestCount()
		if s.requestCount() > 0 {
			left, err := strconv.Atoi(s.firstHeader().Get(testLeft))
			require.NoError(t, err)
			require.LessOrEqual(t, left, 9000)
		}
	}
	require.Equal(t, 2, sent, "attempts of the route")
}

// TestTakeoverRefusesCallers checks that the address for other gateways serves no request without the
// terms of a handover.
func TestTakeoverRefusesCallers(t *testing.T) {
	target := newStandin(t, "target-0", "complete")
	r := newRig(t, configuration(1, route.Once, 1, handoverTimeout), target)
	r.address = r.takeover
	require.Equal(t, http.StatusBadRequest, r.sendPatiently(t, "request").status)
	require.Equal(t, http.StatusBadRequest, r.send(t, http.MethodPost, "/r/x", "", map[string]string{"Vanillaward-Handover": "configuration=1, sent=-1, counted=true"}).status)
	require.Zero(t, target.requestCount())
}

// TestRefusedAfterItMayHaveRun guards against a request that may have run at a target of its own gateway being
// refused as not run, because the gateway that it was handed over to could not serve it.
func TestRefusedAfterItMayHaveRun(t *testing.T) {
	c := configuration(1, route.Idempotent, 2, handoverTimeout)
	release := make(chan struct{})
	held := newRawStandin(t, "held", func(net.Conn, *http.Request) { <-release })
	r := newRig(t, c, held)
	answer := make(chan reply, 1)
	go func() { answer <- r.sendPatiently(t, "may-have-run") }()
	require.Eventually(t, func() bool { return held.requestCount() == 1 }, handoverTimeout, time.Millisecond)
	r.updateTargets(newStandin(t, "dead-0", "dead"), newStandin(t, "dead-1", "dead"))
	require.Equal(t, http.StatusServiceUnavailable, r.sendPatiently(t, "notices").status)
	require.True(t, r.gateway.LacksTargets())
	r.helpedBy(newRig(t, c, newStandin(t, "full", "refuse")))
	close(release)
	require.Equal(t, http.StatusBadGateway, (<-answer).status)
}

// TestHandedOverStreamIsPassedOnAsItArrives guards against streams that are held at the gateway until they are
// whole, as they were if their content type had a parameter.
func TestHandedOverStreamIsPassedOnAsItArrives(t *testing.T) {
	c := configuration(1, route.Stream, 1, handoverTimeout)
	release := make(chan struct{})
	target := newRawStandin(t, "target-0", func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n%s", testID, request.Header.Get(testID), firstEvents(1))
		<-release
		_, _ = io.WriteString(conn, strings.TrimPrefix(fiveEvents, firstEvents(1))) // a failure shows in the caller's answer
	})
	cut := newCutRig(t, c, newRig(t, c, target))
	conn := dial(t, cut)
	require.NoError(t, conn.SetDeadline(time.Now().Add(handoverTimeout/2)))
	_, err := io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "nothing is passed on before the stream ends")
	first := make([]byte, len(firstEvents(1)))
	_, err = io.ReadFull(response.Body, first)
	require.NoError(t, err)
	close(release)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, fiveEvents, string(first)+string(rest))
}
