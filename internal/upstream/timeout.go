package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long a connection can be silent with bytes that were
// sent and not acknowledged, as behind a partition. A kernel that refuses the
// option leaves the bounds of the requests.
func setUserTimeout(conn net.Conn, after time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // the option is a help only
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}
