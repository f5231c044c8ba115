package bodyread_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/bodyread"
)

// deadlineWriter is a response writer with read deadlines, which a recorder has not.
type deadlineWriter struct{ *httptest.ResponseRecorder }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }

// FuzzRead checks that a body is read as net/http alone reads it, or is refused for its size, and that no memory is
// held afterwards.
func FuzzRead(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbody"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n1;x=y\r\n.\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody"))
	f.Add(append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"), make([]byte, 20000)...))
	f.Add(append([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n13880\r\n"), make([]byte, 80000)...))
	const limit = 100_000
	f.Fuzz(func(t *testing.T, data []byte) {
		read := func() (*http.Request, error) { return http.ReadRequest(bufio.NewReader(bytes.NewReader(data))) }
		r, err := read()
		if err != nil {
			return
		}
		plain, err := read()
		require.NoError(t, err)
		want, wantErr := io.ReadAll(plain.Body)
		pool := bodyread.NewPool(bodyread.WithMemory(limit))
		body, err := pool.Read(deadlineWriter{httptest.NewRecorder()}, r, limit, time.Minute)
		switch {
		case plain.ContentLength > limit || len(want) > limit:
			require.Error(t, err)
		case wantErr != nil:
			require.Error(t, err)
		default:
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, body.Bytes()))
		}
		body.Release()
		require.Zero(t, pool.Used())
	})
}
