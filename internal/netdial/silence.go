package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceLimit is how long the peer of a connection may be silent. Linux takes the timeout also as the
// bound of unanswered keep-alive probes; other stacks count the probes.
type silenceLimit struct {
	timeout    time.Duration
	probeCount int
}

var (
	idleSilence = silenceLimit{timeout: userTimeout, probeCount: probeCount}
	// callSilence is longer than calls take. A peer may be silent and go on, so only the call's own
	// deadline bounds the wait. Keep-alive probes are still sent: a peer that has restarted answers them
	// with a reset. The number of probes is the largest that Linux takes.
	callSilence = silenceLimit{timeout: 24 * time.Hour, probeCount: 127}
)

var callKeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: callSilence.probeCount}

// Dialer opens connections that fail as those of Dial do.
type Dialer struct {
	// ForCall is set for a connection that TolerateSilence applies to from the start.
	ForCall bool
	// ReceiveBuffer bounds the bytes of unread data as LimitReceiveBuffer does, but from the start; 0 for the
	// kernel's own bound. A window that is offered once is not withdrawn.
	ReceiveBuffer int
}

// DialContext connects to the address.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	silence, probes := idleSilence, keepAlive
	if d.ForCall {
		silence, probes = callSilence, callKeepAlive
	}
	limit := limitSilence(silence)
	base := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes, Control: func(network, address string, c syscall.RawConn) error {
		if err := limit(network, address, c); err != nil {
			return err
		}
		return d.limitReceiveBuffer(c)
	}}
	return base.DialContext(ctx, network, address)
}

func (d Dialer) limitReceiveBuffer(c syscall.RawConn) error {
	if d.ReceiveBuffer == 0 {
		return nil
	}
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, d.ReceiveBuffer)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// TolerateSilence prepares a connection for a call: whatever it takes, silence of the peer does not end
// the connection. The caller must close it when the call's time is up.
func TolerateSilence(c net.Conn) error { return setSilence(c, callSilence) }

// BoundSilence makes the connection fail as one of Dial does if the peer becomes unresponsive. A new
// connection in place of an idle one costs little, and no call is sent over one without a peer.
func BoundSilence(c net.Conn) error { return setSilence(c, idleSilence) }

// setSilence sets how long the peer of an open connection may be silent. Other than TCP connections
// have no such bound.
func setSilence(c net.Conn, limit silenceLimit) error {
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

// limitSilence returns a net.Dialer's Control that sets how long the peer may be silent.
func limitSilence(limit silenceLimit) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.timeout.Milliseconds()))
			if sockoptErr == nil {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, limit.probeCount)
			}
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
