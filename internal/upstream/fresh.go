package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// NewFreshTransport returns a transport that opens one connection a request.
//
// http.Transport runs a request again when a kept connection breaks before the
// answer and the request is idempotent by its method or carries an
// Idempotency-Key header. It does so for reused connections only, and here none
// is reused.
func NewFreshTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
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
	}
}

// sentKey finds the counter of a request's bytes in its context.
type sentKey struct{}

// CountSent returns a context whose request counts the bytes that it tried to
// send. While the count is 0, the request provably did not reach its target.
func CountSent(ctx context.Context) (context.Context, *atomic.Int64) {
	sent := &atomic.Int64{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// countingConn counts bytes before they are handed to the kernel: a write that
// fails may still have sent a part.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}
