// Package netdial opens and accepts TCP connections that fail within a bounded time when the peer
// becomes unresponsive.
package netdial

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds one attempt to connect. It is a few times the round-trip time between data
	// centres, and shorter than the second that callers allow for a connection.
	dialTimeout = 700 * time.Millisecond
	// userTimeout (TCP_USER_TIMEOUT) is how long sent bytes or probes may stay unacknowledged. A peer
	// behind a network partition or without power acknowledges nothing, and without this bound a
	// call hangs until its own deadline. It allows two retransmissions, after 200 and 400 ms, so
	// that single lost packets do not break a connection.
	userTimeout = 900 * time.Millisecond
	// probeInterval is both the idle time before the first keep-alive probe and the time between
	// probes.
	probeInterval = time.Second
	probeCount    = 1
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial connects to the address. The connection fails if the peer becomes unresponsive.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return Dialer{}.DialContext(ctx, network, address)
}

// Listen listens at the TCP address. Accepted connections fail if the peer becomes unresponsive.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitSilence(idleSilence)}
	return config.Listen(ctx, "tcp", address)
}

// callerProbeCount is the number of keep-alive probes that a caller may leave unanswered. One lost packet
// must not cut a caller off that waits for its answer.
const callerProbeCount = 3

var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: callerProbeCount}

// ListenForCallers listens at the TCP address for callers, who may read slowly: unlike those of Listen,
// the accepted connections may have bytes that wait for their reader for any time. Writers set deadlines.
//
// It prevents the following failure: TCP_USER_TIMEOUT also bounds the time for which the peer's receive
// buffer is full, so that a caller that pauses is cut off in the middle of its answer.
func ListenForCallers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	return config.Listen(ctx, "tcp", address)
}

// IsUnresponsive reports whether a connection failed because the peer sends nothing at all, as after
// a power failure or behind a network partition.
func IsUnresponsive(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EHOSTUNREACH)
}

// LimitReceiveBuffer bounds the bytes that the kernel holds of a connection's unread data to a few times
// the given number. Otherwise it holds megabytes of a connection that was read fast before, which
// count as the process's memory.
func LimitReceiveBuffer(c net.Conn, bytes int) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes) // a closed connection holds nothing
	}
}
