package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/quarantine"
)

// plain returns a request without a prompt.
func plain(path string) quarantine.Request {
	return quarantine.NewRequest("caller", "GET", "host", path, nil, nil)
}

// sendRepeat sends a request that may crash its target, at a random instance. It reports whether it was
// sent.
func (d *deployment) sendRepeat(name string, crashes bool) bool {
	d.requests++
	instance := d.instances[d.random.IntN(len(d.instances))]
	if instance.CheckRequest(plain(name), d.now) != nil {
		return false
	}
	if crashes {
		d.crashes = append(d.crashes, d.now)
		instance.RequestCrashed(plain(name), fmt.Sprint(d.requests), fmt.Sprint("target-", d.requests), 0, d.now)
	} else {
		instance.RequestAnswered(plain(name), "t", d.now)
	}
	return true
}

// TestRequestIsHeldBackByAllInstances guards against instances that each learn for themselves which
// request crashes targets, and against refusing sound requests that come again and again while their
// targets fail now and then for other reasons.
func TestRequestIsHeldBackByAllInstances(t *testing.T) {
	const crashesAllowed = 3 // before every instance must know
	for seed := range uint64(spreadSeeds) {
		d := newDeployment(seed, 0)
		sent, refused := 0, 0
		for step := range spreadSteps {
			d.tick(step)
			if d.random.IntN(3) == 0 {
				d.sendRepeat("bad", true)
			}
			crashes := d.crashes
			for range 3 {
				if d.sendRepeat(fmt.Sprint("sound-", d.random.IntN(4)), d.random.Float64() < d.failing) {
					sent++
				} else {
					refused++
				}
			}
			d.crashes = crashes // of the bad request only
		}
		late := 0
		for _, at := range d.crashes {
			if at > d.crashes[crashesAllowed-1]+spreadTime {
				late++
			}
		}
		require.LessOrEqual(t, late, maxAfterwards, "seed %d", seed)
		require.LessOrEqual(t, float64(refused), maxRefused*float64(refused+sent), "seed %d", seed)
	}
}

// TestAnsweredRequestIsSentAgain checks that an answer at any instance ends what speaks against a request,
// also if the crashes become known later.
func TestAnsweredRequestIsSentAgain(t *testing.T) {
	a, b := quarantine.New("a"), quarantine.New("b")
	for n := range 3 {
		a.RequestCrashed(plain("r"), fmt.Sprint(n), fmt.Sprint("target-", n), 0, time.Second)
	}
	require.NotNil(t, a.CheckRequest(plain("r"), 2*time.Second))
	b.RequestAnswered(plain("r"), "t", 3*time.Second)
	b.Merge(a.Evidence(4*time.Second), 4*time.Second)
	require.Nil(t, b.CheckRequest(plain("r"), 4*time.Second), "answered after the crashes")
	a.Merge(b.Evidence(5*time.Second), 5*time.Second)
	require.Nil(t, a.CheckRequest(plain("r"), 5*time.Second))
}

// TestOneTargetIsNoEvidence checks that one target which ends under many requests, or is reset again and
// again, holds nothing back.
func TestOneTargetIsNoEvidence(t *testing.T) {
	l := quarantine.New("i")
	for n := range 10 {
		l.RequestCrashed(plain("r"), fmt.Sprint(n), "target", 0, time.Duration(n)*100*time.Millisecond)
	}
	require.Nil(t, l.CheckRequest(plain("r"), time.Second))
}

// TestRequestSentToDeadTarget guards against counting what was sent to a target that had crashed before: only
// what it was running or had waiting when it crashed speaks of the crash.
func TestRequestSentToDeadTarget(t *testing.T) {
	const took = 100 * time.Millisecond
	l := quarantine.New("i")
	require.Equal(t, 1, l.RequestCrashed(plain("first"), "1", "target", took, time.Second))
	require.Equal(t, 1, l.RequestCrashed(plain("waiting"), "2", "target", took, time.Second+took/2), "sent before the crash")
	for n := range 10 {
		now := 1300*time.Millisecond + time.Duration(n)*time.Second/2
		require.Zero(t, l.RequestCrashed(plain("late"), fmt.Sprint("late-", n), "target", took, now), "the target was down already")
	}
	require.Equal(t, 1, l.RequestCrashed(plain("late"), "other", "other target", took, 2*time.Second))
	l.RequestAnswered(plain("sound"), "target", 7*time.Second)
	require.Equal(t, 2, l.RequestCrashed(plain("late"), "again", "target", took, 7300*time.Millisecond), "it was up again")
}

