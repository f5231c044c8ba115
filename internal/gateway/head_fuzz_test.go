package gateway_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

// FuzzHead checks that a gateway answers or closes a connection whatever arrives on it, and that it answers with
// nothing but HTTP.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET /r/safe/x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte(strings.Repeat("\r\n", 10000)))
	f.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 10000)))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n"))
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRig(t, configuration(1, route.Idempotent, 1, time.Second))
		conn, err := net.Dial("tcp", r.address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		_, _ = conn.Write(data) // the gateway may have closed the connection
		_ = conn.(*net.TCPConn).CloseWrite()
		answer, err := io.ReadAll(conn)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Fatalf("the connection stays open: %v", err)
		}
		if len(answer) > 0 && !bytes.HasPrefix(answer, []byte("HTTP/1.")) {
			t.Fatalf("answer %q", answer)
		}
	})
}
