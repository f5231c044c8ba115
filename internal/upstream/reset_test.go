package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// resetUploadBytes is more than the buffers of a connection hold.
const resetUploadBytes = 64 << 20

// lateReader is a connection whose owner reads what follows the part of an answer only once the upload has failed, as
// happens by chance on a busy machine: the error of a reset goes to one call, reading or writing.
type lateReader struct {
	net.Conn
	partRead bool
	failed   chan struct{} // closed when the upload has failed
}

func (l *lateReader) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	if err != nil {
		close(l.failed)
	}
	return n, err
}

func (l *lateReader) Read(p []byte) (int, error) {
	if l.partRead {
		<-l.failed
	}
	n, err := l.Conn.Read(p)
	l.partRead = l.partRead || bytes.HasSuffix(p[:n], []byte("part"))
	return n, err
}

func dialLateReader(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lateReader{Conn: conn, failed: make(chan struct{})}, nil
}

// startUnreading starts a target that reads only the beginning of a request, answers with a body without a length, and calls
// end, while the request is still being written.
func startUnreading(t *testing.T, body string, end func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
		end(conn.(*net.TCPConn))
	}()
	return listener.Addr().String()
}

// startResetting starts a target that answers with a part of a body, and then resets the connection.
func startResetting(t *testing.T) string {
	t.Helper()
	return startUnreading(t, "part", func(conn *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // the part arrives before the reset
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
}

// upload sends a long request by a connection of a pool, and returns the answer.
func upload(t *testing.T, pool *Pool, address string) *http.Response {
	t.Helper()
	conn, err := pool.Get(context.Background(), "target", address, "")
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	body := []byte(strings.Repeat("x", resetUploadBytes))
	require.NoError(t, conn.Send(&Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body, HasBody: true}))
	response, err := conn.ReadAnswer(http.MethodPost, func(*http.Response) Ownership { return Unnamed })
	require.NoError(t, err)
	return response
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer without a length that passes for all of it,
// because the upload, which was still being written, got the error of the reset.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	response := upload(t, NewPool(10*time.Second, 1, WithDial(dialLateReader)), startResetting(t))
	defer func() { _ = response.Body.Close() }()
	requirePart(t, response.Body)
}

// requirePart requires a body of which a part can be read, and then an error.
func requirePart(t *testing.T, body io.Reader) {
	t.Helper()
	part, err := io.ReadAll(body)
	require.Equal(t, "part", string(part))
	require.Error(t, err)
}

// TestStrictAnswerResetDuringUploadIsNotWhole guards against the same where net/http sends the request.
func TestStrictAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	client := &http.Client{Transport: Strict(&http.Transport{DialContext: dialLateReader})}
	response, err := client.Post("http://"+startResetting(t), "text/plain", strings.NewReader(strings.Repeat("x", resetUploadBytes)))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	requirePart(t, response.Body)
}

// TestOrderlyEndDuringUploadIsWhole guards against an answer without a length that is lost because its target ends the
// connection in an orderly way before it has read all of the request.
func TestOrderlyEndDuringUploadIsWhole(t *testing.T) {
	address := startUnreading(t, "whole", func(conn *net.TCPConn) { _ = conn.CloseWrite() })
	response := upload(t, NewPool(10*time.Second, 1), address)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}
