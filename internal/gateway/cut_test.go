package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// ending is how a target ends its connection.
type ending string

const (
	endsByClose ending = "close"
	endsByReset ending = "reset"
)

// resetPause is the time for sent bytes to be read before a reset discards them.
const resetPause = 5 * time.Millisecond

// cut is an answer of a target that ends after a number of bytes of its body.
type cut struct {
	framing upstream.Framing
	ending  ending
	bytes   int // of fiveEvents that are sent
}

// complete reports whether the bytes of the answer show that it is complete. It is
// independent of the gateway's reader.
func (c cut) complete() bool {
	sent := fiveEvents[:c.bytes]
	switch {
	case c.ending == endsByReset:
		return false
	case c.framing == upstream.FramedByClose:
		return strings.HasSuffix(sent, "\n\n")
	}
	return c.bytes == len(fiveEvents)
}

// wholeEvents returns the events that were sent completely.
func (c cut) wholeEvents() string {
	sent := fiveEvents[:c.bytes]
	return sent[:strings.LastIndex("\n\n"+sent, "\n\n")]
}

// events returns the number of events that were sent completely.
func (c cut) events() int { return strings.Count(c.wholeEvents(), "\n\n") }

// send answers a request and ends the connection.
func (c cut) send(conn net.Conn, request *http.Request) {
	sent := fiveEvents[:c.bytes]
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", testID, request.Header.Get(testID))
	switch c.framing {
	case upstream.FramedByLength:
		head += "Content-Length: " + strconv.Itoa(len(fiveEvents)) + "\r\n\r\n" + sent
	case upstream.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if c.bytes > 0 {
			head += fmt.Sprintf("%x\r\n%s\r\n", c.bytes, sent)
		}
		if c.bytes == len(fiveEvents) && c.ending == endsByClose {
			head += "0\r\n\r\n"
		}
	default:
		head += "\r\n" + sent
	}
	_, _ = conn.Write([]byte(head)) // a failure shows in the caller's answer
	if c.ending == endsByReset {
		time.Sleep(resetPause)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// cuts returns answers that end at every byte of a stream, by framing and ending. A reset
// after the last byte is left out where the framing ends the answer before.
func cuts() []cut {
	var out []cut
	for _, framing := range []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.FramedByClose} {
		for _, ending := range []ending{endsByClose, endsByReset} {
			for bytes := range len(fiveEvents) + 1 {
				if ending == endsByReset && framing == upstream.FramedByLength && bytes == len(fiveEvents) {
					continue
				}
				out = append(out, cut{framing, ending, bytes})
			}
		}
	}
	return out
}

// TestStreamEndingInsideEventIsNotComplete guards against a stream that its engine broke off
// being passed on as complete: one without length or chunks whose connection was closed inside
// an event was.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	c := configuration(1, route.Stream, 1, 30*time.Second)
	c.Services[0].ContinuousCopies, c.Services[0].Moves = false, false
	for _, end := range cuts() {
		t.Run(fmt.Sprintf("%s-%s-%d", end.framing, end.ending, end.bytes), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, c, newRawStandin(t, "target-0", end.send))
			got := r.send(t, http.MethodPost, "/r/x", "", nil)
			if end.bytes > 0 {
				require.Equal(t, end.complete(), got.err == nil, "error: %v, body: %q", got.err, got.body)
			} else {
				require.Error(t, got.err, "a stream without an event must not look complete")
			}
			if end.ending == endsByClose {
				require.Equal(t, end.wholeEvents(), got.body)
			} else {
				require.True(t, strings.HasPrefix(end.wholeEvents(), got.body), "body: %q", got.body)
			}
		})
	}
}

// TestStreamEndingInsideEventIsResumed guards against a run whose engine broke off its stream
// not being resumed from its copy, and against a part of an event reaching the caller before.
func TestStreamEndingInsideEventIsResumed(t *testing.T) {
	for _, end := range cuts() {
		if end.framing != upstream.FramedByClose || end.ending != endsByClose || end.events() == 0 || end.complete() {
			continue
		}
		t.Run(strconv.Itoa(end.bytes), func(t *testing.T) {
			t.Parallel()
			holder := newStandin(t, "target-1", "stream:")
			r := newRig(t, configuration(1, route.Stream, 1, 30*time.Second), newRawStandin(t, "target-0", end.send), holder)
			got := r.send(t, http.MethodPost, "/r/x", "", nil)
			require.NoError(t, got.err)
			require.Equal(t, fiveEvents, got.body)
			require.Equal(t, strconv.Itoa(end.events()), holder.firstHeader().Get(testAfter))
		})
	}
}

// TestCutAnswerToOldCaller guards against an answer that was cut off looking complete to a
// caller of HTTP/1.0, which has no chunks: for such a caller the end of the connection is the
// end of the answer, unless the connection is reset.
func TestCutAnswerToOldCaller(t *testing.T) {
	c := configuration(1, route.Stream, 1, 30*time.Second)
	c.Services[0].ContinuousCopies, c.Services[0].Moves = false, false
	for _, end := range []cut{
		{upstream.FramedByChunks, endsByClose, len(fiveEvents)},
		{upstream.FramedByChunks, endsByClose, len(fiveEvents) / 2},
		{upstream.FramedByClose, endsByClose, len(fiveEvents) / 2},
	} {
		t.Run(fmt.Sprintf("%s-%d", end.framing, end.bytes), func(t *testing.T) {
			r := newRig(t, c, newRawStandin(t, "target-0", end.send))
			conn := dial(t, r)
			_, err := io.WriteString(conn, "POST /r/x HTTP/1.0\r\nHost: example.test\r\nTest-Id: request-1\r\nTest-Key: key\r\nTest-Longest: 1000\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			_, err = io.ReadAll(conn)
			require.Equal(t, end.complete(), err == nil, "error: %v", err)
		})
	}
}
