package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/handover"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
)

const (
	continuedRequests = 400
	continuedSeed     = 10412
)

// part is what an engine does with one attempt of a request.
type part struct {
	kind  string
	first int // number of the first event, counted from the one that is asked for
	sent  int // whole events before the cut
	bytes int // of the event that is cut
}

// planned is a request, what each engine that it comes to does, and what its caller must see. The latter is worked
// out from the parts alone.
type planned struct {
	after    int // -1 for a request without a number
	attempts int
	length   int // events of the stream
	parts    []part
}

func planRequest(random *rand.Rand) planned {
	p := planned{after: random.IntN(12) - 1, attempts: 1 + random.IntN(3), length: 1 + random.IntN(10)}
	kinds := []string{"whole", "cut", "cut", "cut", "wrong", "error", "refuse", "head-cut", "comment", "empty"}
	for range p.attempts {
		kind := kinds[random.IntN(len(kinds))]
		p.parts = append(p.parts, part{kind: kind, first: []int{-3, -1, 1, 2}[random.IntN(4)], sent: random.IntN(4), bytes: random.IntN(12)})
	}
	return p
}

// seen is what the caller of a request sees.
type seen struct {
	status   int
	last     int // number of the last event
	complete bool
}

// expected returns what the caller must see.
func (p planned) expected() seen {
	position, head, refused, failure := max(0, p.after), false, true, 0
	for _, part := range p.parts {
		checked := p.after >= 0 || head
		refused, failure = refused && part.kind == "refuse", 0
		switch part.kind {
		case "whole", "comment":
			return seen{http.StatusOK, max(position, p.length), true}
		case "empty":
			return seen{http.StatusOK, position, true}
		case "wrong":
			if !checked { // no number is sent, so that the engine begins where the stream does
				return seen{http.StatusOK, max(position, p.length), true}
			}
		case "cut":
			delivered := max(0, min(part.sent, p.length-position-1))
			head = head || !checked || delivered > 0
			position += delivered
		case "error":
			failure = http.StatusInternalServerError
		}
	}
	switch {
	case head:
		return seen{http.StatusOK, position, false}
	case failure != 0:
		return seen{failure, 0, true}
	case refused:
		return seen{http.StatusServiceUnavailable, 0, true}
	}
	return seen{http.StatusBadGateway, 0, true}
}

func plannedEvent(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", number*number))
}

func plannedEvents(from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		out.WriteString(plannedEvent(n))
	}
	return out.String()
}

// answer has an engine answer an attempt of a planned request.
func (p planned) answer(conn net.Conn, request *http.Request, attempt int) {
	id := request.Header.Get(testID)
	after, _ := strconv.Atoi(request.Header.Get(testAfter))
	part := p.parts[attempt]
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nAttempt: %d\r\nTransfer-Encoding: chunked\r\n\r\n", testID, id, attempt)
	chunk := func(s string) string {
		if s == "" {
			return ""
		}
		return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
	}
	const end = "0\r\n\r\n"
	out := ""
	switch part.kind {
	case "whole":
		out = head + chunk(plannedEvents(after+1, p.length)) + end
	case "comment":
		out = head + chunk(": comment\n\n"+plannedEvents(after+1, p.length)) + end
	case "empty":
		out = head + end
	case "cut":
		out = head
		if after < p.length {
			sent := min(part.sent, p.length-after-1)
			next := plannedEvent(after + sent + 1)
			out += chunk(plannedEvents(after+1, after+sent) + next[:part.bytes%len(next)])
		}
	case "wrong":
		from := after + 1
		if request.Header.Get(testAfter) != "" {
			from = max(0, after+1+part.first)
		}
		out = head + chunk(plannedEvents(from, max(from, p.length))) + end
	case "error":
		out = fmt.Sprintf("HTTP/1.1 500 X\r\n%s: %s\r\nContent-Length: 4\r\n\r\noops", testID, id)
	case "refuse":
		out = fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testID, id, testNotRun)
	case "head-cut":
		out = head[:len(head)/2]
	}
	_, _ = conn.Write([]byte(out)) // a failure shows in the caller's answer
}

