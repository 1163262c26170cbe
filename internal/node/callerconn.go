package node

import (
	"container/list"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
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
	// stopping is set by stop, and closed once no further connection will be accepted. drains counts how
	// often in a row the stopping listener has waited for one more, and drainTotal how often in all; only Accept
	// uses them.
	stopping, closed   atomic.Bool
	drains, drainTotal int
	// drainDeadline is until when the stopping listener waits for one more connection, in Unix nanoseconds.
	drainDeadline atomic.Int64
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		c, err := l.Listener.Accept()
		if err != nil && l.acceptStopped(err, began) {
			continue
		}
		if err != nil && l.isClosed() {
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
		l.drains = 0
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
	// cutting is set once all connections are closed without regard to their callers.
	cutting atomic.Bool
	// replaced is the number of connections in all that are to be closed for newer ones.
	replaced int
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
	if len(s.all)-s.replaced >= s.limit && !s.replaceIdle() {
		s.rejected.Inc(1)
		return false
	}
	s.all[c] = struct{}{}
	return true
}

// maxReplaceTries bounds the idle connections that are looked at to make room for a new one.
const maxReplaceTries = 16

// replaceIdle closes the connection that has been idle for longest, unless a call has arrived on it;
// the lock is held. It returns false if it finds none.
func (s *callerConns) replaceIdle() bool {
	for e, tries := s.idle.Front(), 0; e != nil && tries < maxReplaceTries; e, tries = e.Next(), tries+1 {
		if c := e.Value.(*callerConn); c.expireIfWaiting(0) {
			s.idle.Remove(e)
			c.idleElement, c.replaced = nil, true
			s.replaced++
			return true
		}
	}
	return false
}

// setIdle records whether a connection waits for its next call.
func (s *callerConns) setIdle(c *callerConn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReplacement(c)
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

// endReplacement counts a connection again that was to be closed, and has begun a call or is closed
// by now; the lock is held.
func (s *callerConns) endReplacement(c *callerConn) {
	if c.replaced {
		c.replaced = false
		s.replaced--
	}
}

// remove removes a connection; the lock is held.
func (s *callerConns) remove(c *callerConn) {
	s.endReplacement(c)
	delete(s.all, c)
	if c.idleElement != nil {
		s.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// connPhase is what a caller's connection is in.
type connPhase uint8

const (
	// phaseWaiting: nothing of the next call was read.
	phaseWaiting connPhase = iota
	// phaseHeader: a part of the call's header was read.
	phaseHeader
	// phaseServing: the header was read, and the response is not complete.
	phaseServing
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() routing.Limits
	conns  *callerConns
	// idleElement is the connection's place among the idle ones; nil while it is not idle. replaced is
	// set while the connection is to be closed for a newer one. The lock of conns guards both.
	idleElement *list.Element
	replaced    bool
	// header measures the call's header, and hold counts it in the memory budget until the call ends.
	header headerMeter
	hold   *buffer.Hold
	held   int
	// served is set once the call was handed to the handler.
	served bool
	// announced is the idle limit of which the caller was told with the latest response.
	announced time.Duration
	// headerBegan is when the first bytes of the call's header were read.
	headerBegan time.Time
	// inHeader is set from then until the end of the header was read. mu guards it.
	inHeader bool
	// resets is set if Close resets the connection.
	resets atomic.Bool

	mu           sync.Mutex
	phase        connPhase
	waitingSince time.Time
	// deadline is the read deadline that the server has set. While expired is set, a passed one is in
	// force in its place.
	deadline time.Time
	expired  bool
	// refused is set if the rest of the call's header is not awaited.
	refused bool
	// readErr is the error of the last read; nil for none.
	readErr error
}

func newCallerConn(c net.Conn, l *callerListener) *callerConn {
	return &callerConn{Conn: c, limits: l.limits, conns: l.conns, hold: l.buffers.NewHold(), waitingSince: time.Now()}
}

// expireIfWaiting ends the wait for a call, upon which the server closes the connection. It returns
// false if the wait has not lasted for the given time, or a call has arrived, whether read or not.
func (c *callerConn) expireIfWaiting(atLeast time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseWaiting || time.Since(c.waitingSince) < atLeast || !netdial.IsIdleAndOpen(c.Conn) {
		return false
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
	return true
}

// setPhase begins a phase.
func (c *callerConn) setPhase(p connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(p)
}

// begin begins a phase; the lock is held. A call that has been read is not to be ended by the wait for it.
func (c *callerConn) begin(p connPhase) {
	c.phase = p
	if p == phaseWaiting {
		c.waitingSince = time.Now()
		return
	}
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline) // a closed connection needs no deadline
	}
}

// waiting returns since when the connection has waited for a call; false if it does not wait.
func (c *callerConn) waiting() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince, c.phase == phaseWaiting
}

// extendForArrivedCall gives a call the time to be read whose first bytes had arrived when the wait for
// it ended: a passed deadline fails a read even then. It returns false if nothing has arrived.
//
// It prevents the following failure: the process runs late, finds the limit for idle connections passed,
// and closes connections on which calls have arrived in time.
func (c *callerConn) extendForArrivedCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseWaiting || !hasUnreadBytes(c.Conn) {
		return false
	}
	c.expired = false
	return c.startHeaderTimeout() == nil
}

// startHeaderTimeout sets the deadline of the call's header in place of that of the wait for the call;
// the lock is held.
func (c *callerConn) startHeaderTimeout() error {
	c.deadline = c.limitDeadline(time.Now().Add(headerTimeout), false)
	return c.Conn.SetReadDeadline(c.deadline)
}

// recordRead records the result of a read. It returns true if the bytes belong to a call's header.
func (c *callerConn) recordRead(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
	if n == 0 || c.phase == phaseServing {
		return false
	}
	if c.phase == phaseWaiting {
		c.headerBegan, c.inHeader = time.Now(), true
		c.begin(phaseHeader)
		_ = c.startHeaderTimeout() // a closed connection needs no deadline
	}
	return true
}

// endHeader ends the header's time: the server's deadlines apply from now on.
func (c *callerConn) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
}

