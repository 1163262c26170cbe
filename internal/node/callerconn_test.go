package node

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	_ "foxhall/internal/fuzzing" // one processor under the race detector
	"foxhall/internal/netdial"
	"foxhall/internal/routing"
)

var discardLogger = &log.Logger{Handler: discard.Default}

func unboundedBuffers() *buffer.Budget { return buffer.NewBudget(0, metrics.NewRegistry()) }

// timeUntilClosed returns the time until the server closes the caller's connection.
func timeUntilClosed(c net.Conn) time.Duration {
	began := time.Now()
	_, _ = c.Read(make([]byte, 1))
	return time.Since(began)
}

// singleConnListener accepts one connection.
type singleConnListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error {
	close(l.closed)
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// An operator shortens the idle and header timeouts while a caller is connected. Both must apply
// from the caller's next wait on, and neither may interrupt a call in flight.
func TestOperatorsLimitsHoldForOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := routing.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 2 * time.Second}
		caller, side := net.Pipe()
		l := &singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conn <- side
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState}
		go server.Serve(&callerListener{Listener: l, limits: func() routing.Limits { return limits }, conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers()})
		defer server.Close()

		_, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		synctest.Wait() // the call is in flight
		limits.IdleTimeout = 5 * time.Second
		response := make([]byte, 1024)
		n, err := caller.Read(response)
		is.NoErr(err)
		is.Equal(string(response[:12]), "HTTP/1.1 200")
		for string(response[max(0, n-4):n]) != "\r\n\r\n" {
			n, err = caller.Read(response)
			is.NoErr(err)
		}
		is.Equal(timeUntilClosed(caller), 5*time.Second)
	})
}

// Guards against a call whose header is cut before its time is up since its connection was opened a while before,
// and against callers that keep new connections for longer: without a byte for the header timeout, with a part of a
// header for as long again, however it is sent.
func TestHeaderTimeoutCountsFromTheFirstByteOnANewConnection(t *testing.T) {
	const timeout = 3 * time.Second
	for name, c := range map[string]struct {
		wait, pause time.Duration // before the first part, and between the parts
		parts       []string
		closedAfter time.Duration // the last part
		answered    bool
	}{
		"no byte":                  {closedAfter: timeout},
		"one byte":                 {wait: 1500 * time.Millisecond, parts: []string{"G"}, closedAfter: timeout},
		"one byte, then more":      {wait: 1500 * time.Millisecond, pause: 2500 * time.Millisecond, parts: []string{"G", "ET / HTTP/1.1\r\n"}, closedAfter: 500 * time.Millisecond},
		"several slow parts":       {wait: 2900 * time.Millisecond, pause: 900 * time.Millisecond, parts: []string{"G", "E", "T", " "}, closedAfter: 300 * time.Millisecond},
		"whole in time":            {wait: 1500 * time.Millisecond, pause: 2300 * time.Millisecond, parts: []string{"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"}, closedAfter: time.Minute, answered: true},
		"whole after a late start": {wait: 2900 * time.Millisecond, pause: 2900 * time.Millisecond, parts: []string{"G", "ET / HTTP/1.1\r\nHost: h\r\n\r\n"}, closedAfter: time.Minute, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, side := net.Pipe()
				l := &singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
				l.conn <- side
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState}
				limits := func() routing.Limits { return routing.Limits{HeaderTimeout: timeout, IdleTimeout: time.Minute} }
				go server.Serve(&callerListener{Listener: l, limits: limits, conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers()})
				defer server.Close()
				synctest.Wait()
				time.Sleep(c.wait)
				for i, part := range c.parts {
					if i > 0 {
						time.Sleep(c.pause)
					}
					is.NoErr(caller.SetWriteDeadline(time.Now().Add(timeout)))
					_, err := caller.Write([]byte(part))
					is.NoErr(err)
				}
				if c.answered {
					is.Equal(answer(caller), http.StatusOK)
				}
				is.Equal(timeUntilClosed(caller), c.closedAfter)
			})
		})
	}
}

