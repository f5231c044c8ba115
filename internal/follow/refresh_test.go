package follow

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefresher checks that a wait is ended only by an exchange that began after it, and that an exchange
// which is asked for does not wait for the interval.
func TestRefresher(t *testing.T) {
	r := newRefresher()
	r.begin()
	waited := make(chan struct{})
	go func() {
		r.wait(context.Background(), 0, time.Hour)
		close(waited)
	}()
	r.awaitNext(context.Background(), time.Hour) // returns since an exchange is asked for
	r.end()                                      // of the exchange that had begun before
	select {
	case <-waited:
		require.Fail(t, "the exchange began before the wait")
	default:
	}
	r.begin()
	r.end()
	<-waited
}

// TestRefresherEnds checks that a wait ends with its context, and that a wait for the next exchange does.
func TestRefresherEnds(t *testing.T) {
	r := newRefresher()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.wait(ctx, 0, time.Hour)
	<-r.asked
	r.awaitNext(ctx, time.Hour)
	r.begin()
	r.end() // ends nothing that still waits
}

// TestRefresherBudget checks that asking for an exchange all the time at most doubles their number, but for
// a few in a row, and that a wait which gets none ends at once.
func TestRefresherBudget(t *testing.T) {
	const interval = 200 * time.Millisecond
	r := newRefresher()
	exchanges := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if r.ask(now, interval); len(r.asked) > 0 {
			<-r.asked
			exchanges++
		}
	}
	require.LessOrEqual(t, exchanges, maxAskedExchanges+int(10*time.Second/interval))
	require.GreaterOrEqual(t, exchanges, int(10*time.Second/interval))
	r.wait(context.Background(), 10*time.Second, interval)
}
