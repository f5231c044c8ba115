package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// newQueueRig returns a gateway whose generations wait for capacity, before engines that report no free memory. It is
// the only instance.
func newQueueRig(t *testing.T, engines ...*standin) *rig {
	t.Helper()
	c := configuration(1, route.Stream, 2, 10*time.Second)
	c.Organisations = append(c.Organisations, route.OrganisationSpec{Name: "other", Keys: []string{"other-key"}})
	r := newRigWith(t, c, queueing, engines...)
	r.gateway.UpdatePeerUses(nil, 1)
	for _, e := range engines {
		r.report(e.id, 10000)
	}
	return r
}

// report gives the gateway a report of an engine with memory for 10,000 tokens.
func (r *rig) report(engine string, used uint32) {
	r.gateway.UpdateLoads([]*wire.Load{{Target: engine, UsedTokens: used, CapacityTokens: 10000}})
}

func (r *rig) queued() bool {
	return !strings.Contains(r.metricsText(), "vanillaward_gateway_queued_requests 0")
}

func (r *rig) awaitQueued(t *testing.T, queued bool) {
	t.Helper()
	require.Eventually(t, func() bool { return r.queued() == queued }, 10*time.Second, time.Millisecond)
}

// TestQueueSendsWhenCapacityAppears guards against a request that waits in the queue of a full engine, and against one
// that is left waiting when there is news.
func TestQueueSendsWhenCapacityAppears(t *testing.T) {
	s := newStandin(t, "t1", "stream:")
	r := newQueueRig(t, s)
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "9000"}) }()
	r.awaitQueued(t, true)
	require.Zero(t, s.requestCount())
	r.report("t1", 1000)
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusOK, answer.status)
	require.Equal(t, 1, s.requestCount())
	require.Contains(t, r.metricsText(), `vanillaward_gateway_queue_seconds_count{rank="0"} 1`)
}

// TestQueueRefusesAsNotRun guards against an unclear outcome of a request that never left the gateway.
func TestQueueRefusesAsNotRun(t *testing.T) {
	s := newStandin(t, "t1", "stream:")
	r := newQueueRig(t, s)
	answer := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "300"})
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusServiceUnavailable, answer.status)
	require.Equal(t, "queue-timeout\n", answer.body)
	require.NotEmpty(t, answer.header.Get("Retry-After"))
	require.Contains(t, r.metricsText(), `vanillaward_gateway_queue_refusals_total{reason="queue-timeout"} 1`)
	require.Zero(t, s.requestCount())
}

// TestQueueForgetsCallersThatLeave guards against capacity that is given to a request without a caller.
func TestQueueForgetsCallersThatLeave(t *testing.T) {
	s := newStandin(t, "t1", "stream:")
	r := newQueueRig(t, s)
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := r.sendDiscarding(ctx, t, "/r/x", map[string]string{testBudget: "9000"}, 1)
		left <- err
	}()
	r.awaitQueued(t, true)
	leave()
	require.Error(t, <-left)
	r.awaitQueued(t, false)
	r.report("t1", 0)
	require.Zero(t, s.requestCount())
}

// TestQueueWithoutReports guards against requests that wait for news of engines of which nothing is known.
func TestQueueWithoutReports(t *testing.T) {
	c := configuration(1, route.Stream, 1, 10*time.Second)
	c.Organisations = append(c.Organisations, route.OrganisationSpec{Name: "other", Keys: []string{"other-key"}})
	r := newRigWith(t, c, queueing, newStandin(t, "t1", "stream:"))
	require.Equal(t, http.StatusOK, r.send(t, http.MethodPost, "/r/x", "", nil).status)
}

// TestQueueOfStoppingGateway guards against requests that a stopping gateway keeps although they cannot end in time.
func TestQueueOfStoppingGateway(t *testing.T) {
	s := newStandin(t, "t1", "stream:")
	r := newQueueRig(t, s)
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "9000"}) }()
	r.awaitQueued(t, true)
	close(r.stop)
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusServiceUnavailable, answer.status)
	require.Equal(t, "stopping\n", answer.body)
	require.Zero(t, s.requestCount())
}

// TestQueueThenUnreachable guards against the time in the queue counting as time spent on connections: a request that has
// waited would be refused at the first engine that does not answer.
func TestQueueThenUnreachable(t *testing.T) {
	dead, s := newStandin(t, "t1", "dead"), newStandin(t, "t2", "stream:")
	r := newQueueRig(t, dead, s)
	got := make(chan reply, 1)
	go func() { got <- r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "9000"}) }()
	r.awaitQueued(t, true)
	time.Sleep(time.Second) // longer than connections are tried for
	r.report("t1", 1000)
	r.awaitQueued(t, true) // the dead engine, of the same failure domain, was chosen
	r.report("t2", 1000)
	answer := <-got
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	require.Equal(t, 1, s.requestCount())
}

// queueing are the settings of a gateway at which generations wait for capacity.
func queueing(s *settings.Gateway) { s.Queue = true }

// TestNoQueueUnlessSet guards against requests that wait at a gateway whose settings do not ask for it.
func TestNoQueueUnlessSet(t *testing.T) {
	c := configuration(1, route.Stream, 1, 10*time.Second)
	c.Organisations = append(c.Organisations, route.OrganisationSpec{Name: "other", Keys: []string{"other-key"}})
	s := newStandin(t, "t1", "stream:")
	r := newRig(t, c, s)
	r.report("t1", 9999)
	require.Equal(t, http.StatusServiceUnavailable, r.send(t, http.MethodPost, "/r/x", "", nil).status, "no memory is left, and nothing waits")
	require.False(t, r.queued())
}
