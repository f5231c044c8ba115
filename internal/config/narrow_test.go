package config_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/peer/peertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestLargeDeclarationsOverNarrowLink guards against an instance that never gets the declarations after
// its start, because the whole of them takes longer to arrive than one call may last.
func TestLargeDeclarationsOverNarrowLink(t *testing.T) {
	const (
		classes        = 10000
		bytesPerSecond = 600_000 / 8
		host           = "10.0.1.1"
		address        = "10.0.0.1:7000"
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		network := peertest.New()
		network.Narrow(ctx, host, bytesPerSecond)
		held := config.NewStore()
		var sections []*wire.SectionEdit
		size := 0
		for i := range classes {
			id := fmt.Sprintf("class class-with-the-number-%d", i)
			sections = append(sections, &wire.SectionEdit{Id: id, Text: fmt.Sprintf("[%s]\nidempotent = true\n", id)})
			size += len(sections[i].GetText())
		}
		require.NoError(t, held.Reset(1, sections))
		server := peer.NewServer(logr.Discard(), peer.PlainCredentials(), &peer.Traffic{})
		server.Register("Config", func(peer.Caller) any { return config.NewPeerService(held) })
		served := server.Serve(ctx, network.Listen(address))
		store := config.NewStore()
		source := inifile.Peer{Name: "source", Address: netip.MustParseAddrPort(address)}
		creds := peer.PlainCredentials(peer.WithDial(network.DialFrom(host)))
		self := inifile.Peer{Name: "i", Address: netip.MustParseAddrPort(host + ":7000")}
		subscriber := config.NewSubscriber(logr.Discard(), store, self, "d", 4*time.Second, nil, []inifile.Peer{source}, creds, &peer.Traffic{})
		ended := subscriber.Run(ctx)
		defer func() {
			stop()
			require.NoError(t, <-ended)
			require.NoError(t, <-served)
			time.Sleep(time.Minute) // until all goroutines have ended
		}()
		time.Sleep(time.Minute)
		t.Logf("%d bytes of declarations, %d received", size, network.Received(host))
		require.EqualValues(t, 1, store.Version())
		require.Less(t, network.Received(host), 2*size, "received more than once")
	})
}