// Guards against a header's time that depends on the deadlines that net/http sets meanwhile: some versions
// withdraw the deadline once the first bytes have arrived, and set a new one then.
func TestServerDoesNotProlongTheHeaderTimeout(t *testing.T) {
	for name, first := range map[string]time.Duration{"new connection": headerTimeout, "kept connection": idleTimeout} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeConn{}
			c := &callerConn{Conn: fake, conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), hold: unboundedBuffers().NewHold(),
				limits: func() routing.Limits { return routing.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute} }}
			is.NoErr(c.SetReadDeadline(time.Now().Add(first)))
			_, err := c.Read(make([]byte, 1))
			is.NoErr(err)
			deadline := fake.deadline
			is.True(time.Until(deadline) <= 2*time.Second)
			for _, later := range []time.Time{{}, time.Now().Add(headerTimeout), time.Now().Add(idleTimeout)} {
				is.NoErr(c.SetReadDeadline(later))
				is.Equal(fake.deadline, deadline)
			}
			// The end of the header ends its time.
			fake.next = "ET / HTTP/1.1\r\n\r\n"
			_, err = c.Read(make([]byte, 100))
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Time{}))
			is.True(fake.deadline.IsZero())
		})
	}
}

// A caller that sends half of a header must not occupy a connection for longer than the operators'
// header timeout.
func TestOperatorsLimitForTheHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, side := net.Pipe()
		l := &singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conn <- side
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState}
		limits := func() routing.Limits { return routing.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute} }
		go server.Serve(&callerListener{Listener: l, limits: limits, conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers()})
		defer server.Close()
		_, err := caller.Write([]byte("GET / HT"))
		is.NoErr(err)
		is.Equal(timeUntilClosed(caller), 2*time.Second)
	})
}

// Guards against callers that occupy connections with the first byte of a call for as long as with
// nothing, or for twice the header timeout, and against a call in parts that is cut by the end of the
// wait for its first byte.
func TestHeaderTimeoutCountsFromTheFirstByteOnAnIdleConnection(t *testing.T) {
	limits := routing.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: 2 * time.Second}
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		idle, pause time.Duration // before the first part, and between the parts
		parts       []string
		closedAfter time.Duration // the last part
		answered    bool
	}{
		"one byte":               {0, 0, []string{"G"}, 2 * time.Second, false},
		"one byte, then more":    {0, 1500 * time.Millisecond, []string{"G", "ET / HTTP/1.1\r\n"}, 500 * time.Millisecond, false},
		"several slow parts":     {0, 600 * time.Millisecond, []string{"G", "E", "T", " "}, 200 * time.Millisecond, false},
		"at the end of the wait": {4900 * time.Millisecond, 1500 * time.Millisecond, []string{whole[:1], whole[1:]}, 5 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, side := net.Pipe()
				l := &singleConnListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
				l.conn <- side
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState}
				go server.Serve(&callerListener{Listener: l, limits: func() routing.Limits { return limits }, conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers()})
				defer server.Close()

				is.NoErr(call(caller))
				is.Equal(answer(caller), http.StatusOK)
				synctest.Wait() // the server waits for the next call
				time.Sleep(c.idle)
				for i, part := range c.parts {
					if i > 0 {
						time.Sleep(c.pause)
					}
					_, err := caller.Write([]byte(part))
					is.NoErr(err)
				}
				if c.answered {
					is.Equal(answer(caller), http.StatusOK)
				}
				is.Equal(timeUntilClosed(caller), c.closedAfter)
			})
		})
	}
}

// Guards against an instance that exceeds its memory because callers open thousands of connections.
// Their number must be bounded: a new one replaces the one that has been idle for longest, and is
// rejected while all of them have calls.
func TestNumberOfCallersConnectionsIsBounded(t *testing.T) {
	is := is.New(t)
	conns := newCallerConns(1, discardLogger, metrics.NewRegistry())
	is.Equal(conns.limit, minCallerConns)
	var opened []*callerConn
	open := func() *callerConn {
		c := &callerConn{Conn: &fakeConn{}, conns: conns, hold: unboundedBuffers().NewHold()}
		opened = append(opened, c)
		if !conns.open(c) {
			return nil
		}
		return c
	}
	for range minCallerConns {
		is.True(open() != nil)
	}
	is.True(open() == nil)
	trackConnState(opened[5], http.StateIdle)
	trackConnState(opened[3], http.StateIdle)
	trackConnState(opened[5], http.StateActive)
	is.True(open() != nil)
	is.Equal(opened[3].Conn.(*fakeConn).expired, 1)
	is.Equal(opened[5].Conn.(*fakeConn).expired, 0)
	trackConnState(opened[3], http.StateClosed)
	is.True(open() == nil)
	trackConnState(opened[5], http.StateClosed)
	is.True(open() != nil)
	is.Equal(conns.rejected.Count(), int64(2))
}

