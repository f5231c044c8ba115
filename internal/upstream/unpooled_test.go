package upstream

import (
	"bufio"
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

// TestUnpooledTransportDoesNotRetry checks that the transport for non-idempotent
// requests sends a request once. http.Transport retries a request with an
// Idempotency-Key when a reused connection breaks.
func TestUnpooledTransportDoesNotRetry(t *testing.T) {
	cases := []struct {
		name      string
		transport http.RoundTripper
		arrivals  int64
	}{
		{"a transport that reuses connections sends the request twice", &http.Transport{}, 2},
		{"the transport for non-idempotent requests sends the request once", NewUnpooledTransport(time.Second), 1},
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
			post("/warm") // leaves an idle connection if the transport reuses connections
			post("/book")
			require.Equal(t, c.arrivals, arrivals.Load())
		})
	}
}

// TestCountSent checks that no byte is counted when no connection can be made, and
// that some are when the target closes the connection without an answer.
func TestCountSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			// Reads a byte first: a connection closed at once could be found closed
			// before the client writes.
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: NewUnpooledTransport(time.Second)}
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

// TestUnpooledHeadCutAtEveryByte guards against an answer whose head is cut off being read as a whole one.
func TestUnpooledHeadCutAtEveryByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nOther: 1\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // the test is over
	var bytes atomic.Int64                  // that are sent
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn)) // what arrives is not needed
			_, _ = conn.Write([]byte(head[:bytes.Load()])) // a failure shows at the reader
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: NewUnpooledTransport(10 * time.Second)}
	for n := range len(head) {
		bytes.Store(int64(n))
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader("slot")) //nolint:noctx // bounded by the test
		if err == nil {
			_ = response.Body.Close() // the test fails
		}
		require.Error(t, err, "after %d of %d bytes", n, len(head))
	}
}
