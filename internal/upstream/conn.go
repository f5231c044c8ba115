// Package upstream sends requests to targets over kept connections and reads
// their answers. It never sends a request twice.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
	// inlineBody is the size of a body that is written before the answer is read;
	// a larger one is written beside it, since a target may answer early.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 3
	// maxSkipped bounds the size of an answer that is skipped.
	maxSkipped = 1 << 20
)

// Errors of exchanges.
var (
	// ErrUnreachable means that no connection could be made: nothing was sent.
	ErrUnreachable = errors.New("target is unreachable")
	// ErrForeign means that the target answered other requests only.
	ErrForeign = errors.New("target answered another request")
)

// Conn is a connection to one target. It carries one request at a time.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	key    string
	reused bool
	idle   time.Time     // since when it is idle
	keep   time.Duration // how long it may be idle
	wrote  chan error    // result of a body that is written beside the answer
	body   bool          // the whole body was written
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Request is what is sent to a target. The header must not hold the names Host,
// Content-Length and Transfer-Encoding.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells a body of length 0 from none.
	HasBody bool
}

// Send writes a request. After an error any part of it may have arrived.
func (c *Conn) Send(r *Request) error {
	c.body = true
	if err := c.writeHead(r); err != nil {
		return err
	}
	if len(r.Body) <= inlineBody {
		if _, err := c.writer.Write(r.Body); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.body = false
	c.wrote = make(chan error, 1)
	go func() {
		_, err := c.conn.Write(r.Body)
		c.wrote <- err
	}()
	return nil
}

func (c *Conn) writeHead(r *Request) error {
	if strings.ContainsAny(r.URI, " \r\n") || strings.ContainsAny(r.Host, " \r\n") {
		return errors.New("request line cannot be written")
	}
	if _, err := fmt.Fprintf(c.writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host); err != nil {
		return err
	}
	if r.HasBody {
		if _, err := fmt.Fprintf(c.writer, "Content-Length: %d\r\n", len(r.Body)); err != nil {
			return err
		}
	}
	if err := r.Header.Write(c.writer); err != nil {
		return err
	}
	_, err := c.writer.WriteString("\r\n")
	return err
}

// Answer reads the head of the answer to the request. Belongs tells whether an
// answer is the request's own; others are skipped.
func (c *Conn) Answer(method string, belongs func(*http.Response) bool) (*http.Response, error) {
	for range maxForeign {
		response, err := c.head(method)
		if err != nil {
			return nil, err
		}
		if belongs(response) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkipped); !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(ErrForeign, "it is too long")
		}
		if response.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}

// head reads the next final head.
func (c *Conn) head(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switches protocols")
		}
	}
}

// clean reports whether the connection can carry another request: everything was
// sent, and nothing more than the answer has come.
func (c *Conn) clean() bool {
	if !c.body {
		select {
		case err := <-c.wrote:
			c.body = err == nil
		default:
		}
	}
	return c.body && c.reader.Buffered() == 0
}

// silent reports whether an idle connection is still open and without unread
// bytes.
func (c *Conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var n int
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(peeked, syscall.EAGAIN)
}

// Bound makes reads and writes fail after a time; the zero time removes the bound.
func (c *Conn) Bound(until time.Time) error { return c.conn.SetDeadline(until) }

// Close ends the connection.
func (c *Conn) Close() { _ = c.conn.Close() } // it is given up either way

// CloseWith ends the connection when the context does. The returned function
// undoes that.
func (c *Conn) CloseWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}
