package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports that an idle connection is open and has nothing to read. Bytes
// that wait there belong to no call, and an end of file says that the other
// side has closed: a call sent then would be lost.
func isIdleAndOpen(c net.Conn) bool {
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
