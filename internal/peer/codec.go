// Package peer carries calls between the system's own processes: net/rpc over a
// protobuf codec on mutually authenticated TLS connections.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// MaxMessageBytes bounds one message on a connection. A snapshot of the
// configuration is the largest one.
const MaxMessageBytes = 16 << 20

const lengthBytes = 4

// ErrTooLarge is returned for a message over MaxMessageBytes.
var ErrTooLarge = errors.New("message is over the size bound")

// Traffic counts the bytes and messages that the system's own processes exchange. It
// is safe for concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	messages atomic.Int64
}

// Sent returns the bytes written to connections, without the overhead of encryption.
// Bytes of messages that were not complete count too, here and in Received.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read from connections, without the overhead of encryption.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Messages returns the number of messages written.
func (t *Traffic) Messages() int64 { return t.messages.Load() }

// framer reads and writes length-prefixed protobuf messages.
type framer struct {
	conn    *meteredConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	traffic *Traffic
	buffer  []byte
}

func newFramer(conn *meteredConn, traffic *Traffic) *framer {
	return &framer{
		conn: conn, traffic: traffic,
		reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn),
	}
}

func (f *framer) write(m proto.Message) error {
	body, err := proto.MarshalOptions{}.MarshalAppend(f.buffer[:0], m)
	if err != nil {
		return errors.Wrap(err, "cannot encode message")
	}
	f.buffer = body
	if len(body) > MaxMessageBytes {
		return ErrTooLarge
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(body)))
	if _, err := f.writer.Write(length[:]); err != nil {
		return err
	}
	f.traffic.messages.Add(1)
	_, err = f.writer.Write(body)
	return err
}

func (f *framer) read(m proto.Message) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(f.reader, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxMessageBytes {
		return ErrTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(f.reader, body); err != nil {
		return err
	}
	return errors.Wrap(proto.Unmarshal(body, m), "malformed message")
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*framer
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var header wire.RequestHeader
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = header.GetMethod(), header.GetSequence()
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := &wire.ResponseHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}
	return c.writePair(header, body)
}

func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*framer
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writePair(&wire.RequestHeader{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var header wire.ResponseHeader
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = header.GetMethod(), header.GetSequence(), header.GetError()
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c *clientCodec) Close() error { return c.conn.Close() }

func (f *framer) readBody(body any) error {
	if body == nil {
		return f.read(&wire.Empty{})
	}
	m, ok := body.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a protobuf message", body)
	}
	return f.read(m)
}

func (f *framer) writePair(header proto.Message, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	if err := f.write(header); err != nil {
		return err
	}
	if err := f.write(m); err != nil {
		return err
	}
	return f.writer.Flush()
}
