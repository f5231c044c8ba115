package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

const (
	// crowdBodyBytes is the size of the bodies of clients that stop before their end.
	crowdBodyBytes = 256 << 10
	// maxCrowdHold is the longest time for which such a client keeps its connection.
	maxCrowdHold = 2 * time.Second
)

// runCrowd plays a client that is not controlled at an address until the context is done: it sends a head without
// end, empty lines, or a body that stops before its end, and keeps the connection. Nothing that it sends may run.
func runCrowd(ctx context.Context, address, head string, random *rand.Rand) {
	for ctx.Err() == nil {
		pieces := []string{
			head + strings.Repeat("Field: value\r\n", 4096),
			strings.Repeat("\r\n", 4096),
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, crowdBodyBytes+1, strings.Repeat("x", crowdBodyBytes)),
			head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3\r\nxxx\r\n", crowdBodyBytes/3),
		}
		sendAndHold(ctx, address, pieces[random.IntN(len(pieces))], time.Duration(random.Int64N(int64(maxCrowdHold))))
		time.Sleep(minRequestPause)
	}
}

// sendAndHold sends a text and keeps the connection for a time at most.
func sendAndHold(ctx context.Context, address, text string, hold time.Duration) {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the process is not there, or has refused the connection
	}
	defer func() { _ = conn.Close() }() // may be closed already
	if conn.SetDeadline(time.Now().Add(hold)) != nil {
		return
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return // the process has closed the connection, as it may
	}
	select {
	case <-ctx.Done():
	case <-time.After(hold):
	}
}

// crowdHeads returns the addresses at which the crowd plays, with the beginnings of the heads that it sends there.
func (c *cluster) crowdHeads() map[string]string {
	heads := map[string]string{}
	for i := range gatewayCount {
		heads[c.processes[gatewayName(i)].ip+":"+platformtest.CallerPort] = fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", platformtest.SafePath, platformtest.Host, platformtest.Key)
	}
	for i := range controlCount {
		heads[c.operator(i)] = platformtest.ConfigHead
	}
	return heads
}