// TestContinuedStreams guards against events that are missing, come twice or are cut, whatever engines do to streams
// that are continued: they break off at any byte, ignore the number, refuse, fail or have no more events. What the
// caller must see is worked out from the plan of each request.
func TestContinuedStreams(t *testing.T) {
	random := rand.New(rand.NewPCG(continuedSeed, 1))
	for n := range continuedRequests {
		p := planRequest(random)
		name := fmt.Sprintf("seed %d, request %d: %+v", continuedSeed, n, p)
		var attempts atomic.Int32
		var targets []*standin
		for i := range p.attempts + 1 {
			targets = append(targets, newRawStandin(t, fmt.Sprint("target-", i), func(conn net.Conn, request *http.Request) {
				attempt := int(attempts.Add(1)) - 1
				p.answer(conn, request, attempt)
			}))
		}
		c := configuration(1, route.Stream, p.attempts, handoverTimeout)
		c.Routes[0].Resumable, c.Services[0].ContinuousCopies, c.Services[0].Moves = true, false, false
		r := newRigWith(t, c, func(s *settings.Gateway) { s.RetryReserve = 100 }, targets...)
		header := map[string]string{testBudget: "30000", testLongest: "10"}
		if p.after >= 0 {
			header[testAfter] = strconv.Itoa(p.after)
		}
		got := r.send(t, http.MethodPost, "/r/x", "", header)
		want := p.expected()
		require.Equal(t, want.status, got.status, name)
		require.Equal(t, want.complete, got.err == nil, "%s: %v", name, got.err)
		if want.status == http.StatusOK {
			require.Equal(t, plannedEvents(max(0, p.after)+1, want.last), got.body, name)
		}
		for _, target := range targets {
			require.LessOrEqual(t, target.requestCount(), 1, name)
		}
	}
}

// newContinued returns a gateway with a route of two attempts whose streams can be continued, without copies of runs.
func newContinued(t *testing.T, targets ...*standin) *rig {
	t.Helper()
	c := configuration(1, route.Stream, 2, handoverTimeout)
	c.Routes[0].Resumable, c.Services[0].ContinuousCopies, c.Services[0].Moves = true, false, false
	return newRig(t, c, targets...)
}

// TestHeadOfFirstEngineStays guards against headers of a second engine in an answer whose head the caller has.
func TestHeadOfFirstEngineStays(t *testing.T) {
	engine := func(id, body string) *standin {
		return newRawStandin(t, id, func(conn net.Conn, request *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nEngine: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s",
				testID, request.Header.Get(testID), id, body)
		})
	}
	event := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", len(plannedEvent(n)), plannedEvent(n)) }
	r := newContinued(t, engine("target-0", event(1)), engine("target-1", event(2)+"0\r\n\r\n"))
	got := r.sendPatiently(t, "request-1")
	require.NoError(t, got.err)
	require.Equal(t, plannedEvents(1, 2), got.body)
	require.Equal(t, []string{"target-0"}, got.header.Values("Engine"))
}

// TestLeftEngineIsClosed guards against a stream that two engines work on: the one that was left must see the end of
// its connection before the next one answers.
func TestLeftEngineIsClosed(t *testing.T) {
	events := strings.SplitAfter(fiveEvents, "\n\n")
	for name, body := range map[string]string{"number ignored": events[0], "event missing": events[2] + events[4]} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			first := newRawStandin(t, "target-0", func(conn net.Conn, request *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", testID, request.Header.Get(testID), len(body), body)
				_, _ = conn.Read(make([]byte, 1))
				close(closed)
			})
			second := newStandin(t, "target-1", "stream:")
			second.begins = func() { <-closed }
			r := newContinued(t, first, second)
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testAfter: "2", testBudget: "30000"})
			require.NoError(t, got.err)
			require.Equal(t, strings.TrimPrefix(fiveEvents, firstEvents(2)), got.body)
		})
	}
}

// TestEngineThatWorksOnIsStopped guards against a run that goes on at an engine that has not noticed that its stream
// is continued elsewhere.
func TestEngineThatWorksOnIsStopped(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	r := newContinued(t, first, second)
	r.engines.runsOf = func(address string) (vanillaward.EngineRuns, error) {
		if address == first.address() {
			return named()
		}
		return vanillaward.EngineRuns{}, nil
	}
	r.engines.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
		return vanillaward.MoveResult{Handle: "handle"}, vanillaward.ErrNotCopied
	}
	got := r.sendPatiently(t, "request-1")
	require.NoError(t, got.err)
	require.Equal(t, fiveEvents, got.body)
	requireStopped(t, r, first, second)
}

// TestContinuedWithinBudget guards against streams that are continued beyond the retry budget.
func TestContinuedWithinBudget(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")
	c := configuration(1, route.Stream, 2, handoverTimeout)
	c.Routes[0].Resumable, c.Services[0].ContinuousCopies, c.Services[0].Moves = true, false, false
	r := newRigWith(t, c, func(s *settings.Gateway) { s.RetryReserve, s.RetryRatio = 0, 0 }, first, second)
	got := r.sendPatiently(t, "request-1")
	require.Error(t, got.err)
	require.Equal(t, firstEvents(2), got.body)
	require.Zero(t, second.requestCount())
}

