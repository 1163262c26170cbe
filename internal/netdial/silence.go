package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callSilence takes the place of userTimeout during a call: it is longer than calls take. A peer may be
// silent and go on, so only the call's own deadline bounds the wait. Keep-alive probes are still sent:
// a peer that has restarted answers them with a reset.
const callSilence = 24 * time.Hour

var callDialer = net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitSilence(callSilence)}

// DialForCall is Dial for a connection that TolerateSilence applies to from the start.
func DialForCall(ctx context.Context, network, address string) (net.Conn, error) {
	return callDialer.DialContext(ctx, network, address)
}

// TolerateSilence prepares a connection for a call: whatever it takes, silence of the peer does not end
// the connection. The caller must close it when the call's time is up.
func TolerateSilence(c net.Conn) error { return setSilence(c, callSilence) }

// BoundSilence makes the connection fail as one of Dial does if the peer becomes unresponsive. A new
// connection in place of an idle one costs little, and no call is sent over one without a peer.
func BoundSilence(c net.Conn) error { return setSilence(c, userTimeout) }

// setSilence sets how long the peer of an open connection may be silent. Other than TCP connections
// have no such bound.
func setSilence(c net.Conn, limit time.Duration) error {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return limitSilence(limit)("", "", rc)
}

// limitSilence returns a net.Dialer's Control that sets how long the peer may be silent. With
// TCP_USER_TIMEOUT set, the kernel takes it also as the bound of unanswered keep-alive probes, and
// their number doesn't count.
func limitSilence(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
