package netdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdleAndOpen reports whether an unused connection is open and has nothing to read: neither bytes
// nor the end that its peer has sent. Other than TCP connections count as idle.
func IsIdleAndOpen(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var peek [1]byte
	err = rc.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && empty
}
