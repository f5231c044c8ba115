package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
	"github.com/vanillaward/vanillaward/internal/upstream"
)

// TestHeadCutAtEveryByte guards against an answer whose head is cut off being passed on as a whole one, with an
// empty or short body.
func TestHeadCutAtEveryByte(t *testing.T) {
	heads := map[upstream.Framing]string{
		upstream.FramedByLength: "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 300\r\nOther: 1\r\n\r\n",
		upstream.FramedByChunks: "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\nOther: 1\r\n\r\n",
		upstream.FramedByClose:  "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nOther: 1\r\n\r\n",
	}
	for _, kind := range []route.Kind{route.Once, route.Idempotent, route.Stream} {
		for framing, format := range heads {
			for _, ends := range []ending{endsByClose, endsByReset} {
				t.Run(fmt.Sprintf("%v/%s/%s", kind, framing, ends), func(t *testing.T) {
					t.Parallel()
					var bytes atomic.Int64 // that are sent
					target := newRawStandin(t, "target-0", func(conn net.Conn, request *http.Request) {
						head := fmt.Sprintf(format, testID, request.Header.Get(testID))
						_, _ = conn.Write([]byte(head[:bytes.Load()])) // a failure shows in the caller's answer
						if ends == endsByReset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					r := newRig(t, configuration(1, kind, 1, handoverTimeout), target)
					whole := len(fmt.Sprintf(format, testID, "request-1"))
					for n := range whole {
						bytes.Store(int64(n))
						got := r.send(t, http.MethodPost, "/r/x", "", nil)
						require.True(t, got.status == http.StatusBadGateway || got.err != nil, "after %d of %d bytes: status %d, body %q, error %v", n, whole, got.status, got.body, got.err)
					}
				})
			}
		}
	}
}
