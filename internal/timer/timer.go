// Package timer is the time service of a process: the only place that reads the
// clock, to which other components subscribe for ticks.
package timer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Service reads the boot-time clock. Unlike the monotonic clock of package
// time, it also advances while the machine is suspended, so a lease that ran
// out during a freeze is seen as expired.
type Service struct{}

// New returns the time service of this process.
func New() *Service { return &Service{} }

// Now returns the time since boot, suspended time included.
func (*Service) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Subscribe delivers the current time at each interval until the context ends.
// A tick is dropped when the subscriber has not taken the previous one.
func (s *Service) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration {
	out := make(chan time.Duration, 1)
	go func() {
		defer close(out)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				select {
				case out <- s.Now():
				default:
				}
			}
		}
	}()
	return out
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
