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
		r.wait(context.Background(), 0)
		close(waited)
	}()
	r.awaitNext(context.Background(), time.Hour) // returns since an exchange is asked for
	r.end(0)                                     // of the exchange that had begun before
	select {
	case <-waited:
		require.Fail(t, "the exchange began before the wait")
	default:
	}
	r.begin()
	r.end(0)
	<-waited
}

// TestRefresherEnds checks that a wait ends with its context, and that a wait for the next exchange does.
func TestRefresherEnds(t *testing.T) {
	r := newRefresher()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.wait(ctx, 0)
	<-r.asked
	r.awaitNext(ctx, time.Hour)
	r.begin()
	r.end(0) // ends nothing that still waits
}

// TestRefresherBudget checks that what exchanges cost that are asked for all the time is bounded in bytes,
// whatever the size of the leader's answers: at two hundred instances, and at the size of 3,000 targets,
// where the answers are so large that none is asked for and a wait ends at once.
func TestRefresherBudget(t *testing.T) {
	const duration = 10 * time.Second
	for _, c := range []struct{ answerBytes, least int }{{3 << 10, 25}, {20 << 10, 2}, {150 << 10, 0}} {
		r := newRefresher()
		r.end(c.answerBytes)
		exchanges := 0
		for now := time.Duration(0); now < duration; now += time.Millisecond {
			if r.ask(now); len(r.asked) > 0 {
				<-r.asked
				exchanges++
			}
		}
		require.LessOrEqual(t, exchanges*c.answerBytes, maxAskedBytes+int(askedBytesPerSecond*duration.Seconds()))
		require.GreaterOrEqual(t, exchanges, c.least)
		if c.least == 0 {
			require.Zero(t, exchanges)
			r.wait(context.Background(), duration)
		}
	}
}
