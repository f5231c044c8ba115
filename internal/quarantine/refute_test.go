package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/quarantine"
)

// TestAnswerRefutesCrashHeardLater guards against a whole answer that others are not told of because it came
// before its instance heard of the crash that it refutes, and soon after another one that others know.
func TestAnswerRefutesCrashHeardLater(t *testing.T) {
	at := func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }
	kinds := map[string]struct {
		crash, answer func(l *quarantine.Ledger, id, target string, now time.Duration)
		held          func(l *quarantine.Ledger, now time.Duration) *quarantine.Held
	}{
		"part": {
			func(l *quarantine.Ledger, id, target string, now time.Duration) {
				l.Crashed(id, target, []string{"p"}, 0, now)
			},
			func(l *quarantine.Ledger, _, _ string, now time.Duration) { l.Answered([]string{"p"}, now) },
			func(l *quarantine.Ledger, now time.Duration) *quarantine.Held { return l.Check([]string{"p"}, now) },
		},
		"request": {
			func(l *quarantine.Ledger, id, target string, now time.Duration) {
				l.RequestCrashed(plain("r"), id, target, 0, now)
			},
			func(l *quarantine.Ledger, _, target string, now time.Duration) {
				l.RequestAnswered(plain("r"), target, now)
			},
			func(l *quarantine.Ledger, now time.Duration) *quarantine.Held {
				return l.CheckRequest(plain("r"), now)
			},
		},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			a, b, c := quarantine.New("a"), quarantine.New("b"), quarantine.New("c")
			kind.crash(b, "first", "target-0", at(1))
			kind.answer(b, "", "target-5", at(2))
			c.Merge(b.Evidence(at(3)), at(3))
			known := b.OwnVersion()
			for n, id := range []string{"1", "2", "3", "4", "5"} {
				kind.crash(a, id, "target-"+id, at(10+n))
			}
			kind.answer(b, "", "target-6", at(20)) // b has not heard of these yet
			b.Merge(a.Evidence(at(21)), at(21))
			c.Merge(a.Evidence(at(21)), at(21))
			require.NotNil(t, kind.held(c, at(22)), "nothing speaks against it yet")
			c.Merge(b.OwnNews(known, at(23)), at(23))
			require.Nil(t, kind.held(c, at(24)))
		})
	}
}

// TestSuspects guards against looking at targets when no crash can be refuted, and against not looking when one can.
func TestSuspects(t *testing.T) {
	l := quarantine.New("i")
	bad, other := plain("bad"), plain("other")
	require.False(t, l.Suspects(bad, []string{"system"}))
	l.Crashed("1", "target-1", []string{"system", "part"}, 0, time.Second)
	require.True(t, l.Suspects(other, []string{"system"}))
	require.False(t, l.Suspects(other, []string{"topic"}))
	l.Answered([]string{"system"}, 2*time.Second)
	require.False(t, l.Suspects(other, []string{"system"}), "refuted")
	require.True(t, l.Suspects(other, []string{"system", "part"}))
	l.RequestCrashed(bad, "2", "target-2", 0, 3*time.Second)
	require.True(t, l.Suspects(bad, nil))
	require.False(t, l.Suspects(other, nil))
	l.RequestAnswered(bad, "target-3", 4*time.Second)
	require.False(t, l.Suspects(bad, nil), "refuted")
}
