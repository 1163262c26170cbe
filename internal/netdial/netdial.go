// Package netdial opens and accepts TCP connections that notice a peer that
// has gone silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one try to connect: a few times the way between data
	// centres, and below the second that callers give a connection.
	dialTimeout = 700 * time.Millisecond
	// silence is how long sent bytes or probes may stay unacknowledged. A
	// partition or a machine without power answers nothing, and without this
	// bound a call hangs until its own deadline.
	silence = 2 * time.Second
	// probeInterval is the time between keep-alive probes on an idle connection.
	probeInterval = time.Second
	probeCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

var dialer = net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: control}

// Dial connects to the address.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// Listen accepts connections at the address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return config.Listen(ctx, "tcp", address)
}

func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
