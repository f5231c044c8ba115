package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHelpersAtSize checks who is asked to help whom, among 8 to 1,100 instances of which some have lost their
// targets: only instances that have theirs, of the same failure domain where these suffice, and
// none much more often than the others.
func TestHelpersAtSize(t *testing.T) {
	for _, c := range []struct {
		instances, domains int
		lacks              func(i, domains int) bool
		name               string
		home               bool // helpers are of the same failure domain
	}{
		{8, 3, func(i, _ int) bool { return i == 4 }, "one of 8", true},
		{67, 3, func(i, _ int) bool { return i == 4 }, "one of 67", true},
		{9, 3, func(i, _ int) bool { return i%3 == 0 && i > 0 }, "all but one of a domain of 9", false},
		{200, 3, func(i, _ int) bool { return i%3 == 0 && i > 0 }, "all but one of a domain of 200", false},
		{1100, 11, func(i, domains int) bool { return i%domains == 0 && i > 0 }, "all but one of a domain of 1,100", false},
		{1100, 11, func(i, domains int) bool { return i%domains == 0 }, "a domain of 1,100", false},
		{1100, 11, func(i, domains int) bool { return (i/domains)%2 == 0 }, "half of 1,100", false},
		{1100, 11, func(i, _ int) bool { return i > 0 }, "all but one of 1,100", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, watchers := &helpers{}, map[string]watcher{}
			lacking, helping := 0, 0
			now := time.Second
			for i := range c.instances {
				lacks := c.lacks(i, c.domains)
				if lacks {
					lacking++
				} else {
					helping++
				}
				watchers[fmt.Sprint("i-", i)] = watcher{domain: fmt.Sprint("d-", i%c.domains), lacksTargets: lacks, helpAddress: fmt.Sprint("a-", i), lastSeen: now}
			}
			asked := map[string]int{}
			for i := range c.instances {
				if !c.lacks(i, c.domains) {
					continue
				}
				got := h.choose(watchers, fmt.Sprint("i-", i), fmt.Sprint("d-", i%c.domains), now)
				require.GreaterOrEqual(t, len(got), min(2, helping), "one more, if the first is lost too")
				require.LessOrEqual(t, len(got), helperCount)
				for _, address := range got {
					var n int
					_, err := fmt.Sscanf(address, "a-%d", &n)
					require.NoError(t, err)
					require.False(t, c.lacks(n, c.domains), "%s lacks targets", address)
					if c.home {
						require.Equal(t, i%c.domains, n%c.domains, "of another failure domain")
					}
					asked[address]++
				}
			}
			fair := (lacking*min(helperCount, helping) + helping - 1) / helping
			for address, n := range asked {
				require.LessOrEqual(t, n, fair+helperCount, "%s helps too many", address)
			}
			require.NotContains(t, h.choose(watchers, "i-0", "d-0", now), "a-0", "an instance does not help itself")
		})
	}
}

// TestHelpersForget checks that an instance that is not heard of, or takes no requests, is not asked to help.
func TestHelpersForget(t *testing.T) {
	watchers := map[string]watcher{
		"old":      {domain: "d", helpAddress: "old"},
		"stopping": {domain: "d", lastSeen: 3 * time.Second},
		"new":      {domain: "d", helpAddress: "new", lastSeen: 3 * time.Second},
	}
	require.Equal(t, []string{"new"}, (&helpers{}).choose(watchers, "asks", "d", 3*time.Second))
	require.Empty(t, (&helpers{}).choose(nil, "asks", "d", 0))
}
