package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/gateway"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// ask asks a rig's gateway where a request would go.
func (r *rig) ask(t *testing.T, question url.Values) gateway.Where {
	t.Helper()
	recorder := httptest.NewRecorder()
	r.gateway.ServeWhere(recorder, httptest.NewRequest(http.MethodGet, gateway.PathWhere+"?"+question.Encode(), nil))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
	var out gateway.Where
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &out))
	return out
}

func question(path, organisation, prompt string) url.Values {
	return url.Values{"host": {testHost}, "path": {path}, "organisation": {organisation}, "prompt-tokens": {prompt}}
}

// TestWhere: the answer names the route, the service and each target with what excludes it, or the reason of a
// refusal, and no target hears of it.
func TestWhere(t *testing.T) {
	targets := []*standin{newStandin(t, "target-0", "complete"), newStandin(t, "target-1", "complete")}
	r := newRig(t, configuration(1, route.Stream, 1, 3*time.Second), targets...)
	r.gateway.UpdateLoads([]*wire.Load{{Target: "target-0", CapacityTokens: 10000, Leaving: true}, {Target: "target-1", CapacityTokens: 10000, Running: 3, UsedTokens: 5000}})
	got := r.ask(t, question("/r/x", "org", "1000"))
	require.Equal(t, "sent", got.Outcome)
	require.Equal(t, "r", got.Route)
	require.Equal(t, testService, got.Service)
	require.Len(t, got.Targets, 2)
	require.Equal(t, "target-1", got.Targets[0].Target)
	require.InDelta(t, 1, got.Targets[0].Probability, 0.001)
	require.True(t, got.Targets[0].Report)
	require.Equal(t, 3, got.Targets[0].Running)
	require.Equal(t, 50, got.Targets[0].MemoryPercent)
	require.Equal(t, "leaving", got.Targets[1].Excluded)
	for want, q := range map[string]url.Values{
		"no-route": question("/x", "org", "1000"), "unknown-key": question("/r/x", "nobody", "1000"), "crowded": question("/r/x", "org", "20000"),
	} {
		got := r.ask(t, q)
		require.Equal(t, "refused", got.Outcome, want)
		require.Equal(t, want, got.Reason)
	}
	require.Zero(t, targets[0].requestCount()+targets[1].requestCount())
	require.Equal(t, "no-configuration", newRig(t, nil).ask(t, question("/r/x", "org", "1")).Reason)
}

// TestWhereIsBounded: neither a question nor a long list of targets makes an answer of any length.
func TestWhereIsBounded(t *testing.T) {
	r := newRig(t, configuration(1, route.Stream, 1, 3*time.Second))
	list := make([]*wire.Target, 3000)
	for i := range list {
		list[i] = &wire.Target{Id: strings.Repeat("e", 1+i%40) + string(rune('a'+i%26)) + time.Duration(i).String(), Service: testService, Address: "127.0.0.1:1", FailureDomain: ownDomain, Engine: true, State: wire.TargetState_TARGET_STATE_READY}
	}
	r.gateway.UpdateTargets(list)
	got := r.ask(t, question("/r/x", "org", "1000"))
	require.Len(t, got.Targets, 200)
	require.Equal(t, 2800, got.Omitted)
	for _, q := range []url.Values{question("/r/"+strings.Repeat("x", 5000), "org", "1"), question("/r/x", "org", "-1"), question("/r/x", "org", "many")} {
		recorder := httptest.NewRecorder()
		r.gateway.ServeWhere(recorder, httptest.NewRequest(http.MethodGet, gateway.PathWhere+"?"+q.Encode(), nil))
		require.Equal(t, http.StatusBadRequest, recorder.Code)
	}
}
