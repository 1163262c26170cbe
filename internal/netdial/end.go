package netdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE, the state after a reset. After an orderly close by the peer alone it is
// TCP_CLOSE_WAIT.
const stateClosed = 7

// EndedInOrder reports whether a connection whose reading met its end was closed in order, so that all that its
// peer sent has arrived. Connections whose state the kernel doesn't tell count as closed in order.
//
// The kernel reports a reset once, to the read or write that comes first. A read that comes later meets the same
// end as after an orderly close.
func EndedInOrder(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	err = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err != nil || info.State != stateClosed
	})
	return err == nil && inOrder
}
