package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// startPlain starts a server without encryption whose messages may hold 64 KiB.
func startPlain(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(logr.Discard(), peer.PlainCredentials(), &peer.Traffic{}, peer.WithMemory(64<<10))
	server.Register("Echo", func(c peer.Caller) any { return &echo{c} })
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Serve(ctx, listener)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

// send sends a message's stated size and a part of it.
func send(t *testing.T, address string, size uint32, part int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, size), bytes.Repeat([]byte{1}, part)...))
	require.NoError(t, err)
	return conn
}

// TestMessagesTakeMemoryAsTheyArrive guards against messages that hold the memory that they announce: it is taken
// by those that have arrived only, and a connection beyond it is closed.
func TestMessagesTakeMemoryAsTheyArrive(t *testing.T) {
	address := startPlain(t)
	for range 8 {
		send(t, address, peer.MaxMessageBytes, 0)
	}
	large := send(t, address, peer.MaxMessageBytes, 512<<10)
	_, err := io.Copy(io.Discard, large)
	if err == nil { // otherwise the connection was reset, as not everything was read
		_, err = large.Read(make([]byte, 1))
	}
	require.Error(t, err)
	client := peer.NewClient(netip.MustParseAddrPort(address), peer.PlainCredentials(), &peer.Traffic{})
	defer client.Close()
	require.NoError(t, client.Call(t.Context(), "Echo.Name", &wire.Empty{}, &wire.ReplicaIdentity{}))
}
