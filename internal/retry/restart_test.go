package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/retry"
)

// TestSumWithSeveralRestartsInAWindow guards against instances that repeat more than the sum allows since each start
// gives them a reserve: all but one start anew several times in a window.
func TestSumWithSeveralRestartsInAWindow(t *testing.T) {
	const (
		instances, restarted = 8, 7
		slack, each          = 40, 2
	)
	for _, every := range []time.Duration{time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(every.String(), func(t *testing.T) {
			type one struct {
				b *retry.Budget
				s *retry.Share
			}
			begin := func(now time.Duration) one {
				return one{retry.New(sumWindow, 0.18, 0), retry.NewShare(sumWindow, slack, each, now)}
			}
			var all []one
			for range instances {
				all = append(all, begin(0))
			}
			var repeats []time.Duration
			for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
				for n := range all {
					if n < restarted && now > 30*time.Second && now%every == 0 {
						all[n] = begin(now)
					}
					if now%time.Second == 0 {
						all[n].s.UpdateInstances(instances, now)
					}
					all[n].b.SetReserve(all[n].s.Reserve(now))
					if now > 30*time.Second && all[n].b.Allow(now) {
						repeats = append(repeats, now)
					}
				}
			}
			most := 0
			for from := time.Duration(0); from < 60*time.Second; from += 100 * time.Millisecond {
				most = max(most, within(repeats, from, from+sumWindow))
			}
			require.LessOrEqual(t, most, slack+each*instances)
		})
	}
}
