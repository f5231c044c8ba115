package connlimit_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/connlimit"
)

// rig is a limited listener and the connections that it has accepted.
type rig struct {
	listener *connlimit.Listener
	accepted chan net.Conn
}

func newRig(t *testing.T, limits connlimit.Limits) *rig {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &rig{listener: connlimit.New(logr.Discard(), inner, limits), accepted: make(chan net.Conn, 100)}
	t.Cleanup(func() { _ = inner.Close() })
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			r.accepted <- conn
		}
	}()
	return r
}

func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// complete returns the next accepted connection, whose head has arrived.
func (r *rig) complete(t *testing.T) net.Conn {
	t.Helper()
	conn := <-r.accepted
	conn.(*connlimit.Conn).HeadComplete()
	return conn
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestOldestWithoutHeadIsClosed guards against connections without a request that keep others out.
func TestOldestWithoutHeadIsClosed(t *testing.T) {
	for name, limits := range map[string]connlimit.Limits{
		"all": {Headless: 2}, "one address": {HeadlessByAddress: 2}, "open": {Open: 2}, "open of one address": {OpenByAddress: 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, limits)
			first := r.dial(t)
			<-r.accepted
			r.dial(t)
			<-r.accepted
			r.dial(t)
			requireClosed(t, first)
			<-r.accepted
			require.EqualValues(t, 1, r.listener.Closed())
		})
	}
}

// TestServedConnectionsStay guards against a new connection that displaces one with a request.
func TestServedConnectionsStay(t *testing.T) {
	r := newRig(t, connlimit.Limits{Open: 2, Headless: 1})
	r.dial(t)
	served := r.complete(t)
	r.dial(t)
	r.complete(t)
	requireClosed(t, r.dial(t))
	require.NoError(t, served.Close())
	_ = served.Close() // a second close counts nothing
	r.dial(t)
	<-r.accepted
	assert.Equal(t, 2, r.listener.Open())
}

// TestCounts guards against connections that are counted after they were closed.
func TestCounts(t *testing.T) {
	r := newRig(t, connlimit.Limits{Open: 10, Headless: 10, OpenByAddress: 10, HeadlessByAddress: 10})
	for range 30 {
		client := r.dial(t)
		conn := <-r.accepted
		_ = client.Close()
		require.NoError(t, conn.Close())
	}
	require.Zero(t, r.listener.Closed())
	require.EventuallyWithT(t, func(c *assert.CollectT) { assert.Zero(c, r.listener.Open()) }, time.Minute, time.Millisecond)
}
