package instance_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/standin"
)

// TestAtMostOnce resends non-idempotent requests in the ways in which callers and
// balancers resend them: to another instance, at the same time, with a reused
// key, after a lost answer, and after a refusal.
func TestAtMostOnce(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3, "b": 1})

	t.Run("a resend at another instance gets the first answer", func(t *testing.T) {
		first := d.book("a-1", "resend", "key-1")
		require.Equal(t, "complete", first.outcome(), first.body)
		for _, name := range d.names {
			again := d.book(name, "resend", "key-1")
			require.Equal(t, first.body, again.body, name)
			require.Equal(t, "complete", again.outcome())
		}
		require.Equal(t, 1, d.bookingRuns("resend"))
	})

	t.Run("concurrent copies of a request run once", func(t *testing.T) {
		d.injectFault("plain-1", standin.Faults{LateMillis: 300})
		defer d.injectFault("plain-1", standin.Faults{})
		answers := make([]answer, 8)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() { answers[i] = d.book(d.names[i%len(d.names)], "together", "key-2") })
		}
		wg.Wait()
		complete := 0
		for _, a := range answers {
			require.NoError(t, a.err)
			if a.outcome() == "complete" {
				complete++
				continue
			}
			require.Equal(t, "not-run", a.outcome(), a.body)
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
		require.Equal(t, min(complete, 1), d.bookingRuns("together"))
		require.Positive(t, complete)
	})

	t.Run("a key that was used for another request is refused", func(t *testing.T) {
		require.Equal(t, "complete", d.book("a-1", "one", "key-3").outcome())
		other := d.book("a-2", "two", "key-3")
		require.Equal(t, http.StatusUnprocessableEntity, other.status)
		require.Equal(t, 0, d.bookingRuns("two"))
	})

	t.Run("a lost answer leaves the outcome unknown, and a resend does not run", func(t *testing.T) {
		d.injectFault("plain-1", standin.Faults{ResetAfterRun: true})
		first := d.book("a-1", "lost", "key-4")
		d.injectFault("plain-1", standin.Faults{})
		require.Equal(t, "unknown", first.outcome(), first.body)
		for _, name := range d.names {
			again := d.book(name, "lost", "key-4")
			require.Equal(t, "unknown", again.outcome(), again.body)
		}
		require.Equal(t, 1, d.bookingRuns("lost"))
	})

	t.Run("a refusal by the target means that a resend may run", func(t *testing.T) {
		d.injectFault("plain-1", standin.Faults{Refuse: true})
		first := d.book("a-1", "refused", "key-5")
		d.injectFault("plain-1", standin.Faults{})
		require.Equal(t, "not-run", first.outcome(), first.body)
		require.NotEmpty(t, first.header.Get("Retry-After"))
		require.Equal(t, 0, d.bookingRuns("refused"))
		d.await("the resend runs", func() bool { return d.book("a-2", "refused", "key-5").outcome() == "complete" })
		require.Equal(t, 1, d.bookingRuns("refused"))
	})

	t.Run("an outcome can be looked up by key", func(t *testing.T) {
		a := d.send("a-3", http.MethodGet, "/outcomes/key-1", "", nil)
		require.Contains(t, a.body, `"outcome":"complete"`)
		a = d.send("a-3", http.MethodGet, "/outcomes/key-4", "", nil)
		require.Contains(t, a.body, `"outcome":"unknown"`)
	})
	d.checkTraces()
}

// TestSecondKeeperLost restarts a keeper without its memory and crashes another as
// soon as the first one votes again. No request that ran may run again.
func TestSecondKeeperLost(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3})
	for i := range 10 {
		require.Equal(t, "complete", d.book("a-1", fmt.Sprint("slot-", i), fmt.Sprint("k-", i)).outcome())
	}
	for _, lost := range [][2]string{{"a-1", "a-2"}, {"a-2", "a-3"}} {
		d.crash(lost[0])
		d.start(lost[0])
		d.awaitReady(lost[0]) // its keeper has recalled the records and votes
		d.crash(lost[1])
		for i := range 10 {
			a := d.book(lost[0], fmt.Sprint("slot-", i), fmt.Sprint("k-", i))
			require.NoError(t, a.err)
			require.NotEqual(t, "not-run", a.outcome(), a.body)
			require.Equal(t, 1, d.bookingRuns(fmt.Sprint("slot-", i)))
		}
		d.start(lost[1])
		d.awaitReady(lost[1])
	}
}

// TestKeeperMajorityLost crashes a majority of the keepers, so that their records
// are lost. No non-idempotent request may run until the lifetime of the records
// is over.
func TestKeeperMajorityLost(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 3})
	require.Equal(t, "complete", d.book("a-1", "before", "k").outcome())
	d.crash("a-2")
	d.crash("a-3")
	d.start("a-2")
	d.start("a-3")
	for _, name := range []string{"a-1", "a-2", "a-3"} {
		d.await(name+" serves", func() bool {
			return d.send(name, http.MethodGet, "/services/lookups/x", "", nil).outcome() == "complete"
		})
		a := d.book(name, "before", "k")
		require.NoError(t, a.err)
		require.Equal(t, 1, d.bookingRuns("before"), "the answer may be replayed from the remaining keeper, but the booking may not run again")
		a = d.book(name, "after", "k2")
		require.Equal(t, "not-run", a.outcome(), a.body)
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	require.Equal(t, 0, d.bookingRuns("after"))
}
