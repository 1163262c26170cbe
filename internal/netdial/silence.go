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

var callDialer = net.Dialer{Timeout: dialTimeout, KeepAliveConfig: callKeepAlive, Control: limitSilence(callSilence)}

var callKeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: callSilence.probeCount}

// DialForCall is Dial for a connection that TolerateSilence applies to from the start.
func DialForCall(ctx context.Context, network, address string) (net.Conn, error) {
	return callDialer.DialContext(ctx, network, address)
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
