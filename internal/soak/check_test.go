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

// requestKind is the kind of a request; only safe requests may run more than once.
type requestKind int

const (
	kindSafe requestKind = iota
	kindOnce
	kindStream
	kindSlowStream // is recorded as kindStream
	kindContinued  // a stream that may be continued after an event
)

// requestRecord is a request and the answer that its caller received.
type requestRecord struct {
	kind    requestKind
	request platformtest.Request
	answer  platformtest.Answer
	sentTo  string
	after   int // number of the last event that the caller has, of kindContinued
	// stopping is set when the instance received SIGTERM during the request and no other
	// fault affected the instance or the targets.
	stopping bool
	from, to time.Time
	// signalsBefore and signalsAfter count the signals that the instance had received when the
	// request was sent and when its answer had arrived.
	signalsBefore, signalsAfter int
	// undisturbed is set when no fault affected the instance during the request.
	undisturbed bool
}

// hangMargin is the time beyond a request's budget after which a missing answer is a
// finding.
const hangMargin = 15 * time.Second

// checkRecord compares the answer to a request with its runs at the targets and returns the
// findings.
func checkRecord(r requestRecord, runs platformtest.Runs) []string {
	var out []string
	add := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("request %s to %s, status %d, %+v: ", r.request.ID, r.sentTo, r.answer.Status, runs)+fmt.Sprintf(format, args...))
	}
	if r.kind != kindSafe && r.kind != kindContinued && runs.Started > 1 {
		add("request ran more than once")
	}
	if r.answer.Complete() {
		checkRefusal(r, runs, add)
	}
	if r.answer.Status == http.StatusOK {
		checkBody(r, runs, add)
	}
	if r.stopping && !r.answer.Complete() && begun(runs) {
		add("answer cut off by a planned stop: %v", r.answer.Err)
	}
	if r.undisturbed && r.answer.Status == 0 && r.to.Sub(r.from) > r.request.Budget+hangMargin {
		add("no answer within %s", r.to.Sub(r.from))
	}
	return out
}

func checkRefusal(r requestRecord, runs platformtest.Runs, add func(string, ...any)) {
	if (r.answer.NotRun() || refusedByRoute(r.answer.Status)) && begun(runs) {
		add("answer states that the request has not run")
	}
	if r.answer.NotRun() && r.answer.Status != http.StatusRequestTimeout && r.answer.RetryAfter == "" {
		add("refused without a Retry-After header")
	}
}

// begun reports whether a target has begun to run a request.
func begun(runs platformtest.Runs) bool { return runs.Started+runs.Continued > 0 }

func refusedByRoute(status int) bool {
	return status == http.StatusNotFound || status == http.StatusUnauthorized || status == http.StatusForbidden
}

func checkBody(r requestRecord, runs platformtest.Runs, add func(string, ...any)) {
	expected := platformtest.PlainAnswer(r.request.ID, platformtest.Organisation, r.request.Body)
	switch r.kind {
	case kindStream:
		expected = platformtest.StreamAnswer()
	case kindContinued:
		expected = platformtest.StreamAnswerAfter(r.after)
	}
	switch {
	case r.answer.Complete() && r.answer.Body != expected:
		add("answer differs from that of the target: %.200q", r.answer.Body)
	case !strings.HasPrefix(expected, r.answer.Body):
		add("partial answer is not a prefix of the target's answer: %.200q", r.answer.Body)
	case !begun(runs):
		add("answer without a run")
	}
}

// history records the configurations that the operator sent.
type history struct {
	sent  map[uint64]string // bodies by version
	acked uint64            // highest version that was acknowledged
}

// checkRead compares the version and body that a replica returned with what had been
// acknowledged before the read was sent.
func (h *history) checkRead(replica string, ackedBefore, version uint64, body string) []string {
	switch {
	case version < ackedBefore:
		return []string{fmt.Sprintf("%s reads version %d after %d was acknowledged", replica, version, ackedBefore)}
	case h.sent[version] != body:
		return []string{fmt.Sprintf("%s reads another body under version %d", replica, version)}
	}
	return nil
}

// TestChecks checks that each check reports the violation that it is meant for.
func TestChecks(t *testing.T) {
	plain := platformtest.PlainAnswer("id", platformtest.Organisation, "body")
	request := platformtest.Request{ID: "id", Body: "body", Budget: time.Second}
	once := platformtest.Runs{Started: 1}
	cutErr := connError("cut")
	cases := []struct {
		name    string
		r       requestRecord
		runs    platformtest.Runs
		finding string // substring of the only finding; empty if none is expected
	}{
		{"whole", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 200, Body: plain}}, once, ""},
		{"twice", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{Started: 2}, "more than once"},
		{"repeated", requestRecord{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{Started: 2}, ""},
		{"foreign", requestRecord{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: "foreign"}}, once, "answer differs"},
		{"cut", requestRecord{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[:40], Err: cutErr}}, once, ""},
		{"short", requestRecord{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[:40]}}, once, "answer differs"},
		{"skipped", requestRecord{kind: kindStream, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer()[10:40], Err: cutErr}}, once, "not a prefix"},
		{"continued", requestRecord{kind: kindContinued, after: 3, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswerAfter(3)}}, platformtest.Runs{Started: 1, Continued: 2}, ""},
		{"event twice", requestRecord{kind: kindContinued, after: 3, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswerAfter(2)}}, platformtest.Runs{Continued: 1}, "answer differs"},
		{"beginning twice", requestRecord{kind: kindContinued, after: 3, answer: platformtest.Answer{Status: 200, Body: platformtest.StreamAnswer(), Err: cutErr}}, platformtest.Runs{Continued: 1}, "not a prefix"},
		{"false refusal of a continuation", requestRecord{kind: kindContinued, answer: platformtest.Answer{Status: 503, RetryAfter: "1"}}, platformtest.Runs{Continued: 1}, "has not run"},
		{"refused", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 503, RetryAfter: "1"}}, platformtest.Runs{}, ""},
		{"false refusal", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 503, RetryAfter: "1"}}, once, "has not run"},
		{"no time", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 503}}, platformtest.Runs{}, "without a Retry-After"},
		{"no route", requestRecord{kind: kindOnce, answer: platformtest.Answer{Status: 404}}, once, "has not run"},
		{"invented", requestRecord{kind: kindSafe, answer: platformtest.Answer{Status: 200, Body: plain}}, platformtest.Runs{}, "without a run"},
		{"stopped", requestRecord{kind: kindOnce, stopping: true, answer: platformtest.Answer{Err: cutErr}}, once, "planned stop"},
		{"killed", requestRecord{kind: kindOnce, answer: platformtest.Answer{Err: cutErr}}, once, ""},
		{"held", requestRecord{kind: kindOnce, undisturbed: true, to: time.Time{}.Add(time.Minute), answer: platformtest.Answer{Err: cutErr}}, once, "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.r.request = request
			findings := checkRecord(c.r, c.runs)
			if c.finding == "" {
				require.Empty(t, findings)
				return
			}
			require.Len(t, findings, 1)
			require.Contains(t, findings[0], c.finding)
		})
	}
	h := &history{sent: map[uint64]string{3: "three", 4: "four"}}
	require.Empty(t, h.checkRead("r", 3, 4, "four"))
	require.Len(t, h.checkRead("r", 4, 3, "three"), 1)
	require.Len(t, h.checkRead("r", 3, 4, "other"), 1)
}

// connError is the error of a connection in the tests of the checks.
type connError string

func (e connError) Error() string { return string(e) }