func (c *callerConn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// connKey is the key of a caller's connection in the context of its calls.
type connKey struct{}

// withConn returns the context of a connection's calls.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// idleAnnounceMargin is the time between the end of the idle time that callers are told and the closing
// of their connections. It allows for a call that is on its way.
const idleAnnounceMargin = time.Second

// announceIdleLimit tells a caller for how long it may reuse its connection. The limit holds for the
// wait that follows even if operators lower it meanwhile. The header counts in whole seconds.
//
// It prevents the following failure: a caller reuses its connection at the very time that it is closed,
// and gets neither an answer nor a refusal.
func (c *callerConn) announceIdleLimit(header http.Header) {
	c.announced = c.limits().IdleTimeout
	if seconds := int((c.announced - idleAnnounceMargin) / time.Second); seconds > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// markServed records for each call that h serves it, and announces the idle limit.
func markServed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.served = true
			c.announceIdleLimit(w.Header())
			defer c.recordAborted(time.Now())
		}
		h.ServeHTTP(w, r)
	})
}

// Read implements net.Conn. Beyond the usual size, a header counts in the memory budget of calls.
//
// It prevents the following failure: callers send large headers, or many short lines, on hundreds of
// connections, and the instance exceeds its memory before any call is read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForArrivedCall() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 && c.isRefused() {
		c.refuseHeader(p)
		return 0, io.EOF
	}
	if !c.recordRead(n, err) {
		return n, err
	}
	if c.header.bytes == 0 {
		// The server reports the new state only once the whole header was read.
		c.conns.setIdle(c, false)
	}
	c.header.add(p[:n])
	if c.header.ended {
		c.endHeader()
	}
	if more := c.header.excess() - c.held; more > 0 {
		if c.hold.Grow(buffer.Header, more) != nil {
			c.refuseHeader(p)
			return 0, io.EOF
		}
		c.held += more
	}
	return n, err
}

// SetLinger sets what Close does with bytes that are not sent, see net.TCPConn. At 0, Close resets the connection.
func (c *callerConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return nil
	}
	c.resets.Store(seconds == 0)
	return tcp.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.resets.Load() {
		return c.Conn.Close()
	}
	if hasUnreadBytes(c.Conn) {
		if since, waiting := c.waiting(); waiting {
			c.conns.ends.record(endUnread, c.RemoteAddr(), time.Since(since), c.readError())
		}
		if !c.conns.cutting.Load() {
			c.linger()
		}
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
	if s == http.StateActive {
		caller.setPhase(phaseServing)
	} else {
		caller.endCall()
	}
	if s == http.StateClosed || s == http.StateHijacked {
		caller.conns.close(caller)
		return
	}
	if s == http.StateIdle {
		caller.setPhase(phaseWaiting)
	}
	caller.conns.setIdle(caller, s == http.StateIdle)
}

// SetReadDeadline implements net.Conn. The server sets deadlines for the start of a call and, much shorter ones,
// for its header. A deadline later than headerTimeout is of the first kind. The handler's deadlines stay as they are.
//
// When the server sets those of a header, and whether it withdraws them in between, depends on its version. The
// header's time is therefore counted here, from the first byte to the last, and is not prolonged: a part of a header
// could keep its connection for the idle time, or twice the header's.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHeader && c.inHeader && (t.IsZero() || t.After(c.deadline)) {
		return nil
	}
	isIdle := time.Until(t) > headerTimeout
	if c.phase != phaseServing && !t.IsZero() {
		t = c.limitDeadline(t, isIdle)
	}
	c.deadline = t
	if c.expired && isIdle {
		return nil
	}
	c.expired = false
	return c.Conn.SetReadDeadline(t)
}

// limitDeadline applies the operators' current limits to a deadline between calls.
func (c *callerConn) limitDeadline(t time.Time, isIdle bool) time.Time {
	limits := c.limits()
	timeout := limits.HeaderTimeout
	if isIdle {
		timeout = max(limits.IdleTimeout, c.announced)
	}
	if earliest := time.Now().Add(timeout); timeout > 0 && earliest.Before(t) {
		return earliest
	}
	return t
}
