package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"foxhall/internal/routing"
)

// callerListener accepts callers' connections under the operators' limits in
// force. net/http takes its limits once, at its start; operators change theirs
// while callers are connected, so they are put in force where it sets its
// deadlines.
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
	// serving says that a call's head is read and its answer not yet written.
	// Deadlines are the handler's own then.
	serving atomic.Bool
}

// noteState follows the connection's state, as an http.Server tells it.
func trackConnState(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.serving.Store(s == http.StateActive)
	}
}

// SetReadDeadline implements net.Conn. Between calls the server sets two
// deadlines: one for the time until the next call begins, and a much shorter
// one for the call's head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.serving.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	limits, limit := c.limits(), time.Duration(0)
	if time.Until(t) > headerTimeout {
		limit = limits.IdleTimeout
	} else {
		limit = limits.HeaderTimeout
	}
	if sooner := time.Now().Add(limit); limit > 0 && sooner.Before(t) {
		t = sooner
	}
	return c.Conn.SetReadDeadline(t)
}
