package gateway_test

import (
	"fmt"
	"io"
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

// endless is an answer that never ends: what comes first, and what comes again and again, at once or
// after pauses.
type endless struct {
	first string
	again []byte
	pause time.Duration
}

// write writes the answer until the connection is closed, and returns how many bytes after first were taken.
func (e endless) write(conn net.Conn) int64 {
	bytes := int64(0)
	_, err := io.Copy(conn, io.LimitReader(strings.NewReader(e.first), int64(len(e.first)))) // without a copy of it all
	for err == nil {
		var n int
		n, err = conn.Write(e.again)
		bytes += int64(n)
		time.Sleep(e.pause)
	}
	return bytes
}

// endlessHeads returns heads without end, by what does not end.
func endlessHeads() map[string]endless {
	line := strings.Repeat("x", writeBytes)
	return map[string]endless{
		"one line":        {first: "HTTP/1.1 200 OK\r\nLong: ", again: []byte(line)},
		"many lines":      {first: "HTTP/1.1 200 OK\r\n", again: []byte(strings.Repeat("Name: value\r\n", writeBytes/13))},
		"a status line":   {first: "HTTP/1.1 200 ", again: []byte(line)},
		"no head at all":  {again: []byte(line)},
		"interim answers": {again: []byte(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", writeBytes/22))},
	}
}

// endlessStreamParts returns streams with a part without end which has to be read whole, by what does not end.
func endlessStreamParts() map[string]endless {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	line := strings.Repeat("x", writeBytes)
	return map[string]endless{
		"an event":                 {first: head + chunk("id: 1\ndata: "), again: []byte(chunk(line))},
		"an event of many lines":   {first: head + chunk("id: 1\n"), again: []byte(chunk(strings.Repeat("data: x\n", writeBytes/8)))},
		"a comment":                {first: head + chunk(":"), again: []byte(chunk(line))},
		"an extension of a chunk":  {first: head + "5;", again: []byte(line)},
		"a trailer":                {first: head + chunk("id: 1\ndata: x\n\n") + "0\r\nTrailer: ", again: []byte(line)},
		"a refusal":                {first: "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", again: []byte(chunk(line))},
		"an answer to another one": {first: "HTTP/1.1 200 X\r\n" + testID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", again: []byte(chunk(line))},
	}
}

// endlessBodies returns bodies without end, by how they are framed.
func endlessBodies() map[string]endless {
	line := strings.Repeat("x", writeBytes)
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]endless{
		"chunks":              {first: ok + "Transfer-Encoding: chunked\r\n\r\n", again: []byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line))},
		"until the close":     {first: ok + "Connection: close\r\n\r\n", again: []byte(line)},
		"a length far beyond": {first: ok + "Content-Length: 99999999999\r\n\r\n", again: []byte(line)},
		"a failure":           {first: "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n", again: []byte(fmt.Sprintf("%x\r\n%s\r\n", len(line), line))},
	}
}

// slowPause is the pause of answers that go on slowly.
const slowPause = 50 * time.Millisecond

// slowBodies returns bodies that are nearly as long as what is buffered, and go on slowly.
func slowBodies() map[string]endless {
	part := strings.Repeat("x", 250<<10)
	return map[string]endless{
		"chunks": {
			first: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
			again: []byte("1\r\nx\r\n"), pause: slowPause,
		},
		"a length": {first: "HTTP/1.1 200 OK\r\nContent-Length: 260000\r\n\r\n" + part, again: []byte("x"), pause: slowPause},
	}
}

// slowHeads returns heads that are nearly as long as a head may be, and go on slowly.
func slowHeads() map[string]endless {
	const bytes = 60 << 10
	return map[string]endless{
		"one line":   {first: "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", bytes), again: []byte("x"), pause: slowPause},
		"many lines": {first: "HTTP/1.1 200 OK\r\n" + strings.Repeat("Name: value\r\n", bytes/13), again: []byte("Name: value\r\n"), pause: slowPause},
	}
}

// slowEvents returns streams with an event that is nearly as long as one may be, and goes on slowly.
func slowEvents() map[string]endless {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n"
	const bytes = 1000 << 10
	return map[string]endless{
		"one line":   {first: head + "data: " + strings.Repeat("x", bytes), again: []byte("x"), pause: slowPause},
		"many lines": {first: head + strings.Repeat("data: x\n", bytes/8), again: []byte("data: x\n"), pause: slowPause},
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
