package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testNumber numbers the callers' requests; several may have the same ID.
const testNumber = "Test-Number"

// repeatingTarget answers every other request on a connection by a given kind of answer, and writes
// that answer once more around the one to the next request, which it runs.
type repeatingTarget struct {
	*standin
	repeatCase
}

func newRepeatingTarget(t *testing.T, id string, c repeatCase) *repeatingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &repeatingTarget{standin: &standin{id: id, listener: listener}, repeatCase: c}
	go acceptAll(listener, r.serveConn)
	return r
}

func (r *repeatingTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		first, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.answerAs(conn, r.kind, first, r.names("earlier", first, nil))
		if r.when == "before" {
			r.answerAs(conn, r.kind, nil, r.names(r.naming, first, nil))
		}
		second, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.when == "with" {
			r.answerAs(conn, r.kind, nil, r.names(r.naming, first, second))
		}
		r.answerAs(conn, "success", second, r.names("earlier", second, nil))
		if r.when == "after" {
			r.answerAs(conn, r.kind, nil, r.names(r.naming, first, second))
		}
	}
}

// names returns the header lines by which an answer names requests.
func (r *repeatingTarget) names(naming string, first, second *http.Request) string {
	line := func(id string) string { return fmt.Sprintf("%s: %s\r\n", testID, id) }
	switch {
	case naming == "none":
		return ""
	case naming == "two" && second != nil:
		return line(second.Header.Get(testID)) + line(first.Header.Get(testID))
	}
	return line(first.Header.Get(testID))
}

// answerAs writes an answer of a kind. It runs the request, unless that is nil or refused.
func (r *repeatingTarget) answerAs(conn net.Conn, kind string, request *http.Request, names string) {
	number := "repeated"
	if request != nil {
		number = request.Header.Get(testNumber)
		if kind != "refusal" {
			r.mu.Lock()
			r.runs = append(r.runs, number)
			r.mu.Unlock()
		}
	}
	events := fmt.Sprintf("id: 1\ndata: %s\n\n", number)
	switch kind {
	case "refusal":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%s%s: 1\r\n%s: 50\r\nContent-Length: 0\r\n\r\n", names, testNotRun, testWait)
	case "failure":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 X\r\n%sContent-Length: 2\r\n\r\nno", names)
	case "interim":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 X\r\n%s%s: 20000\r\n\r\n", names, testWait)
		if request != nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", names, len(events), events)
		}
	default:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", names, len(events), events)
	}
}

// runsOf returns how often targets have run a numbered request.
func runsOf(targets []*repeatingTarget, number string) int {
	runs := 0
	for _, r := range targets {
		r.mu.Lock()
		for _, ran := range r.runs {
			if ran == number {
				runs++
			}
		}
		r.mu.Unlock()
	}
	return runs
}

// TestRepeatedAnswer guards against an earlier answer that a target writes once more on a kept
// connection and that is taken for the answer to the next request: a caller would be told that a
// request did not run which ran, would get another one's answer, or its request would run twice.
func TestRepeatedAnswer(t *testing.T) {
	for _, c := range repeatCases() {
		t.Run(fmt.Sprintf("%s/%s/%s/%s/%d", c.kind, c.naming, c.when, c.class, c.targets), func(t *testing.T) {
			t.Parallel()
			var all []*repeatingTarget
			var standins []*standin
			for i := range c.targets {
				all = append(all, newRepeatingTarget(t, fmt.Sprint("target-", i), c))
				standins = append(standins, all[i].standin)
			}
			config := configuration(1, kinds[c.class], c.targets, 3*time.Second)
			config.Services[0].ContinuousCopies, config.Services[0].Moves = false, false
			checkRepeats(t, newRig(t, config, standins...), all, c)
		})
	}
}

// repeatCase is one combination of TestRepeatedAnswer.
type repeatCase struct {
	kind    string // of the answer that is repeated: refusal, success, failure, stream, interim
	naming  string // which requests the copy names: earlier, none, two; or all requests have the same name
	when    string // when the copy is written: before the next request, with it, or after its answer
	class   string // kind of route
	targets int
}

func repeatCases() []repeatCase {
	var cases []repeatCase
	for _, kind := range []string{"refusal", "success", "failure", "stream", "interim"} {
		for _, naming := range []string{"earlier", "same", "none", "two"} {
			for _, when := range []string{"before", "with", "after"} {
				for class := range kinds {
					cases = append(cases, repeatCase{kind, naming, when, class, 1}, repeatCase{kind, naming, when, class, 2})
				}
			}
		}
	}
	return cases
}

// checkRepeats sends requests one after another and checks what their callers are told. If the copy
// names its own request, every other answer reaches its caller.
func checkRepeats(t *testing.T, r *rig, targets []*repeatingTarget, c repeatCase) {
	t.Helper()
	refused := map[string]bool{}
	for i := range 12 {
		number := fmt.Sprint("number-", i)
		id := fmt.Sprint("request-", i)
		if c.naming == "same" {
			id = "request"
		}
		got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: id, testNumber: number})
		require.NoError(t, got.err)
		refused[number] = statesNotRun(got.status)
		if got.status == http.StatusOK {
			require.Contains(t, got.body, number)
		}
		if c.naming == "earlier" && !refused[number] && c.kind != "failure" {
			require.Equal(t, http.StatusOK, got.status, number)
		}
		if refused[number] {
			time.Sleep(60 * time.Millisecond) // the time for which the target asked to get no requests
		}
	}
	for number := range refused {
		runs := runsOf(targets, number)
		if refused[number] {
			require.Zero(t, runs, "%s was refused", number)
		}
		if c.class != "idempotent" {
			require.LessOrEqual(t, runs, 1, number)
		}
	}
}

// statesNotRun reports whether a status tells a caller that its request did not run.
func statesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
