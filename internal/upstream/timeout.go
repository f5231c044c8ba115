package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged, for example during a network partition. If the kernel refuses
// the option, only the timeouts of the requests apply.
func setUserTimeout(conn net.Conn, after time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // best effort
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}
