package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

// TestLongAnswerThatIsNotRead guards against a caller that reads nothing of a long answer and keeps its buffers, its
// connection and that to the target until the time of its route has passed.
func TestLongAnswerThatIsNotRead(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	target := newRawStandin(t, "long", func(conn net.Conn, request *http.Request) {
		defer close(ended)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", testID, request.Header.Get(testID), 1<<30)
		for piece := make([]byte, 64<<10); err == nil; {
			_, err = conn.Write(piece)
		}
	})
	const routeTime = 10 * time.Minute // the test ends long before
	r := newRig(t, configuration(1, route.Idempotent, 1, routeTime), target)
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /r/public/x HTTP/1.1\r\nHost: %s\r\n%s: unread\r\n\r\n", testHost, testID)
	require.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Error("the gateway goes on with an answer that its caller does not read")
	}
}
