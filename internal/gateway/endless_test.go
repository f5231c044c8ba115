package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

const (
	// maxTaken bounds the bytes that a target without end may get rid of: a bound of the
	// gateway and what both kernels buffer.
	maxTaken = 16 << 20
	// writeBytes is how much such a target writes at a time.
	writeBytes = 32 << 10
)

// endless is an answer that never ends: what comes first, and what comes again and again.
type endless struct {
	first string
	again []byte
}

// write writes the answer until the connection is closed, and returns how many bytes after first were taken.
func (e endless) write(conn net.Conn) int64 {
	bytes := int64(0)
	_, err := conn.Write([]byte(e.first))
	for err == nil {
		var n int
		n, err = conn.Write(e.again)
		bytes += int64(n)
	}
	return bytes
}

// endlessHeads returns heads without end, by what does not end.
func endlessHeads() map[string]endless {
	line := strings.Repeat("x", writeBytes)
	return map[string]endless{
		"one line":        {"HTTP/1.1 200 OK\r\nLong: ", []byte(line)},
		"many lines":      {"HTTP/1.1 200 OK\r\n", []byte(strings.Repeat("Name: value\r\n", writeBytes/13))},
		"a status line":   {"HTTP/1.1 200 ", []byte(line)},
		"no head at all":  {"", []byte(line)},
		"interim answers": {"", []byte(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", writeBytes/22))},
	}
}

// endlessStreamParts returns streams with a part without end which has to be read whole, by what does not end.
func endlessStreamParts() map[string]endless {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	line := strings.Repeat("x", writeBytes)
	return map[string]endless{
		"an event":                 {head + chunk("id: 1\ndata: "), []byte(chunk(line))},
		"an event of many lines":   {head + chunk("id: 1\n"), []byte(chunk(strings.Repeat("data: x\n", writeBytes/8)))},
		"a comment":                {head + chunk(":"), []byte(chunk(line))},
		"an extension of a chunk":  {head + "5;", []byte(line)},
		"a trailer":                {head + chunk("id: 1\ndata: x\n\n") + "0\r\nTrailer: ", []byte(line)},
		"a refusal":                {"HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", []byte(chunk(line))},
		"an answer to another one": {"HTTP/1.1 200 X\r\n" + testID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", []byte(chunk(line))},
	}
}

// TestHeadWithoutEnd guards against a target whose head never ends, which a gateway kept in memory
// until the request's deadline.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, taken := newEndlessStandin(t, c)
			r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
			got := r.send(t, http.MethodPost, "/r/x", "", nil)
			require.Equal(t, http.StatusBadGateway, got.status, "it may have run, and its time has not passed")
			require.LessOrEqual(t, <-taken, int64(maxTaken))
		})
	}
}

// TestStreamPartWithoutEnd guards against a target that never ends a part of a stream which has to be
// read whole: the gateway must not keep it in memory until the request's deadline.
func TestStreamPartWithoutEnd(t *testing.T) {
	for name, c := range endlessStreamParts() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, taken := newEndlessStandin(t, c)
			config := configuration(1, route.Stream, 1, time.Minute)
			config.Services[0].ContinuousCopies, config.Services[0].Moves = false, false
			r := newRig(t, config, target)
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: "60000"})
			require.True(t, got.err != nil || got.status >= http.StatusInternalServerError, "it is not complete")
			require.LessOrEqual(t, <-taken, int64(maxTaken))
		})
	}
}

// newEndlessStandin returns a target with an answer that never ends, and a channel that receives how many
// bytes it got rid of after the first ones.
func newEndlessStandin(t *testing.T, answer endless) (*standin, <-chan int64) {
	t.Helper()
	taken := make(chan int64, 1)
	return newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) { taken <- answer.write(conn) }), taken
}

// TestBytesAfterAnswer guards against an idle connection on which its target goes on writing after a
// complete answer: the bytes lie in this instance's memory as long as the target keeps it open.
func TestBytesAfterAnswer(t *testing.T) {
	closed := make(chan struct{})
	target := newRawStandin(t, "target-0", func(conn net.Conn, _ *http.Request) {
		defer close(closed)
		_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n" + testKeep + ": 3600\r\nContent-Length: 2\r\n\r\nok"))
		time.Sleep(50 * time.Millisecond) // until the connection is idle
		for err == nil {
			_, err = conn.Write(make([]byte, writeBytes))
		}
	})
	r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
	require.Equal(t, "ok", r.send(t, http.MethodPost, "/r/x", "", nil).body)
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection is still open")
	}
}
