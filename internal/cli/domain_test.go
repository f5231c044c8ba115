package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestDomainsOfBothBuilds guards against orders for failure domains that are shown as orders to targets, or not at all,
// when the replica that answers is of an earlier build, which lists them among the orders to targets and drops
// when and why they were given.
func TestDomainsOfBothBuilds(t *testing.T) {
	order := func(domain string, evacuate bool) *wire.OrderStep {
		o := control.NewDomainOrder(domain, evacuate, "ana", "")
		o.Fence = 7
		return o
	}
	target := &wire.OrderStep{Target: "engine-1", State: "role serve", Fence: 3, Issuer: "replica"}
	dated := order("b", true)
	dated.Note, dated.IssuedUnixMs = "power", 1_800_000_000_000
	for name, answer := range map[string]*wire.StatusResponse{
		"this build":    {Orders: []*wire.OrderStep{target}, Evacuated: []*wire.OrderStep{dated}},
		"earlier build": {Orders: []*wire.OrderStep{target, order("a", false), order("b", true)}},
	} {
		t.Run(name, func(t *testing.T) {
			report := newStatusReport(answer)
			require.Len(t, report.Orders, 1)
			require.Len(t, report.Evacuated, 1)
			var out bytes.Buffer
			report.text(&out)
			require.NotContains(t, out.String(), "failure-domain/")
			require.Regexp(t, `domain   b +evacuated since (2027-01-15T08:00:00Z|unknown), by ana, as of record 7`, out.String())
		})
	}
}
