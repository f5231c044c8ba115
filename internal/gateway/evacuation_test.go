package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// stalledFor is longer than the pause after which a run is resumed from its copy.
const stalledFor = 2500 * time.Millisecond

// evacuate replaces the evacuated failure domains.
func (r *rig) evacuate(domains ...string) {
	var orders []*wire.OrderStep
	for _, d := range domains {
		orders = append(orders, control.NewDomainOrder(d, true, "operator", ""))
	}
	r.gateway.UpdateEvacuation(1, orders)
}

// TestRunInEvacuatedDomainEndsByItself guards against an evacuation that cuts or moves what runs in the failure domain,
// and against new requests there.
func TestRunInEvacuatedDomainEndsByItself(t *testing.T) {
	first := newStandin(t, "target-0", "stream-held:2")
	second := newStandin(t, "target-1", "stream:")
	r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), first, second)
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "30000"}) }()
	require.Eventually(t, func() bool { return first.runCount() == 1 }, 20*time.Second, time.Millisecond)
	r.evacuate(ownDomain)
	for range 5 {
		require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", map[string]string{testID: "request-2"}).status)
	}
	require.Equal(t, 1, first.requestCount())
	require.Equal(t, 5, second.requestCount())
	require.Empty(t, r.engines.movesMade())
	close(first.held)
	requireWholeStream(t, got)
}

// TestCopyInEvacuatedDomain guards against a resumption that reaches the holder of a copy in an evacuated domain, and
// against an engine being made to stop a stalled run that could go on nowhere else.
func TestCopyInEvacuatedDomain(t *testing.T) {
	r, first, second, got := newStall(t, "stream:", func(e *engines) {
		e.runs = named
		e.stop = func(vanillaward.Move) (vanillaward.MoveResult, error) {
			return vanillaward.MoveResult{Handle: "kept"}, nil
		}
	})
	require.Eventually(t, func() bool { return first.runCount() == 1 }, 20*time.Second, time.Millisecond)
	r.evacuate(otherDomain)
	time.Sleep(stalledFor)
	require.Zero(t, second.requestCount())
	require.Empty(t, r.engines.movesMade(), "the engine was asked to stop the run")
	close(first.held)
	requireWholeStream(t, got)
}

// TestRunLeavesEvacuatedDomainWhenItStalls guards against a stalled run in an evacuated domain that is not resumed from
// its copy in another one.
func TestRunLeavesEvacuatedDomainWhenItStalls(t *testing.T) {
	r, first, second, got := newStall(t, "stream:", func(*engines) {})
	require.Eventually(t, func() bool { return first.runCount() == 1 }, 20*time.Second, time.Millisecond)
	r.evacuate(ownDomain)
	requireWholeStream(t, got)
	require.Equal(t, 1, first.requestCount())
	require.Equal(t, "2", second.firstHeader().Get(testAfter))
	close(first.held)
}

// TestAllDomainsEvacuated guards against requests that reach a target, or whose refusal leaves open whether they ran, when
// all failure domains are evacuated, and against a service that stays refused after a domain was restored.
func TestAllDomainsEvacuated(t *testing.T) {
	for _, kind := range kinds {
		first, second := newStandin(t, "target-0", "complete"), newStandin(t, "target-1", "complete")
		r := newRig(t, configuration(1, kind, 2, 3*time.Second), first, second)
		r.evacuate(ownDomain, otherDomain)
		got := r.send(t, http.MethodPost, "/r/x", "", nil)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Equal(t, "evacuated\n", got.body)
		var text strings.Builder
		r.metrics.Write(&text)
		require.Contains(t, text.String(), "vanillaward_gateway_evacuation_refusals_total 1\n")
		require.Contains(t, text.String(), "vanillaward_gateway_evacuated_domains 2\n")
		require.Zero(t, first.requestCount()+second.requestCount())
		r.evacuate(ownDomain)
		require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
		require.Equal(t, 1, second.requestCount())
	}
}
