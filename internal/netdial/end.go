package netdial

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE, the state after a reset. After an orderly close by the peer alone it is
// TCP_CLOSE_WAIT.
const stateClosed = 7

// ReportResets returns a connection whose reading fails after a reset instead of meeting an end. The kernel reports
// a reset once, to the read or write that comes first, and a read that comes later meets the same end as after an
// orderly close. Other than TCP connections are returned as they are.
func ReportResets(c net.Conn) net.Conn {
	if _, ok := c.(syscall.Conn); !ok {
		return c
	}
	return &resetReportingConn{Conn: c}
}

type resetReportingConn struct{ net.Conn }

// Read implements net.Conn.
func (c *resetReportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !endedInOrder(c.Conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// endedInOrder reports whether a connection whose reading met its end was closed in order by its peer. One whose
// state the kernel doesn't tell counts as closed in order.
func endedInOrder(c net.Conn) bool {
	rc, err := c.(syscall.Conn).SyscallConn()
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
