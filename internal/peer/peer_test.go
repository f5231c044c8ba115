package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// echo is a receiver that returns the name of its caller.
type echo struct{ caller peer.Caller }

// Name returns the caller's name and role.
func (e *echo) Name(_ *wire.Empty, out *wire.ReplicaIdentity) error {
	out.Name = e.caller.Name() + "/" + string(e.caller.Role())
	return nil
}

// Large returns a message over MaxMessageBytes.
func (e *echo) Large(_ *wire.Empty, out *wire.ReplicaIdentity) error {
	out.Name = strings.Repeat("x", peer.MaxMessageBytes+1)
	return nil
}

type setup struct {
	folder      string
	address     netip.AddrPort
	credentials *peer.Credentials // of the server
}

func start(t *testing.T) *setup {
	t.Helper()
	s := &setup{folder: t.TempDir()}
	require.NoError(t, peer.WriteAuthority(filepath.Join(s.folder, "authority")))
	creds := s.newCredentials(t, "server", "authority", peer.RoleInstance)
	s.credentials = creds
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = netip.MustParseAddrPort(listener.Addr().String())
	server := peer.NewServer(logr.Discard(), creds, &peer.Traffic{})
	server.Register("Echo", func(c peer.Caller) any { return &echo{c} })
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Serve(ctx, listener)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return s
}

func (s *setup) newCredentials(t *testing.T, name, authority string, role peer.Role) *peer.Credentials {
	t.Helper()
	folder := filepath.Join(s.folder, name)
	require.NoError(t, peer.WriteCredentials(folder, filepath.Join(s.folder, authority), name, role))
	creds, err := peer.LoadCredentials(folder)
	require.NoError(t, err)
	return creds
}

func (s *setup) call(creds *peer.Credentials, method string) (string, error) {
	client := peer.NewClient(s.address, creds, &peer.Traffic{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	out := &wire.ReplicaIdentity{}
	err := client.Call(ctx, method, &wire.Empty{}, out)
	return out.GetName(), err
}

// TestCallerIdentity checks that a receiver gets its caller's name and role from the
// certificate, and that a certificate of another authority is refused before any call.
func TestCallerIdentity(t *testing.T) {
	s := start(t)
	name, err := s.call(s.newCredentials(t, "ana", "authority", peer.RoleOperator), "Echo.Name")
	require.NoError(t, err)
	require.Equal(t, "ana/operator", name)
	name, err = s.call(s.newCredentials(t, "i1", "authority", peer.RoleInstance), "Echo.Name")
	require.NoError(t, err)
	require.Equal(t, "i1/instance", name)

	require.NoError(t, peer.WriteAuthority(filepath.Join(s.folder, "foreign")))
	_, err = s.call(s.newCredentials(t, "stranger", "foreign", peer.RoleInstance), "Echo.Name")
	require.Error(t, err)
}

// TestMalformedInput checks that the server keeps serving after malformed input that no
// process of the system sends.
func TestMalformedInput(t *testing.T) {
	s := start(t)
	creds := s.newCredentials(t, "i1", "authority", peer.RoleInstance)
	pair, err := tls.LoadX509KeyPair(filepath.Join(s.folder, "i1", "instance.crt"), filepath.Join(s.folder, "i1", "instance.key"))
	require.NoError(t, err)
	oversized := binary.BigEndian.AppendUint32(nil, 1<<31)
	cases := []struct {
		name   string
		secure bool
		send   []byte
	}{
		{"plain text", false, []byte("GET / HTTP/1.1\r\n\r\n")},
		{"nothing", false, nil},
		{"an oversized message", true, oversized},
		{"a malformed message", true, append(binary.BigEndian.AppendUint32(nil, 3), 0xff, 0xff, 0xff)},
		{"a truncated message", true, []byte{0, 0, 0, 9, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.address.String()) //nolint:noctx // loopback
			require.NoError(t, err)
			if c.secure {
				conn = tls.Client(conn, &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true}) //nolint:gosec // the test is the peer
			}
			_, err = conn.Write(c.send)
			require.NoError(t, err)
			if c.secure && len(c.send) > 5 || len(c.send) == len(oversized) {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
				_, err = io.ReadAll(conn) // the server closes the connection
				require.NotErrorIs(t, err, context.DeadlineExceeded)
			}
			require.NoError(t, conn.Close())
			name, err := s.call(creds, "Echo.Name")
			require.NoError(t, err)
			require.Equal(t, "i1/instance", name)
		})
	}
	_, err = s.call(creds, "Echo.None")
	require.ErrorContains(t, err, "can't find method")
	_, err = s.call(creds, "Echo.Large")
	require.Error(t, err)
	name, err := s.call(creds, "Echo.Name")
	require.NoError(t, err)
	require.Equal(t, "i1/instance", name)
}

