package node

import (
	"net"
	"time"
)

// lateListener accepts connections whose reads begin late, as those of a process that waits for a
// processor: while the gate is shut, what arrives stays in the kernel.
type lateListener struct {
	net.Listener
	gate *gate
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), gate: l.gate}, nil
}

func (l *lateListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

type lateConn struct {
	*net.TCPConn
	gate *gate
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.gate.pass()
	return c.TCPConn.Read(p)
}
