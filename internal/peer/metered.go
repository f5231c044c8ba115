package peer

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeTimeout bounds how long a peer may take none of what is written to it. A call waits
	// for its write regardless of its context, and a peer behind a network partition reads nothing.
	writeTimeout = 5 * time.Second
	// writeChunkBytes is the size of the writes whose progress is noticed.
	writeChunkBytes = 16 << 10
)

// meteredConn counts the bytes of a connection as they pass, also those of messages that are never
// complete.
type meteredConn struct {
	net.Conn
	traffic  *Traffic
	sent     atomic.Int64
	received atomic.Int64
}

func newMeteredConn(conn net.Conn, traffic *Traffic) *meteredConn {
	return &meteredConn{Conn: conn, traffic: traffic}
}

// passed returns the bytes that have passed in both directions.
func (c *meteredConn) passed() int64 { return c.sent.Load() + c.received.Load() }

// Read implements io.Reader.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer. It fails if the peer takes nothing for writeTimeout.
func (c *meteredConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		c.sent.Add(int64(n))
		c.traffic.sent.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// setReadDeadline sets until when bytes must arrive. Networks in memory have no deadlines.
func setReadDeadline(conn net.Conn, deadline time.Time) error {
	if err := conn.SetReadDeadline(deadline); !errors.Is(err, os.ErrNoDeadline) {
		return err
	}
	return nil
}