// TestCredentialsReload checks that the server uses a replaced authority without a
// restart.
func TestCredentialsReload(t *testing.T) {
	s := start(t)
	require.NoError(t, peer.WriteAuthority(filepath.Join(s.folder, "next")))
	fresh := s.newCredentials(t, "i2", "next", peer.RoleInstance)
	_, err := s.call(fresh, "Echo.Name")
	require.Error(t, err)
	require.NoError(t, peer.WriteCredentials(filepath.Join(s.folder, "server"), filepath.Join(s.folder, "next"), "server", peer.RoleInstance))
	name, err := s.call(fresh, "Echo.Name")
	require.NoError(t, err)
	require.Equal(t, "i2/instance", name)
}

// TestFailedReloadIsLogged guards against changed credentials that cannot be read and are not used without a
// word: one line when that begins or its reason changes, one when it ends.
func TestFailedReloadIsLogged(t *testing.T) {
	s := start(t)
	logged := make(chan string, 10)
	s.credentials.SetLog(funcr.New(func(_, args string) { logged <- args }, funcr.Options{}))
	fresh := s.newCredentials(t, "i2", "authority", peer.RoleInstance)
	call := func() {
		_, err := s.call(fresh, "Echo.Name")
		require.NoError(t, err, "the previous credentials stay in use")
	}
	call()
	require.Empty(t, logged)
	folder := filepath.Join(s.folder, "server")
	require.NoError(t, os.WriteFile(filepath.Join(folder, "instance.crt"), []byte("no certificate"), 0o600))
	call()
	call()
	require.Len(t, logged, 1)
	require.Contains(t, <-logged, "cannot read changed credentials")
	require.NoError(t, peer.WriteCredentials(folder, filepath.Join(s.folder, "authority"), "server", peer.RoleInstance))
	call()
	require.Len(t, logged, 1)
	require.Contains(t, <-logged, "can be read again")
}

// TestUnreachable checks that a call returns ErrUnreachable when no connection could be
// made, so that it certainly did not arrive.
func TestUnreachable(t *testing.T) {
	s := start(t)
	s.address = netip.MustParseAddrPort("127.0.0.1:1")
	_, err := s.call(s.newCredentials(t, "i1", "authority", peer.RoleInstance), "Echo.Name")
	require.ErrorIs(t, err, peer.ErrUnreachable)
}

// TestMessagesAreCountedByMethod checks that the observer learns of each complete message with its method and
// size, and of none whose method does not exist: a peer could make up as many as it likes.
func TestMessagesAreCountedByMethod(t *testing.T) {
	s := start(t)
	var mu sync.Mutex
	sent, received := 0, 0
	traffic := peer.NewTraffic(func(m peer.Message) {
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, "Echo.Name", m.Method())
		if m.Sent() {
			sent += m.Bytes()
		} else {
			received += m.Bytes()
		}
	})
	client := peer.NewClient(s.address, s.newCredentials(t, "client", "authority", peer.RoleInstance), traffic)
	defer client.Close()
	for range 3 {
		require.NoError(t, client.Call(context.Background(), "Echo.Name", &wire.Empty{}, &wire.ReplicaIdentity{}))
	}
	mu.Lock()
	defer mu.Unlock()
	require.EqualValues(t, traffic.Sent(), sent)
	require.EqualValues(t, traffic.Received(), received)
}
