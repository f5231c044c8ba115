package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// resetConn is a connection whose reader learns of a reset also if the operating system has told a writer of it. It
// tells one call only, and a later read then ends as after an orderly end, which completes an answer that has no length.
type resetConn struct {
	net.Conn

	writing sync.Mutex // held while bytes are written; guards reset
	reset   error
}

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Now()) // the target reads no more; a write that has the error returns it all the same
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.reset != nil {
		return n, c.reset
	}
	return n, err
}

// dialResetConn returns a function that opens connections by dial, or by the operating system if that is nil, whose readers
// learn of resets.
func dialResetConn(dial Dial) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn}, nil
	}
}
