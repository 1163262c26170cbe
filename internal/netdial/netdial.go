// Package netdial opens and accepts TCP connections that notice a peer that
// has gone silent.
package netdial

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one try to connect: a few times the way between data
	// centres, and below the second that callers give a connection.
	dialTimeout = 700 * time.Millisecond
	// silence is how long sent bytes or probes may stay unacknowledged. A
	// partition or a machine without power answers nothing, and without this
	// bound a call hangs until its own deadline. It leaves room for two
	// retransmissions, of 200 and 400 ms, so that single lost packets pass.
	userTimeout = 900 * time.Millisecond
	// probeInterval is the time between keep-alive probes on an idle connection.
	probeInterval = time.Second
	probeCount    = 1
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

var dialer = net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}

// Dial connects to the address.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// Listen accepts connections at the address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// Silent reports that a connection failed since the other side no longer
// answers at all: it has no power, or the way to it is cut.
func Unresponsive(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EHOSTUNREACH)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
