package node

import (
	"container/list"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/netdial"
	"foxhall/internal/routing"
)

// callerListener accepts callers' connections and applies the operators' current limits to them.
// net/http reads its limits once, at the start, but operators change theirs while callers are
// connected. The limits are therefore applied where net/http sets deadlines.
type callerListener struct {
	net.Listener
	limits  func() routing.Limits
	conns   *callerConns
	buffers *buffer.Budget
	// stopping is set by stop, and closed once no further connection will be accepted. drains counts
	// how often the stopping listener has waited for one more; only Accept uses it.
	stopping, closed atomic.Bool
	drains           int
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		c, err := l.Listener.Accept()
		if err != nil && l.acceptStopped(err, time.Since(began)) {
			continue
		}
		if err != nil {
			return nil, err
		}
		netdial.LimitReceiveBuffer(c, callerReceiveBuffer)
		caller := newCallerConn(c, l)
		if l.conns.open(caller) {
			return caller, nil
		}
		c.Close()
	}
}

const (
	// callerConnBytes is the memory that a caller's connection takes without a call: its goroutine
	// and the server's buffers.
	callerConnBytes = 24 << 10
	// callerConnShare is the part of the instance's memory that callers' connections may take.
	callerConnShare = 0.25
	// callerReceiveBuffer bounds the bytes of a caller's connection that wait in the kernel while its call
	// is served. Over a round trip of 5 ms it still allows 13 MB/s.
	callerReceiveBuffer = 64 << 10
	// minCallerConns is the least number of connections allowed.
	minCallerConns = 64
)

// callerConns bounds the number of callers' connections by the instance's memory. At the bound, a
// new connection replaces the one that has been idle for longest, and is closed if none is idle.
//
// It prevents the following failure: callers open thousands of connections, and the instance exceeds
// its memory without serving a call.
type callerConns struct {
	limit    int
	rejected metrics.Counter
	ends     *callEnds

	mu   sync.Mutex
	all  map[*callerConn]struct{}
	idle *list.List
}

func newCallerConns(memory int64, logger log.Interface, registry metrics.Registry) *callerConns {
	limit := max(minCallerConns, int(callerConnShare*float64(memory)/callerConnBytes))
	if memory == 0 {
		limit = math.MaxInt
	}
	return &callerConns{
		limit:    limit,
		rejected: metrics.GetOrRegisterCounter("callers.connections.rejected", registry),
		ends:     newCallEnds(logger, registry),
		all:      map[*callerConn]struct{}{}, idle: list.New(),
	}
}

// open adds a connection. It returns false if there is no room for it.
func (s *callerConns) open(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) >= s.limit {
		oldest := s.idle.Front()
		if oldest == nil {
			s.rejected.Inc(1)
			return false
		}
		replaced := oldest.Value.(*callerConn)
		s.remove(replaced)
		replaced.expire()
	}
	s.all[c] = struct{}{}
	return true
}

// setIdle records whether a connection waits for its next call.
func (s *callerConns) setIdle(c *callerConn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.all[c]; !open || idle == (c.idleElement != nil) {
		return
	}
	if idle {
		c.idleElement = s.idle.PushBack(c)
		return
	}
	s.idle.Remove(c.idleElement)
	c.idleElement = nil
}