// TestSilentEngineIsLeft guards against a stream that waits for an engine that has fallen silent until its time is
// over, though another engine could continue it.
func TestSilentEngineIsLeft(t *testing.T) {
	first, second := newStandin(t, "target-0", "stream-paused:2"), newStandin(t, "target-1", "stream:")
	defer close(first.held)
	r := newContinued(t, first, second)
	got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "6000"})
	require.NoError(t, got.err)
	require.Equal(t, fiveEvents, got.body)
}

// TestContinuedPastDeadEngines guards against a stream that ends because the next engine takes no connections, some
// time after the request came.
func TestContinuedPastDeadEngines(t *testing.T) {
	first := newStandin(t, "target-0", "stream-held:2")
	dead, last := newStandin(t, "target-1", "dead"), newStandin(t, "target-2", "stream:")
	r := newContinued(t, first)
	got := make(chan reply, 1)
	go func() { got <- r.sendPatiently(t, "request-1") }()
	require.Eventually(t, func() bool { return first.runCount() == 1 }, handoverTimeout, time.Millisecond)
	time.Sleep(800 * time.Millisecond) // longer than dialWindow
	r.updateTargets(dead, last)        // the dead one is in the gateway's domain
	close(first.held)
	requireWholeStream(t, got)
	require.Equal(t, "2", last.lastHeader().Get(testAfter))
}

// TestContinuedElsewhereWithoutTargets guards against a stream that ends because its gateway has lost the paths to all
// targets, though another gateway can continue it.
func TestContinuedElsewhereWithoutTargets(t *testing.T) {
	resumable := configuration(1, route.Stream, 2, handoverTimeout)
	resumable.Routes[0].Resumable, resumable.Services[0].ContinuousCopies, resumable.Services[0].Moves = true, false, false
	first, other := newStandin(t, "target-0", "stream-held:2"), newStandin(t, "target-0", "stream:")
	r := newRig(t, resumable, first)
	r.helpedBy(newRig(t, resumable, other))
	got := make(chan reply, 1)
	go func() { got <- r.sendPatiently(t, "request-1") }()
	require.Eventually(t, func() bool { return first.runCount() == 1 }, handoverTimeout, time.Millisecond)
	r.updateTargets(newStandin(t, "dead-0", "dead"), newStandin(t, "dead-1", "dead"))
	close(first.held)
	requireWholeStream(t, got)
	require.Equal(t, "2", other.lastHeader().Get(testAfter))
}

// TestContinuedByHelper guards against events that come twice or are missing when a request goes to another gateway:
// it must be told the number, whether its engine breaks off, or it does itself.
func TestContinuedByHelper(t *testing.T) {
	resumable := configuration(1, route.Stream, 2, handoverTimeout)
	resumable.Routes[0].Resumable, resumable.Services[0].ContinuousCopies, resumable.Services[0].Moves = true, false, false
	t.Run("number of the caller", func(t *testing.T) {
		target := newStandin(t, "target-0", "stream:")
		cut := newCutRig(t, resumable, newRig(t, resumable, target))
		got := cut.send(t, http.MethodPost, "/r/x", "", map[string]string{testAfter: "3", testBudget: "30000"})
		require.NoError(t, got.err)
		require.Equal(t, strings.TrimPrefix(fiveEvents, firstEvents(3)), got.body)
		require.Equal(t, "3", target.lastHeader().Get(testAfter))
	})
	t.Run("engine of the helper breaks off", func(t *testing.T) {
		cut := newCutRig(t, resumable, newRig(t, resumable, newStandin(t, "target-0", "stream:2"), newStandin(t, "target-1", "stream:")))
		got := cut.sendPatiently(t, "request-1")
		require.NoError(t, got.err)
		require.Equal(t, fiveEvents, got.body)
	})
	t.Run("helper breaks off", func(t *testing.T) {
		target := newStandin(t, "target-0", "stream:")
		helper := newRig(t, resumable, target)
		cut := newCutRig(t, resumable)
		lost := newRawStandin(t, "helper", func(conn net.Conn, request *http.Request) {
			cut.helpedBy(helper)
			h := http.Header{}
			handover.NewAnswer(request.Header.Get(testID), handover.Answered, "", "target-0").Set(h)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
			_ = h.Write(conn)
			_, _ = fmt.Fprintf(conn, "\r\n%x\r\n%s", len(fiveEvents), firstEvents(2)+"id: 3") // a failure shows in the caller's answer
		})
		cut.gateway.UpdateHelpers([]string{lost.address()})
		got := cut.sendPatiently(t, "request-1")
		require.NoError(t, got.err)
		require.Equal(t, fiveEvents, got.body)
		require.Equal(t, "2", target.lastHeader().Get(testAfter))
	})
}
