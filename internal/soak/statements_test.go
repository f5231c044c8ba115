package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

const (
	// leavingMargin is how long after an instance has passed on a target's statement that it is
	// leaving a request may still be sent that reaches this target from there.
	leavingMargin = 500 * time.Millisecond
	// waitMargin is how long after a refusal with a time to wait requests may still arrive, and
	// maxWhileWaiting is how many may arrive from one instance from then until the end of it.
	waitMargin      = 500 * time.Millisecond
	maxWhileWaiting = 2
)

// checkStatements compares the requests that reached targets with what these had stated before
// in answers to the same instance. A signal to the instance in between excuses it.
func checkStatements(records []requestRecord, statements []platformtest.Statement, arrivals []platformtest.Arrival) []string {
	sent := map[string]requestRecord{}
	for _, r := range records {
		sent[r.request.ID] = r
	}
	byTarget := map[string][]platformtest.Arrival{}
	for _, a := range arrivals {
		byTarget[a.Target] = append(byTarget[a.Target], a)
	}
	var out []string
	for _, s := range statements {
		if told, ok := sent[s.Request]; ok && told.answer.Complete() {
			out = append(out, checkStatement(told, s, byTarget[s.Target], sent)...)
		}
	}
	return out
}

// checkStatement checks the arrivals at one target after one statement of it.
func checkStatement(told requestRecord, s platformtest.Statement, arrivals []platformtest.Arrival, sent map[string]requestRecord) []string {
	var out []string
	whileWaiting := 0
	for _, a := range arrivals {
		r, ok := sent[a.Request]
		if !ok || r.sentTo != told.sentTo || r.signalsBefore != told.signalsAfter {
			continue
		}
		if s.Leaving && r.from.After(told.to.Add(leavingMargin)) {
			out = append(out, fmt.Sprintf("request %s to %s reached %s %s after it had stated that it is leaving", a.Request, r.sentTo, s.Target, a.At.Sub(told.to)))
		}
		if a.At.After(told.to.Add(waitMargin)) && a.At.Before(s.Until) {
			whileWaiting++
		}
	}
	if whileWaiting > maxWhileWaiting {
		out = append(out, fmt.Sprintf("%d requests to %s reached %s while it asked for none", whileWaiting, told.sentTo, s.Target))
	}
	return out
}

// TestStatementChecks checks that each check reports the violation that it is meant for.
func TestStatementChecks(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(0, 0).Add(time.Duration(seconds) * time.Second) }
	record := func(id, sentTo string, second, signals int) requestRecord {
		return requestRecord{
			request: platformtest.Request{ID: id}, sentTo: sentTo, from: at(second), to: at(second), signalsBefore: signals, signalsAfter: signals,
			answer: platformtest.Answer{Status: 200},
		}
	}
	arrival := func(id string, second int) platformtest.Arrival {
		return platformtest.Arrival{Request: id, Target: "t", At: at(second)}
	}
	records := []requestRecord{
		record("told", "g", 0, 0), record("early", "g", 0, 0), record("late", "g", 4, 0), record("other", "h", 4, 0), record("restarted", "g", 4, 1),
	}
	leaving := []platformtest.Statement{{Request: "told", Target: "t", At: at(0), Leaving: true}}
	wait := []platformtest.Statement{{Request: "told", Target: "t", At: at(0), Until: at(5)}}
	require.Empty(t, checkStatements(records, leaving, []platformtest.Arrival{arrival("early", 2), arrival("other", 4), arrival("restarted", 4)}))
	require.Len(t, checkStatements(records, leaving, []platformtest.Arrival{arrival("late", 4)}), 1)
	require.Empty(t, checkStatements(records, wait, []platformtest.Arrival{arrival("early", 2), arrival("late", 4), arrival("late", 6), arrival("other", 4)}))
	require.Len(t, checkStatements(records, wait, []platformtest.Arrival{arrival("early", 2), arrival("late", 4), arrival("late", 4)}), 1)
}
