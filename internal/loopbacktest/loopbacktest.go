// Package loopbacktest assigns loopback networks to tests that listen at addresses and ports of their own
// choice, so that no two of them share an address.
package loopbacktest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// subnets is the number of values of the second and of the third octet that are used.
	subnets = 250
	// networkStep is the distance between the networks with which two successive process IDs begin.
	networkStep = 131
	// reservation is the last octet and the port at which a network's reservation listens. Tests
	// must not use this octet.
	reservation = "254:47113"
)

// reserved is the number of networks that this process has reserved.
var reserved atomic.Int64

// Reserve returns a network, as the first three octets with a final dot, which no other test of any
// process uses until t has ended.
func Reserve(t testing.TB) string {
	t.Helper()
	first := os.Getpid()*networkStep + int(reserved.Add(1))
	prefix, listener, err := reserve(first)
	if err != nil {
		t.Fatalf("reserve a loopback network: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test has ended
	return prefix
}

// reserve reserves the first network that is free, from a number on. The listener holds the reservation.
func reserve(first int) (string, net.Listener, error) {
	for i := range subnets * subnets {
		number := (first + i) % (subnets * subnets)
		prefix := fmt.Sprintf("127.%d.%d.", 1+number/subnets, 1+number%subnets)
		listener, err := net.Listen("tcp", prefix+reservation)
		switch {
		case err == nil:
			return prefix, listener, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return "", nil, err
		}
	}
	return "", nil, errors.New("all networks are in use")
}
