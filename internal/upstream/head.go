package upstream

import (
	"bytes"
	"net"

	"github.com/pkg/errors"
)

// MaxHeadBytes bounds the heads that precede the body of one answer, interim answers included, in
// bytes. It holds for every connection to a target or another outside system.
const MaxHeadBytes = 64 << 10

// maxHeadLines bounds the lines of the same heads: as headers, short lines need many times their bytes.
const maxHeadLines = 500

// ErrHeadTooLong means that the heads of an answer exceed MaxHeadBytes or have too many lines.
var ErrHeadTooLong = errors.Errorf("head of the answer has more than %d bytes or %d lines", MaxHeadBytes, maxHeadLines)

// boundedConn is a connection that reads no more than a number of bytes and lines while a head is read.
type boundedConn struct {
	net.Conn
	bounded bool
	left    int // bytes
	lines   int // that were read
}

// bound bounds what is read until free is called.
func (b *boundedConn) bound(bytes int) { b.bounded, b.left, b.lines = true, bytes, 0 }

func (b *boundedConn) free() { b.bounded = false }

// Read implements io.Reader.
func (b *boundedConn) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.Conn.Read(p)
	}
	// What was read before belongs to the heads, as they have not ended yet.
	if b.left <= 0 || b.lines > maxHeadLines {
		return 0, ErrHeadTooLong
	}
	n, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.lines += bytes.Count(p[:n], newline)
	return n, err
}

var newline = []byte("\n")
