package idempotency_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// replicatedLog permits whoever asks first to vote.
type replicatedLog struct{ permitted []string }

// OpenDomain implements the call of that name.
func (r *replicatedLog) OpenDomain(in *wire.OpenDomain, out *wire.OpenDomainResult) error {
	if r.permitted == nil {
		r.permitted = in.GetIncarnations()
	}
	out.Incarnations = r.permitted
	return nil
}

// keepers is the keepers of a failure domain on a network in memory.
type keepers struct {
	network *peertest.Network
	store   *config.Store
	ends    []<-chan error
}

func keeperAddress(name string) string {
	return map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1"}[name]
}

// start starts a keeper that stops with the context.
func (k *keepers) start(ctx context.Context, t *testing.T, name string) *idempotency.LocalKeeper {
	t.Helper()
	address := netip.MustParseAddrPort(keeperAddress(name))
	creds := peer.PlainCredentials(peer.WithDial(k.network.DialFrom(address.Addr().String())))
	s := &settings.Settings{}
	s.Instance.Name, s.Instance.FailureDomain, s.Entry.KeeperRecords = name, "d", records
	s.Control.Replicas = []inifile.Peer{{Name: "log", Address: netip.MustParseAddrPort("10.0.0.9:1")}}
	b := base.Base{Log: logr.Discard(), Settings: s, Timers: timertest.New(), Credentials: creds, Traffic: &peer.Traffic{}}
	keeper := idempotency.NewLocalKeeper(b, k.store)
	server := peer.NewServer(logr.Discard(), creds, &peer.Traffic{})
	idempotency.Register(server, keeper, nil)
	k.ends = append(k.ends, server.Serve(ctx, k.network.Listen(address.String())), keeper.Run(ctx))
	return keeper
}

const (
	// records is the number of records, with answers of answerBytes.
	records     = 10000
	answerBytes = 2 << 10
)

// fill grants a keeper's records and completes them.
func fill(t *testing.T, keeper *idempotency.LocalKeeper) {
	t.Helper()
	body := []byte(strings.Repeat("x", answerBytes))
	for i := range records {
		key := fmt.Sprint("key-", i)
		out := &wire.IntentResponse{}
		require.NoError(t, keeper.Intent(&wire.IntentRequest{Epoch: 1, Key: key, Attempt: "1"}, out))
		require.Equal(t, wire.IntentStatus_INTENT_STATUS_GRANTED, out.GetStatus())
		require.NoError(t, keeper.Outcome(&wire.OutcomeRequest{Epoch: 1, Key: key, Attempt: "1", Answer: &wire.Answer{Status: 200, Body: body}}, &wire.Empty{}))
	}
}

// TestRestartedKeeperRecallsManyRecords guards against a keeper that never votes again after its restart, because
// the others' records are too many for one message, or take longer to arrive than one call may last.
func TestRestartedKeeperRecallsManyRecords(t *testing.T) {
	const bytesPerSecond = 10_000_000 / 8
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		k := &keepers{network: peertest.New(), store: config.NewStore()}
		k.network.Narrow(ctx, "10.0.0.3", bytesPerSecond)
		members := "a@" + keeperAddress("a") + ", b@" + keeperAddress("b") + ", c@" + keeperAddress("c")
		require.NoError(t, k.store.Reset(1, []*wire.SectionEdit{{Id: "failure-domain d", Text: "[failure-domain d]\nkeepers = " + members + "\n"}}))
		log := peer.NewServer(logr.Discard(), peer.PlainCredentials(), &peer.Traffic{})
		permissions := &replicatedLog{}
		log.Register("Control", func(peer.Caller) any { return permissions })
		k.ends = append(k.ends, log.Serve(ctx, k.network.Listen("10.0.0.9:1")))
		a, b := k.start(ctx, t, "a"), k.start(ctx, t, "b")
		firstCtx, kill := context.WithCancel(ctx)
		first := k.start(firstCtx, t, "c")
		defer func() {
			stop()
			for _, end := range k.ends {
				require.NoError(t, <-end)
			}
			time.Sleep(time.Minute) // until all goroutines have ended
		}()
		time.Sleep(10 * time.Second)
		require.True(t, a.Voting() && b.Voting() && first.Voting())
		fill(t, a)
		fill(t, b)
		kill()
		time.Sleep(time.Second)
		received := k.network.Received("10.0.0.3")
		second := k.start(ctx, t, "c")
		time.Sleep(2 * time.Minute)
		t.Logf("%d bytes received for %d", k.network.Received("10.0.0.3")-received, 2*records*answerBytes)
		require.True(t, second.Voting())
		require.Less(t, k.network.Received("10.0.0.3")-received, 2*records*answerBytes*5/4, "received more than once from two keepers")
		out := &wire.IntentResponse{}
		require.NoError(t, second.Lookup(&wire.IntentRequest{Key: "key-9999"}, out))
		require.Len(t, out.GetRecord().GetAnswer().GetBody(), answerBytes)
	})
}
