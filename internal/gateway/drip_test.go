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

// drip writes a stream whose events are sound and slow up to a number, and after that only bytes of an
// event that never ends, until the gateway closes the connection.
func drip(conn net.Conn, id string, events int) {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n", testID, id)
	for i := 1; err == nil && i <= events; i++ {
		for _, part := range []string{fmt.Sprintf("id: %d\n", i), "data: ", "x", "\n\n"} {
			time.Sleep(30 * time.Millisecond)
			_, err = conn.Write([]byte(part))
		}
	}
	for err == nil && events < dripEvents {
		time.Sleep(30 * time.Millisecond)
		_, err = conn.Write([]byte("x"))
	}
}

const dripEvents = 5

// TestDrippingStreams guards against slow but sound streams that are cut, and against stalled ones that go
// on for ever because a byte comes now and then: these end with the time of their request, and do not
// look complete.
func TestDrippingStreams(t *testing.T) {
	for events := range dripEvents + 1 {
		t.Run(fmt.Sprint(events), func(t *testing.T) {
			t.Parallel()
			target := newRawStandin(t, "target-0", func(conn net.Conn, r *http.Request) { drip(conn, r.Header.Get(testID), events) })
			config := configuration(1, route.Stream, 1, time.Minute)
			config.Services[0].ContinuousCopies, config.Services[0].Moves = false, false
			r := newRig(t, config, target)
			budget := "2000"
			if events == dripEvents {
				budget = "60000"
			}
			got := r.send(t, http.MethodPost, "/r/x", "", map[string]string{testBudget: budget})
			if events == dripEvents {
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				return
			}
			require.True(t, got.err != nil || got.status >= http.StatusInternalServerError, "%d %q", got.status, got.body)
		})
	}
}