func (s *callerConns) close(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// remove removes a connection; the lock is held.
func (s *callerConns) remove(c *callerConn) {
	delete(s.all, c)
	if c.idleElement != nil {
		s.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() routing.Limits
	conns  *callerConns
	// idleElement is the connection's place among the idle ones; nil while it is not idle. The lock
	// of conns guards it.
	idleElement *list.Element
	// serving is true from the end of a call's header until its response is written. In that time,
	// deadlines are set by the handler and stay as they are.
	serving atomic.Bool
	// header measures the call's header, and hold counts it in the memory budget until the call ends.
	header headerMeter
	hold   *buffer.Hold
	held   int
	// served is set once the call was handed to the handler.
	served bool
	// waitingSince is when the connection began to wait for a call, in Unix nanoseconds; 0 once a part
	// of the call has arrived.
	waitingSince atomic.Int64
	// headerBegan is when the first bytes of the call's header were read.
	headerBegan time.Time

	mu sync.Mutex
	// readErr is the error of the last read; nil for none.
	readErr error
}

func newCallerConn(c net.Conn, l *callerListener) *callerConn {
	caller := &callerConn{Conn: c, limits: l.limits, conns: l.conns, hold: l.buffers.NewHold()}
	caller.waitingSince.Store(time.Now().UnixNano())
	return caller
}

// closeIfWaiting closes the connection if it has waited for a call for some time. A call that has
// arrived keeps it open, whether it has been read or not.
func (c *callerConn) closeIfWaiting(atLeast time.Duration) {
	since := c.waitingSince.Load()
	if since != 0 && time.Since(time.Unix(0, since)) >= atLeast && netdial.IsIdleAndOpen(c.Conn) {
		c.expire()
	}
}

// expire ends the wait for a call. The server then closes the connection, unless it has read a part
// of a call by then: it sets the deadline anew for the rest.
func (c *callerConn) expire() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// connKey is the key of a caller's connection in the context of its calls.
type connKey struct{}

// withConn returns the context of a connection's calls.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markServed records for each call that h serves it.
func markServed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.served = true
			defer c.recordAborted(time.Now())
		}
		h.ServeHTTP(w, r)
	})
}

const (
	// headerRefusal is sent when a call's header finds no room in the memory budget. The call has not
	// run, and a call of usual size ends within the time to return.
	headerRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
	// headerRefusalTimeout bounds the sending of the refusal; it fits into the socket's buffer.
	headerRefusalTimeout = 100 * time.Millisecond
)

// Read implements net.Conn. Beyond the usual size, a header counts in the memory budget of calls.
//
// It prevents the following failure: callers send large headers, or many short lines, on hundreds of
// connections, and the instance exceeds its memory before any call is read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.setReadError(err)
	if n == 0 || c.serving.Load() {
		return n, err
	}
	c.waitingSince.Store(0)
	if c.header.bytes == 0 {
		c.headerBegan = time.Now()
	}
	c.header.add(p[:n])
	if more := c.header.excess() - c.held; more > 0 {
		if c.hold.Grow(buffer.Header, more) != nil {
			_ = c.SetWriteDeadline(time.Now().Add(headerRefusalTimeout))
			_, _ = io.WriteString(c.Conn, headerRefusal) // a caller that is gone gets none
			return 0, io.EOF
		}
		c.held += more
	}
	return n, err
}

func (c *callerConn) setReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
}

func (c *callerConn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if since := c.waitingSince.Load(); since != 0 && hasUnreadBytes(c.Conn) {
		c.conns.ends.record(endUnread, c.RemoteAddr(), time.Since(time.Unix(0, since)), c.readError())
	}
	return c.Conn.Close()
}

// endCall gives back what the header of the connection's last call held.
func (c *callerConn) endCall() {
	err := c.readError()
	switch {
	case c.header.ended && !c.served:
		c.conns.ends.record(endUnserved, c.RemoteAddr(), time.Since(c.headerBegan), err)
	case c.header.bytes > 0 && !c.header.ended && errors.Is(err, os.ErrDeadlineExceeded):
		c.conns.ends.record(endHeaderTimeout, c.RemoteAddr(), time.Since(c.headerBegan), err)
	}
	c.hold.Release()
	c.header, c.held, c.served = headerMeter{}, 0, false
}

// trackConnState records the state that http.Server reports for a connection.
func trackConnState(c net.Conn, s http.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	caller.serving.Store(s == http.StateActive)
	if s != http.StateActive {
		caller.endCall()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		caller.conns.close(caller)
		return
	}
	if s == http.StateIdle {
		caller.waitingSince.Store(time.Now().UnixNano())
	}
	caller.conns.setIdle(caller, s == http.StateIdle)
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