// Guards against callers that are rejected while connections are idle: others that have sent the first
// byte of a call, and no more, had been idle for longer and kept the idle ones from being replaced.
func TestPartialHeadersDoNotKeepIdleConnectionsFromBeingReplaced(t *testing.T) {
	is := is.New(t)
	conns := newCallerConns(0, discardLogger, metrics.NewRegistry())
	conns.limit = 2 * maxReplaceTries
	var opened []*callerConn
	for range conns.limit {
		c := &callerConn{Conn: &fakeConn{}, conns: conns, hold: unboundedBuffers().NewHold(), limits: func() routing.Limits { return routing.Limits{} }}
		is.True(conns.open(c))
		trackConnState(c, http.StateIdle)
		opened = append(opened, c)
	}
	first, idle := opened[:maxReplaceTries], opened[maxReplaceTries:]
	for _, c := range first {
		_, err := c.Read(make([]byte, 1))
		is.NoErr(err)
	}
	for i := range idle {
		is.True(conns.open(&callerConn{Conn: &fakeConn{}, conns: conns}))
		is.Equal(idle[i].Conn.(*fakeConn).expired, 1)
	}
	is.True(!conns.open(&callerConn{Conn: &fakeConn{}, conns: conns}))
	for _, c := range first {
		is.Equal(c.Conn.(*fakeConn).expired, 0)
	}
	trackConnState(first[0], http.StateActive)
	trackConnState(first[0], http.StateIdle)
	is.True(conns.open(&callerConn{Conn: &fakeConn{}, conns: conns}))
	is.Equal(first[0].Conn.(*fakeConn).expired, 1)
}

// Guards against a connection that is closed as idle, or replaced by a newer one, while a call on it, or
// its end, has arrived and is not read yet.
func TestWaitForAnArrivedCallIsNotEnded(t *testing.T) {
	for name, arrive := range map[string]func(caller net.Conn) error{
		"call": call, "end": net.Conn.Close,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, c := newTCPCallerConn(t)
			is.NoErr(arrive(caller))
			waitUntilArrived(t, c)
			is.True(!c.expireIfWaiting(0))
			_, err := c.Read(make([]byte, 1))
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
		})
	}
	_, idle := newTCPCallerConn(t)
	is.New(t).True(idle.expireIfWaiting(0))
}

// Guards against callers that keep connections for ever with a slow header: bytes that have arrived by
// the end of the header timeout must not prolong it.
func TestArrivedBytesDoNotProlongTheHeaderTimeout(t *testing.T) {
	is := is.New(t)
	caller, c := newTCPCallerConn(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(headerTimeout)))
	_, err := io.WriteString(caller, "GET ")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 4))
	is.NoErr(err)
	_, err = io.WriteString(caller, "/")
	is.NoErr(err)
	waitUntilArrived(t, c)
	is.NoErr(c.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a connection that counts as replaced and stays open: it is to be closed just before the
// server sets the deadline of its wait. The deadline of a call that has arrived must hold again.
func TestDeadlineOfTheWaitDoesNotRevokeItsEnd(t *testing.T) {
	is := is.New(t)
	fake := &fakeConn{}
	c := &callerConn{Conn: fake, limits: func() routing.Limits { return routing.Limits{} }}
	is.True(c.expireIfWaiting(0))
	is.NoErr(c.SetReadDeadline(time.Now().Add(idleTimeout)))
	is.True(fake.deadline.Before(time.Now()))
	is.NoErr(c.SetReadDeadline(time.Now().Add(headerTimeout)))
	is.True(fake.deadline.After(time.Now()))
}

// newTCPCallerConn returns both ends of a connection that no server reads.
func newTCPCallerConn(t *testing.T) (net.Conn, *callerConn) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	side, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		caller.Close()
		side.Close()
	})
	callers := &callerListener{
		limits: func() routing.Limits { return routing.Limits{} },
		conns:  newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers(),
	}
	return caller, newCallerConn(side, callers)
}

// waitUntilArrived waits until there is something to read: bytes, or the end.
func waitUntilArrived(t *testing.T, c *callerConn) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); netdial.IsIdleAndOpen(c.Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing arrived")
		}
	}
}

// fakeConn counts how often the wait for its next call was ended. A read returns next, or one byte.
type fakeConn struct {
	net.Conn
	expired  int
	deadline time.Time
	next     string
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if c.next != "" {
		return copy(p, c.next), nil
	}
	p[0] = 'G'
	return 1, nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		c.expired++
	}
	c.deadline = t
	return nil
}
