package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

// kind is what may be repeated of a request.
type kind int

const (
	kindSafe kind = iota
	kindOnce
	kindStream
)

// record is a request and what its caller got.
type record struct {
	kind    kind
	request platformtest.Request
	answer  platformtest.Answer
	sentTo  string
	// stopping is set when the instance was told to stop while it had the request, and
	// nothing else befell it or the targets.
	stopping bool
	from, to time.Time
	// undisturbed is set when nothing befell the instance meanwhile.
	undisturbed bool
}

// hangTime is how long beyond its time budget a caller waits before an instance is said
// to hold a request for ever.
const hangTime = 15 * time.Second

// checkRecord compares what a caller got with what targets did.
func checkRecord(r record, runs platformtest.Runs) []string {
	var out []string
	add := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("request %s to %s, status %d, %+v: ", r.request.ID, r.sentTo, r.answer.Status, runs)+fmt.Sprintf(format, args...))
	}
	if r.kind != kindSafe && runs.Started > 1 {
		add("ran more than once")
	}
	if r.answer.Whole() {
		checkRefusal(r, runs, add)
	}
	if r.answer.Status == http.StatusOK {
		checkBody(r, runs, add)
	}
	if r.stopping && !r.answer.Whole() && runs.Started > 0 {
		add("cut by a planned stop: %v", r.answer.Err)
	}
	if r.undisturbed && r.answer.Status == 0 && r.to.Sub(r.from) > r.request.Budget+hangTime {
		add("no answer within %s", r.to.Sub(r.from))
	}
	return out
}

func checkRefusal(r record, runs platformtest.Runs, add func(string, ...any)) {
	if (r.answer.NotRun() || refusedByRoute(r.answer.Status)) && runs.Started > 0 {
		add("the caller was told that it has not run")
	}
	if r.answer.NotRun() && r.answer.Status != http.StatusRequestTimeout && r.answer.RetryAfter == "" {
		add("refused without a time to come back")
	}
}

func refusedByRoute(status int) bool {
	return status == http.StatusNotFound || status == http.StatusUnauthorized || status == http.StatusForbidden
}

func checkBody(r record, runs platformtest.Runs, add func(string, ...any)) {
	whole := platformtest.PlainAnswer(r.request.ID, platformtest.Organisation, r.request.Body)
	if r.kind == kindStream {
		whole = platformtest.StreamAnswer()
	}
	switch {
	case r.answer.Whole() && r.answer.Body != whole:
		add("another answer than the target's: %.200q", r.answer.Body)
	case !strings.HasPrefix(whole, r.answer.Body):
		add("a part of another answer: %.200q", r.answer.Body)
	case runs.Started == 0:
		add("an answer without a run")
	}
}

// history is what the operator knows of the configuration.
type history struct {
	sent  map[uint64]string // bodies by version
	acked uint64            // highest version that was acknowledged
}

// checkRead compares what a replica read with what had been acknowledged before the
// question was sent.
func (h *history) checkRead(replica string, ackedBefore, version uint64, body string) []string {
	switch {
	case version < ackedBefore:
		return []string{fmt.Sprintf("%s reads version %d after %d was acknowledged", replica, version, ackedBefore)}
	case h.sent[version] != body:
		return []string{fmt.Sprintf("%s reads another body under version %d", replica, version)}
	}
	return nil
}

// TestChecks: each check finds what it is for.
func TestChecks(t *testing.T) {
	plain := platformtest.PlainAnswer("id", platformtest.Organisation, "body")
	request := platformtest.Request{ID: "id", Body: "body", Budget: time.Second}
	once := platformtest.Runs{Started: 1}
	broken := errBroken("cut")
	cases := []struct {
		name  string
		r     record
		runs  platformtest.Runs
		found string // part of the only finding; empty for none
	}{
		{"whole", record{kind: kindOnce, answer: platformtest.Answer{Status: 200, Body: plain}}, once, ""},
		{"twice", record{kind: kindOnce, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{Started: 2}, "more than once"},
		{"repeated", record{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{Started: 2}, ""},
		{"foreign", record{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: "foreign"}}, once, "another answer"},
		{"cut", record{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[:40], Err: broken}}, once, ""},
		{"short", record{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[:40]}}, once, "another answer"},
		{"skipped", record{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[10:40], Err: broken}}, once, "part of another"},
		{"refused", record{kind: kindOnce, answer: platformtest.Answer{Status: 503, RetryAfter: "1"}}, platformtest.Runs{}, ""},
		{"false refusal", record{kind: kindOnce, answer: platformtest.Answer{Status: 503, RetryAfter: "1"}}, once, "has not run"},
		{"no time", record{kind: kindOnce, answer: platformtest.Answer{Status: 503}}, platformtest.Runs{}, "come back"},
		{"no route", record{kind: kindOnce, answer: platformtest.Answer{Status: 404}}, once, "has not run"},
		{"invented", record{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{}, "without a run"},
		{"stopped", record{kind: kindOnce, stopping: true, answer: platformtest.Answer{Err: broken}}, once, "planned stop"},
		{"killed", record{kind: kindOnce, answer: platformtest.Answer{Err: broken}}, once, ""},
		{"held", record{kind: kindOnce, undisturbed: true, to: time.Time{}.Add(time.Minute), answer: platformtest.Answer{Err: broken}}, once, "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.r.request = request
			found := checkRecord(c.r, c.runs)
			if c.found == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], c.found)
		})
	}
	h := &history{sent: map[uint64]string{3: "three", 4: "four"}}
	require.Empty(t, h.checkRead("r", 3, 4, "four"))
	require.Len(t, h.checkRead("r", 4, 3, "three"), 1)
	require.Len(t, h.checkRead("r", 3, 4, "other"), 1)
}

// errBroken is the error of a connection in the tests of the checks.
type errBroken string

func (e errBroken) Error() string { return string(e) }
