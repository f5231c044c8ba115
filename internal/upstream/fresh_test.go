package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoSilentRetry: http.Transport runs a request again when a kept connection
// breaks and the request has an Idempotency-Key. With the transport for
// non-idempotent requests it must arrive once.
func TestNoSilentRetry(t *testing.T) {
	cases := []struct {
		name      string
		transport http.RoundTripper
		arrivals  int64
	}{
		{"a transport that keeps connections runs it twice", &http.Transport{}, 2},
		{"the transport for non-idempotent requests runs it once", NewFreshTransport(time.Second), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/book" && arrivals.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusOK)
			}))
			defer server.Close()
			client := &http.Client{Transport: c.transport}
			post := func(path string) {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, strings.NewReader("slot"))
				require.NoError(t, err)
				r.Header.Set("Idempotency-Key", "k")
				response, err := client.Do(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				require.NoError(t, response.Body.Close())
			}
			post("/warm") // a connection is kept, where the transport keeps any
			post("/book")
			require.Equal(t, c.arrivals, arrivals.Load())
		})
	}
}

// TestCountSent: no byte is counted when no connection could be made, and some
// are when the target ends the connection without an answer.
func TestCountSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			// Closed at once, the connection could be found closed before a write.
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: NewFreshTransport(time.Second)}
	send := func() int64 {
		ctx, sent := CountSent(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("slot"))
		require.NoError(t, err)
		response, err := client.Do(r)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
		require.Error(t, err)
		return sent.Load()
	}
	require.Positive(t, send())
	require.NoError(t, listener.Close())
	require.Zero(t, send())
}
