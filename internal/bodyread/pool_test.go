package bodyread_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/bodyread"
)

const (
	limit = 1 << 20
	// timeout bounds the body of a test; only a fault exceeds it.
	timeout = time.Minute
)

// server answers each request with the size of its body.
type server struct {
	address string
	errs    chan error
}

func serve(t *testing.T, pool *bodyread.Pool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{address: listener.Addr().String(), errs: make(chan error, 1000)}
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := pool.Read(w, r, limit, timeout)
		s.errs <- err
		defer body.Release()
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body.Bytes()), " ", strings.Count(string(body.Bytes()), "x"))
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: timeout}
	go func() { _ = httpServer.Serve(listener) }() // ends with the test
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

func (s *server) post(t *testing.T, body io.Reader) string {
	t.Helper()
	response, err := http.Post("http://"+s.address, "", body) //nolint:noctx // bounded by the pool
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return fmt.Sprint(response.StatusCode, " ", string(answer))
}

// stop sends all but the last byte of a body, and returns the connection.
func (s *server) stop(t *testing.T, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	require.NoError(t, err)
	return conn
}

// TestRead reads bodies of sizes around the limits of small bodies and blocks, with and without a stated length.
func TestRead(t *testing.T) {
	pool := bodyread.NewPool()
	s := serve(t, pool)
	for _, size := range []int{0, 1, 1023, 1024, 16383, 16384, 16385, 81919, 81920, 81921, limit - 1, limit} {
		want := fmt.Sprint("200 ", size, " ", size)
		body := bytes.Repeat([]byte("x"), size)
		require.Equal(t, want, s.post(t, bytes.NewReader(body)))
		require.Equal(t, want, s.post(t, struct{ io.Reader }{bytes.NewReader(body)}), "chunked")
	}
	require.Contains(t, s.post(t, bytes.NewReader(make([]byte, limit+1))), "503")
	require.Contains(t, s.post(t, struct{ io.Reader }{bytes.NewReader(make([]byte, limit+1))}), "503")
	require.EventuallyWithT(t, func(c *assert.CollectT) { require.Zero(c, pool.Used()) }, timeout, time.Millisecond)
}

// TestStoppedSendersLoseFirst guards against a body that is refused because senders that have stopped hold all
// of the memory.
func TestStoppedSendersLoseFirst(t *testing.T) {
	pool := bodyread.NewPool(bodyread.WithMemory(2*limit), bodyread.WithStall(timeout))
	s := serve(t, pool)
	for range 2 {
		s.stop(t, limit)
	}
	require.EventuallyWithT(t, func(c *assert.CollectT) { require.EqualValues(c, 2*limit, pool.Used()) }, timeout, time.Millisecond)
	require.Equal(t, fmt.Sprint("200 ", limit, " ", limit), s.post(t, strings.NewReader(strings.Repeat("x", limit))))
}

// TestSmallBodyNeedsNoSharedMemory guards against ordinary requests that are refused while large ones hold all of
// the memory.
func TestSmallBodyNeedsNoSharedMemory(t *testing.T) {
	s := serve(t, bodyread.NewPool(bodyread.WithMemory(1)))
	require.Contains(t, s.post(t, strings.NewReader(strings.Repeat("x", 20<<10))), "503")
	require.Equal(t, "200 4 4", s.post(t, strings.NewReader("xxxx")))
}

// TestStalledSenderEnds guards against a sender that holds its memory for good.
func TestStalledSenderEnds(t *testing.T) {
	for _, size := range []int{100, limit} {
		pool := bodyread.NewPool(bodyread.WithStall(50 * time.Millisecond))
		s := serve(t, pool)
		conn := s.stop(t, size)
		require.ErrorIs(t, <-s.errs, bodyread.ErrTimeout)
		_, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Zero(t, pool.Used())
	}
}

// TestManyAtOnce guards against senders that wait for each other's memory for good: of many that share the memory
// of two, some are read whole and all end.
func TestManyAtOnce(t *testing.T) {
	pool := bodyread.NewPool(bodyread.WithMemory(2 * limit))
	s := serve(t, pool)
	var senders sync.WaitGroup
	for range 24 {
		senders.Go(func() {
			response, err := http.Post("http://"+s.address, "", bytes.NewReader(make([]byte, limit))) //nolint:noctx // bounded by the pool
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	senders.Wait()
	whole := 0
	for range 24 {
		err := <-s.errs
		if err == nil {
			whole++
		} else if !errors.Is(err, bodyread.ErrNoMemory) {
			t.Error(err)
		}
	}
	require.Positive(t, whole)
	require.EventuallyWithT(t, func(c *assert.CollectT) { require.Zero(c, pool.Used()) }, timeout, time.Millisecond)
}
