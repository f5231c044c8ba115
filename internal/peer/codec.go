// Package peer carries calls between the system's own processes: net/rpc over a
// protobuf codec on mutually authenticated TLS connections.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/membudget"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// MaxMessageBytes bounds one message on a connection. A snapshot of the
// configuration is the largest one.
const MaxMessageBytes = 16 << 20

const lengthBytes = 4

// maxKeptBytes bounds the buffer that a connection keeps for its next message. A replica has hundreds of connections,
// each of which sends a large message now and then.
const maxKeptBytes = 32 << 10

// ErrTooLarge is returned for a message over MaxMessageBytes.
var ErrTooLarge = errors.New("message is over the size bound")

// Traffic counts the bytes and messages that the system's own processes exchange. It
// is safe for concurrent use.
type Traffic struct {
	observer func(Message)
	sent     atomic.Int64
	received atomic.Int64
	messages atomic.Int64
}

// Message is a complete message that was sent or received: a request or response of a method, with its
// header.
type Message struct {
	method string
	sent   bool
	bytes  int
}

// Method returns the name of the method.
func (m Message) Method() string { return m.method }

// Sent reports whether the message was sent; otherwise it was received.
func (m Message) Sent() bool { return m.sent }

// Bytes returns the size of the message in bytes.
func (m Message) Bytes() int { return m.bytes }

// NewTraffic returns counters without traffic. The observer is called with each complete message, by
// several goroutines.
func NewTraffic(observer func(Message)) *Traffic { return &Traffic{observer: observer} }

// observe passes a complete message on. The method of a request may be any text that a peer sends.
func (t *Traffic) observe(m Message) {
	if t.observer != nil {
		t.observer(m)
	}
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
	// hold is the memory of the message that is being read; nil for any amount.
	hold *membudget.Hold
	// reading is the message whose header was read.
	reading Message
}

func newFramer(conn *meteredConn, traffic *Traffic) *framer {
	return &framer{
		conn: conn, traffic: traffic,
		reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn),
	}
}

// write writes one part of a message and returns its size.
func (f *framer) write(m proto.Message) (int, error) {
	body, err := proto.MarshalOptions{}.MarshalAppend(f.buffer[:0], m)
	if err != nil {
		return 0, errors.Wrap(err, "cannot encode message")
	}
	if f.buffer = body; cap(body) > maxKeptBytes {
		f.buffer = nil
	}
	if len(body) > MaxMessageBytes {
		return 0, ErrTooLarge
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(body)))
	if _, err := f.writer.Write(length[:]); err != nil {
		return 0, err
	}
	f.traffic.messages.Add(1)
	_, err = f.writer.Write(body)
	return lengthBytes + len(body), err
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
	defer f.hold.Release()
	body, err := f.readMessage(int(n))
	if err != nil {
		return err
	}
	f.reading.bytes += lengthBytes + len(body)
	return errors.Wrap(proto.Unmarshal(body, m), "malformed message")
}

// pieceBytes is the size of the pieces in which a larger message is read. The first of them is beside the budget, so that a message which is only announced takes nothing of it.
const pieceBytes = 16 << 10

// readTimeout bounds how long a peer may send nothing in the middle of a message.
const readTimeout = 10 * time.Second

// ErrNoMemory is returned for a message while too much of others is being read.
var ErrNoMemory = errors.New("no memory for the message")

// readMessage reads a message of a size. It takes memory as the message arrives, in pieces: a buffer that grows
// would leave as much for the collector as it holds.
func (f *framer) readMessage(size int) ([]byte, error) {
	if size <= pieceBytes {
		return f.readPiece(size)
	}
	var pieces [][]byte
	for left := size; left > 0; left -= pieceBytes {
		piece, err := f.readPiece(min(left, pieceBytes))
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, piece)
	}
	return slices.Concat(pieces...), nil
}

// readPiece reads a piece of a message.
func (f *framer) readPiece(size int) ([]byte, error) {
	if !f.hold.Grow(size) {
		return nil, ErrNoMemory
	}
	piece := make([]byte, size)
	for read := 0; read < size; {
		if f.reader.Buffered() < size-read {
			if err := setReadDeadline(f.conn, time.Now().Add(readTimeout)); err != nil {
				return nil, err
			}
		}
		n, err := f.reader.Read(piece[read:])
		if read += n; err != nil && read < size {
			return nil, err
		}
	}
	return piece, setReadDeadline(f.conn, time.Time{})
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*framer
	called func() // called once the first call has arrived; nil from then on
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var header wire.RequestHeader
	c.reading.bytes = 0
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = header.GetMethod(), header.GetSequence()
	c.reading.method = r.ServiceMethod
	if c.called != nil {
		c.called()
		c.called = nil
	}
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := &wire.ResponseHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}
	return c.writePair(r.ServiceMethod, header, body)
}

func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*framer
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writePair(r.ServiceMethod, &wire.RequestHeader{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var header wire.ResponseHeader
	c.reading.bytes = 0
	if err := c.read(&header); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = header.GetMethod(), header.GetSequence(), header.GetError()
	c.reading.method = r.ServiceMethod
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c *clientCodec) Close() error { return c.conn.Close() }

// readBody reads the body of the message whose header was read; nil skips it.
func (f *framer) readBody(body any) error {
	m, ok := body.(proto.Message)
	switch {
	case body == nil:
		m = &wire.Empty{}
	case !ok:
		return errors.Errorf("%T is not a protobuf message", body)
	}
	if err := f.read(m); err != nil {
		return err
	}
	if body != nil { // the method of a skipped body may not exist
		f.traffic.observe(f.reading)
	}
	return nil
}

// writePair writes the header and the body of a message.
func (f *framer) writePair(method string, header proto.Message, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	headerBytes, err := f.write(header)
	if err != nil {
		return err
	}
	bodyBytes, err := f.write(m)
	if err != nil {
		return err
	}
	if ok { // an answer without a body may be to a method that does not exist
		f.traffic.observe(Message{method: method, sent: true, bytes: headerBytes + bodyBytes})
	}
	return f.writer.Flush()
}
