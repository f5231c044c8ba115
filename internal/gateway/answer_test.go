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

// TestLongAnswerThatLooksLikeARefusal guards against telling callers that a request has not run and never will,
// by the status of an answer that is too long to be buffered, when the target has not said so.
func TestLongAnswerThatLooksLikeARefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, bytes := range []int{10, 300 << 10} {
			t.Run(fmt.Sprint(status, ", ", bytes, " bytes"), func(t *testing.T) {
				t.Parallel()
				target := newRawStandin(t, "target-0", func(conn net.Conn, request *http.Request) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", status, testID, request.Header.Get(testID), bytes)
					_, _ = io.WriteString(conn, strings.Repeat("x", bytes))
				})
				r := newRig(t, configuration(1, route.Once, 1, 3*time.Second), target)
				got := r.send(t, http.MethodPost, "/r/x", "", nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
			})
		}
	}
}
