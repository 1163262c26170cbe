package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"foxhall/internal/routing"
)

// callerListener accepts callers' connections and applies the operators' current limits to them.
// net/http reads its limits once, at the start, but operators change theirs while callers are
// connected. The limits are therefore applied where net/http sets deadlines.
type callerListener struct {
	net.Listener
	limits func() routing.Limits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() routing.Limits
	// serving is true from the end of a call's header until its response is written. In that time,
	// deadlines are set by the handler and stay as they are.
	serving atomic.Bool
}

// trackConnState records the state that http.Server reports for a connection.
func trackConnState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.serving.Store(s == http.StateActive)
	}
}

// SetReadDeadline implements net.Conn. Between calls the server sets two deadlines: one for the
// start of the next call, and a much shorter one for the call's header. A deadline later than
// headerTimeout is the first kind.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.serving.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	limits, timeout := c.limits(), time.Duration(0)
	if time.Until(t) > headerTimeout {
		timeout = limits.IdleTimeout
	} else {
		timeout = limits.HeaderTimeout
	}
	if earliest := time.Now().Add(timeout); timeout > 0 && earliest.Before(t) {
		t = earliest
	}
	return c.Conn.SetReadDeadline(t)
}