// TestMadeUpRequests guards against memory and bytes that grow with requests of which one crash is known.
func TestMadeUpRequests(t *testing.T) {
	const mostBytes = 16 << 10
	l := quarantine.New("i")
	for n := range 3 {
		l.RequestCrashed(plain("bad"), fmt.Sprint("bad-", n), fmt.Sprint("target-", n), 0, time.Second)
	}
	for n := range 10000 {
		l.RequestCrashed(plain(fmt.Sprint("request-", n)), fmt.Sprint(n), fmt.Sprint("target-", n), 0, time.Second)
	}
	require.LessOrEqual(t, l.Requests(), 128)
	require.NotNil(t, l.CheckRequest(plain("bad"), 2*time.Second), "crowded out")
	require.LessOrEqual(t, proto.Size(l.Evidence(2*time.Second)), mostBytes)
	require.LessOrEqual(t, len(l.News(0, 2*time.Second).GetRequestCrashes()), 3, "one crash is no news to others")
}

// TestPromptsWithTheSameBody checks that of requests which differ only in the parts of their prompts those
// are held back that crash targets; and all, if the parts of these differ too.
func TestPromptsWithTheSameBody(t *testing.T) {
	prompt := func(parts ...string) quarantine.Request {
		return quarantine.NewRequest("caller", "POST", "host", "/", []byte("body"), parts)
	}
	told, l := quarantine.New("i"), quarantine.New("")
	crash := func(n int, r quarantine.Request) {
		l.RequestCrashed(r, fmt.Sprint(n), fmt.Sprint("target-", n), 0, time.Second)
		told.Merge(l.News(0, time.Second), time.Second)
	}
	for n := range 3 {
		crash(n, prompt("system", "bad"))
	}
	for _, ledger := range []*quarantine.Ledger{l, told} {
		require.NotNil(t, ledger.CheckRequest(prompt("system", "bad"), 2*time.Second))
		require.Nil(t, ledger.CheckRequest(prompt("system", "sound"), 2*time.Second))
	}
	crash(4, prompt("system", "another"))
	for _, ledger := range []*quarantine.Ledger{l, told} {
		require.NotNil(t, ledger.CheckRequest(prompt("system", "sound"), 2*time.Second), "the parts do not distinguish them")
	}
	l.RequestAnswered(prompt("system", "sound"), "t", 3*time.Second)
	require.Nil(t, l.CheckRequest(prompt("system", "sound"), 4*time.Second))
	require.NotNil(t, l.CheckRequest(prompt("system", "bad"), 4*time.Second))
}

// TestRequestNames checks that names differ in each field, and wherever the fields are divided.
func TestRequestNames(t *testing.T) {
	names := map[string]bool{}
	for _, f := range [][]string{
		{"caller", "GET", "host", "/path", "body"},
		{"other", "GET", "host", "/path", "body"},
		{"caller", "PUT", "host", "/path", "body"},
		{"caller", "GET", "other", "/path", "body"},
		{"caller", "GET", "host", "/other", "body"},
		{"caller", "GET", "host", "/path", "other"},
		{"caller", "GET", "host", "/pathb", "ody"},
		{"callerG", "ET", "host", "/path", "body"},
		{"caller", "GET", "host", "/path", "body", "part"},
	} {
		name := quarantine.NewRequest(f[0], f[1], f[2], f[3], []byte(f[4]), f[5:]).Name()
		require.Len(t, name, 16)
		require.False(t, names[name])
		names[name] = true
	}
	require.Equal(t, quarantine.NewRequest("c", "GET", "h", "/", nil, nil), quarantine.NewRequest("c", "GET", "h", "/", []byte{}, []string{}))
}

// TestPartsBesideRepeatedRequest guards against blaming the parts of sound prompts for crashes beside which they
// ran, when it is one request that crashes the engines; and against clearing the parts of that request itself.
func TestPartsBesideRepeatedRequest(t *testing.T) {
	for _, parts := range [][]string{nil, {"own"}} {
		l := quarantine.New("i")
		bad := quarantine.NewRequest("caller", "POST", "host", "/", []byte("bad"), parts)
		for n := range 8 {
			now := time.Duration(n+1) * time.Second
			target := fmt.Sprint("target-", n)
			l.Crashed(fmt.Sprint("sound-", n), target, []string{"system", "topic"}, 0, now)
			l.RequestCrashed(bad, fmt.Sprint("bad-", n), target, 0, now)
			l.Crashed(fmt.Sprint("bad-", n), target, parts, 0, now)
		}
		require.NotNil(t, l.CheckRequest(bad, 9*time.Second))
		require.Nil(t, l.Check([]string{"system", "topic"}, 9*time.Second), "they ran beside")
		if parts != nil {
			require.NotNil(t, l.Check(parts, 9*time.Second), "others with the part crash engines, for all that is known")
		}
	}
}
