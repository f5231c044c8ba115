package upstream

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// IsConnectionEnd reports whether an error is the end of a connection, by which the end of the process
// at its other side is seen.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
