package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

// TestQueues checks for which services requests wait at the gateway.
func TestQueues(t *testing.T) {
	spec := func(name string, rank int, generation bool) route.Spec {
		return route.Spec{
			Name: name, Prefix: "/" + name + "/", KindValid: true, Timeout: time.Second, Rank: rank, Generation: generation,
			Shares: []route.Share{{Service: "engines", Weight: 1}, {Service: "unused", Weight: 0}},
		}
	}
	org := func(name string, keys ...string) route.OrganisationSpec {
		return route.OrganisationSpec{Name: name, Keys: keys}
	}
	for name, c := range map[string]struct {
		routes        []route.Spec
		organisations []route.OrganisationSpec
		want, urgent  bool
	}{
		"ranks differ":              {routes: []route.Spec{spec("a", 0, true), spec("b", 2, true)}, want: true, urgent: true},
		"ranks are equal":           {routes: []route.Spec{spec("a", 1, true), spec("b", 1, true)}},
		"the rank of no generation": {routes: []route.Spec{spec("a", 0, false), spec("b", 1, true)}},
		"no generations":            {routes: []route.Spec{spec("a", 0, false)}, organisations: []route.OrganisationSpec{org("x", "1"), org("y", "2")}},
		"several organisations":     {routes: []route.Spec{spec("a", 0, true)}, organisations: []route.OrganisationSpec{org("x", "1"), org("y", "2")}, want: true},
		"only one has keys":         {routes: []route.Spec{spec("a", 0, true)}, organisations: []route.OrganisationSpec{org("x", "1", "2"), org("y")}},
	} {
		t.Run(name, func(t *testing.T) {
			table, found := route.Build(&route.Configuration{
				Number: 1, Routes: c.routes, Organisations: c.organisations, Services: []route.ServiceSpec{{Name: "engines"}, {Name: "unused"}},
			})
			require.NoError(t, found.Err())
			require.Equal(t, c.want, table.Queues("engines"))
			require.False(t, table.Queues("unused"))
			first, ok := table.Match("", "/a/")
			require.True(t, ok)
			last, _ := table.Match("", c.routes[len(c.routes)-1].Prefix)
			if c.want {
				require.Less(t, table.QueueRank("engines", 0, last), table.QueueRank("engines", 1, first), "any of a more urgent organisation goes first")
			}
			require.Equal(t, c.urgent, table.Urgent("engines", first))
		})
	}
}
