// Package timertest is a time service over the virtual time of testing/synctest.
package timertest

import (
	"context"
	"time"
)

// Clock implements vanillaward.Timers.
type Clock struct{ start time.Time }

// New returns a clock that starts at zero.
func New() Clock { return Clock{time.Now()} }

// Now returns the time since the clock's start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Subscribe delivers the current time at each interval until the context ends.
func (c Clock) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration {
	out := make(chan time.Duration)
	go func() {
		defer close(out)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
			select {
			case out <- c.Now():
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
