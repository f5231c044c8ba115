package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/gateway"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	testService = "service"
	testHost    = "example.test"
	otherDomain = "other-domain"
	ownDomain   = "own-domain"
	// testDialTimeout is long, since connecting to a target in the same process takes as long as the machine is busy.
	testDialTimeout = 10 * time.Second
)

// rig is a gateway with stand-in targets.
type rig struct {
	gateway *gateway.Server
	address string
	stop    chan struct{}
	end     <-chan error
	engines *engines
	metrics *telemetry.Metrics
	// takeover is the address for requests of other gateways.
	takeover string
}

var kinds = map[string]route.Kind{"idempotent": route.Idempotent, "once": route.Once, "stream": route.Stream}

// configuration returns the configuration of the tests with the given number.
func configuration(number uint64, kind route.Kind, attempts int, timeout time.Duration) *route.Configuration {
	return &route.Configuration{
		Number: number,
		Routes: []route.Spec{
			{
				Name: "r", Host: testHost, Prefix: "/r/", Kind: kind, KindValid: true, Timeout: timeout, Attempts: attempts,
				Generation: kind == route.Stream, Shares: []route.Share{{Service: testService, Weight: 1}},
			},
			{
				Name: "public", Host: testHost, Prefix: "/r/public/", Kind: kind, KindValid: true, Timeout: timeout, Attempts: attempts,
				Public: true, Shares: []route.Share{{Service: testService, Weight: 1}},
			},
		},
		Services:      []route.ServiceSpec{{Name: testService, Slots: 8, ContinuousCopies: true, Moves: true, CopyLifetime: 5 * time.Second}},
		Organisations: []route.OrganisationSpec{{Name: "org", Keys: []string{"key"}}}, RequiresKeys: true,
		Limits: route.Limits{HeaderBytes: 4096, BodyBytes: 64 << 10},
	}
}

func newRig(t *testing.T, c *route.Configuration, targets ...*standin) *rig {
	t.Helper()
	return newRigWith(t, c, func(*settings.Gateway) {}, targets...)
}

// newRigWith returns a gateway with settings that a function has changed.
func newRigWith(t *testing.T, c *route.Configuration, change func(*settings.Gateway), targets ...*standin) *rig {
	t.Helper()
	s := &settings.Settings{}
	require.Empty(t, inifile.Decode(inifile.NewSection("test", "gateway", "", 0), &s.Gateway))
	s.Gateway.StopDelay = 2 * time.Second
	s.Gateway.DialTimeout = testDialTimeout
	s.Gateway.CopyAfter = 0  // the stand-ins have copies at once
	s.Gateway.RetrySlack = 0 // the reserve is there from the start, and that of one instance
	change(&s.Gateway)
	s.Instance.FailureDomain = ownDomain
	takeover, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Listen.Handover = netip.MustParseAddrPort(takeover.Addr().String())
	b := base.Base{Log: logr.Discard(), Settings: s, Timers: timer.New(), Metrics: telemetry.NewMetrics(), Credentials: peer.PlainCredentials()}
	r := &rig{stop: make(chan struct{}), engines: &engines{}, metrics: b.Metrics, takeover: takeover.Addr().String()}
	r.gateway = gateway.New(b, dialect{}, r.engines, func([]byte) (*route.Configuration, error) { return c, nil }, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.end = r.gateway.Run(ctx, listener, takeover, r.stop)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-r.end)
	})
	if c != nil {
		require.NoError(t, r.gateway.Install(&wire.Document{Number: c.Number}))
	}
	r.updateTargets(targets...)
	return r
}

// updateTargets gives the gateway a list of targets. The first is in its own failure domain
// and is therefore chosen first.
func (r *rig) updateTargets(targets ...*standin) {
	var list []*wire.Target
	for i, s := range targets {
		domain := otherDomain
		if i == 0 {
			domain = ownDomain
		}
		list = append(list, &wire.Target{
			Id: s.id, Service: testService, Address: s.address(), FailureDomain: domain, Slots: 8,
			State: wire.TargetState_TARGET_STATE_READY, Engine: true,
		})
	}
	r.gateway.UpdateTargets(list)
}

// awaitMetric waits until the metrics contain a text.
func (r *rig) awaitMetric(t *testing.T, text string) {
	t.Helper()
	require.Eventually(t, func() bool {
		var metrics strings.Builder
		r.metrics.Write(&metrics)
		return strings.Contains(metrics.String(), text)
	}, 20*time.Second, time.Millisecond, text)
}

// reply is the answer that the caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// newRequest returns a caller's request, with headers in place of the usual ones or beside them.
func (r *rig) newRequest(method, path, body string, header map[string]string) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = testHost
	request.Header.Set(testID, "request-1")
	request.Header.Set(testKey, "key")
	request.Header.Set(testBudget, "3000")
	request.Header.Set(testLongest, "1000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request, nil
}

// sendDiscarding posts a request, and returns the status and, unless the answer is complete, an error. The
// caller keeps nothing of the answer, and leaves after a number of bytes.
func (r *rig) sendDiscarding(ctx context.Context, t *testing.T, path string, header map[string]string, bytes int64) (int, error) {
	t.Helper()
	request, err := r.newRequest(http.MethodPost, path, "", header)
	require.NoError(t, err)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.CopyN(io.Discard, response.Body, bytes); err == nil {
		return response.StatusCode, errLeft
	}
	if errors.Is(err, io.EOF) {
		return response.StatusCode, nil
	}
	return response.StatusCode, err
}

// errLeft is the result of a caller that has left before the answer was complete.
var errLeft = errors.New("the caller has left")

func (r *rig) send(t *testing.T, method, path, body string, header map[string]string) reply {
	t.Helper()
	request, err := r.newRequest(method, path, body, header)
	require.NoError(t, err)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}
