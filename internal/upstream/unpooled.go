package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// NewUnpooledTransport returns a transport that opens a new connection for each
// request, and is strict.
//
// http.Transport retries a request when a reused connection breaks before the
// response and the request is idempotent by its method or carries an
// Idempotency-Key header. It retries on reused connections only, and the returned
// transport reuses none.
func NewUnpooledTransport(dialTimeout time.Duration) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Strict(&http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if sent, ok := ctx.Value(sentKey{}).(*atomic.Int64); ok {
				return &countingConn{Conn: conn, sent: sent}, nil
			}
			return conn, nil
		},
	})
}

// sentKey is the context key of the counter of bytes sent for a request.
type sentKey struct{}

// CountSent returns a context for one request and a counter of the bytes that the
// request tried to send through a transport from NewUnpooledTransport. While the
// count is 0, the request provably did not reach its target.
func CountSent(ctx context.Context) (context.Context, *atomic.Int64) {
	sent := &atomic.Int64{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// countingConn counts bytes before they are passed to the kernel, because a failed
// write may still have sent part of them.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}
