// Package upstream sends requests to targets and reads their answers, over pooled
// connections or over a new connection for each request. It never sends a request
// twice.
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
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the
	// answer is read. A larger body is written concurrently with reading the
	// answer, since a target may answer early.
	maxInlineBody = 2 << 10
	// maxSkippedAnswers bounds the number of skipped answers to other requests.
	maxSkippedAnswers = 3
	// maxSkippedBytes bounds the size in bytes of a skipped answer.
	maxSkippedBytes = 1 << 20
	// maxCarried bounds the number of requests that one connection carries, since they are
	// remembered.
	maxCarried = 256
)

// Errors of exchanges.
var (
	// ErrUnreachable means that no connection could be made: nothing was sent.
	ErrUnreachable = errors.New("target is unreachable")
	// ErrUnrelatedAnswer means that the target sent only answers to other requests.
	ErrUnrelatedAnswer = errors.New("target answered another request")
	// ErrUnnamedAnswer means that the answer does not name its request and may belong to an earlier
	// one.
	ErrUnnamedAnswer = errors.New("answer names no request, on a connection that has carried others")
)

// Ownership is what the head of an answer tells of the request that it answers.
type Ownership int

// Ownerships.
const (
	// Named means that the answer names the request that was sent.
	Named Ownership = iota
	// Unnamed means that the answer names no request, or several. It belongs to the request only if
	// the connection has carried no other one.
	Unnamed
	// Foreign means that the answer names another request.
	Foreign
)

// Conn is a connection to one target. It carries one request at a time.
type Conn struct {
	conn      net.Conn     // as it was opened
	resets    *resetConn   // what source and writer use
	source    *boundedConn // what reader reads from
	reader    *bufio.Reader
	writer    *bufio.Writer
	key       string
	reused    bool
	carried   []uint64      // hashes of the requests that it has carried
	unnamed   bool          // its target does not name the requests that it answers
	idleSince time.Time     // when it became idle
	idleLimit time.Duration // how long it may stay idle
	bodyErr   chan error    // result of writing a body concurrently with reading the answer
	bodySent  bool          // whether the complete body was written
}

// Owns reports whether an answer belongs to the request that was sent last: it names the request, or
// it names none and the connection has carried no other.
func (c *Conn) Owns(answer Ownership) bool {
	return answer == Named || answer == Unnamed && !c.reused
}

// Reused reports whether the connection has carried another request before.
func (c *Conn) Reused() bool { return c.reused }

// Request is a request to a target. Header must not contain Host, Content-Length
// or Transfer-Encoding.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes a body of length 0 from no body.
	HasBody bool
}

// Send writes a request. After an error, any part of it may have reached the
// target.
func (c *Conn) Send(r *Request) error {
	c.bodySent = true
	if err := c.writeHead(r); err != nil {
		return err
	}
	if len(r.Body) <= maxInlineBody {
		if _, err := c.writer.Write(r.Body); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.bodySent = false
	c.bodyErr = make(chan error, 1)
	go func() {
		_, err := c.resets.Write(r.Body)
		c.bodyErr <- err
	}()
	return nil
}

func (c *Conn) writeHead(r *Request) error {
	if strings.ContainsAny(r.URI, " \r\n") || strings.ContainsAny(r.Host, " \r\n") {
		return errors.New("URI or host of the request contains a space or line break")
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

// ReadAnswer reads the head of the answer to the request. The function inspect is called
// with every head that is read, informational ones included, and tells which request an answer
// names. Answers to other requests are skipped. The error matches ErrUnrelatedAnswer if
// only such answers were received, and ErrUnnamedAnswer if an answer names none and may belong to
// an earlier request.
func (c *Conn) ReadAnswer(method string, inspect func(*http.Response) Ownership) (*http.Response, error) {
	for skipped := range maxSkippedAnswers {
		response, ownership, err := c.readHead(method, inspect)
		if err != nil {
			return nil, err
		}
		switch {
		case ownership == Named:
			return response, nil
		case c.Owns(ownership) && skipped == 0:
			c.unnamed = true
			return response, nil
		case ownership == Unnamed:
			return nil, ErrUnnamedAnswer
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(ErrUnrelatedAnswer, "answer is too long to skip")
		}
		if response.Close {
			return nil, ErrUnrelatedAnswer
		}
	}
	return nil, ErrUnrelatedAnswer
}

// readHead reads the head of the next final response and skips informational
// responses. It returns what inspect tells of the final one. The error matches ErrHeadTooLong if
// these heads are too long, and ErrMalformedAnswer if one is malformed.
func (c *Conn) readHead(method string, inspect func(*http.Response) Ownership) (*http.Response, Ownership, error) {
	c.source.bound(MaxHeadBytes)
	defer c.source.free()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, Foreign, err
		}
		if err := checkHead(response); err != nil {
			return nil, Foreign, err
		}
		response.Body = &checkedBody{response.Body, response}
		ownership := inspect(response)
		if response.StatusCode >= http.StatusOK {
			return response, ownership, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, Foreign, errors.New("target switched protocols, which is not supported")
		}
	}
}

// reusable reports whether the connection can carry another request: the previous
// one was sent completely, its answer named it, and no bytes were received beyond the answer.
func (c *Conn) reusable() bool {
	if c.unnamed || len(c.carried) == 0 || len(c.carried) >= maxCarried {
		return false
	}
	if !c.bodySent {
		select {
		case err := <-c.bodyErr:
			c.bodySent = err == nil
		default:
		}
	}
	return c.bodySent && c.reader.Buffered() == 0
}

// stillOpen reports whether an idle connection is still open and has no unread bytes.
func (c *Conn) stillOpen() bool {
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
	var peekErr error
	var n int
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(peekErr, syscall.EAGAIN)
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(until time.Time) error { return c.conn.SetDeadline(until) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() } // the connection is not used again either way

// CloseOnDone closes the connection when the context is done. The returned function
// cancels this; it returns false if the context was done first.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}
