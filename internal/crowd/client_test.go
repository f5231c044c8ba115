package crowd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
)

const (
	// pieceBytes is the size of the pieces in which a body is sent piece by piece.
	pieceBytes = 4 << 10
	// largeChunkBytes and smallChunkBytes are the sizes of the chunks of chunked bodies.
	largeChunkBytes = 256 << 10
	smallChunkBytes = 5
	// overLimitBytes is the size of the heads that are over the limit of every listener.
	overLimitBytes = 2 << 20
)

// request is what a client begins to send.
type request struct {
	line string // request line and the headers that all requests have
	body int    // size of the body in bytes
}

// kind is one way in which uncontrolled clients use a connection.
type kind struct {
	name string
	head bool // sends nothing but the head of a request
	send func(ctx context.Context, w io.Writer, r request) error
}

// kinds are the clients that terminated a process in a trial.
var kinds = []kind{
	{"heads over the limit", true, sendHeadOverLimit},
	{"heads without end", true, sendEndlessHead},
	{"empty lines without end", true, sendEndlessLines},
	{"bodies at once", false, sendBodyAtOnce},
	{"bodies piece by piece", false, sendBodyInPieces},
	{"large chunks", false, func(ctx context.Context, w io.Writer, r request) error { return sendChunks(ctx, w, r, largeChunkBytes) }},
	{"small chunks", false, func(ctx context.Context, w io.Writer, r request) error { return sendChunks(ctx, w, r, smallChunkBytes) }},
}

// messages is the kind of clients that announce messages of the system's own processes, and stop before their end.
var messages = kind{"messages", false, sendMessage}

// sendMessage sends a message with its stated size, all but its last byte.
func sendMessage(_ context.Context, w io.Writer, r request) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(r.body)), body(r.body-1)...))
	return err
}

// sendHeadOverLimit sends a complete head that is larger than any listener accepts.
func sendHeadOverLimit(_ context.Context, w io.Writer, r request) error {
	_, err := fmt.Fprintf(w, "%sLarge: %s\r\n\r\n", r.line, strings.Repeat("x", overLimitBytes))
	return err
}

// sendEndlessHead sends header lines until the connection is closed.
func sendEndlessHead(ctx context.Context, w io.Writer, r request) error {
	if _, err := io.WriteString(w, r.line); err != nil {
		return err
	}
	return repeat(ctx, w, strings.Repeat("Field: value\r\n", pieceBytes/16))
}

// sendEndlessLines sends empty lines, as they may precede a request, until the connection is closed.
func sendEndlessLines(ctx context.Context, w io.Writer, _ request) error {
	return repeat(ctx, w, strings.Repeat("\r\n", pieceBytes/2))
}

func repeat(ctx context.Context, w io.Writer, text string) error {
	for ctx.Err() == nil {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendBodyAtOnce sends a body with a stated length, all but its last byte.
func sendBodyAtOnce(_ context.Context, w io.Writer, r request) error {
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", r.line, r.body, body(r.body-1))
	return err
}

// sendBodyInPieces is like sendBodyAtOnce in many writes.
func sendBodyInPieces(_ context.Context, w io.Writer, r request) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", r.line, r.body); err != nil {
		return err
	}
	piece := body(pieceBytes)
	for left := r.body - 1; left > 0; left -= len(piece) {
		if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks sends a body in chunks of a size, all but its last chunk.
func sendChunks(_ context.Context, w io.Writer, r request, size int) error {
	if _, err := fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", r.line); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, body(size))
	perWrite := max(1, pieceBytes/len(chunk))
	chunks := bytes.Repeat(chunk, perWrite)
	for left := (r.body - 1) / size; left > 0; left -= perWrite {
		if _, err := w.Write(chunks[:min(left, perWrite)*len(chunk)]); err != nil {
			return err
		}
	}
	return nil
}

func body(size int) []byte { return bytes.Repeat([]byte{'x'}, size) }

// play plays a client: it sends, and then holds its connection until the process closes it or the context
// ends. It reads nothing while it sends, as a client that does not expect an answer yet.
func play(ctx context.Context, address string, k kind, r request) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the process refuses the connection, as it may
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the client
	defer stop()
	defer func() { _ = conn.Close() }() // may be closed already
	if k.send(ctx, conn, r) != nil {
		return // the process has closed the connection, as it may
	}
	_, _ = io.Copy(io.Discard, conn) // returns once the process has closed the connection
}
