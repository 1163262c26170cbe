package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/routing"
)

// crossingServer is an entry's server for callers. Its handler waits for release, and ends the call
// without an answer if the server takes the caller for gone.
type crossingServer struct {
	t        *testing.T
	server   *http.Server
	callers  *callerListener
	registry metrics.Registry
	// beforeState is called before a connection's state is recorded; nil for nothing.
	beforeState func(http.ConnState)
	running     chan struct{}
	release     chan struct{}

	mu     sync.Mutex
	limits routing.Limits
}

// newCrossingServer starts a server that accepts at most limit connections.
func newCrossingServer(t *testing.T, limit int, wrap func(net.Listener) net.Listener) *crossingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &crossingServer{t: t, registry: metrics.NewRegistry(), running: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	conns := newCallerConns(0, discardLogger, s.registry)
	conns.limit = limit
	s.callers = &callerListener{Listener: wrap(l), limits: s.currentLimits, conns: conns, buffers: unboundedBuffers()}
	s.server = &http.Server{
		Handler: markServed(http.HandlerFunc(s.serve)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if s.beforeState != nil {
				s.beforeState(state)
			}
			trackConnState(c, state)
		},
	}
	return s
}

func (s *crossingServer) start() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.server.Serve(s.callers)
	}()
	s.t.Cleanup(func() {
		s.server.Close()
		<-served
	})
}

func (s *crossingServer) currentLimits() routing.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

func (s *crossingServer) setLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// settleTime is how long a call runs at least, so that the server notices a failed connection.
const settleTime = 50 * time.Millisecond

func (s *crossingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.running <- struct{}{}
	<-s.release
	select {
	case <-time.After(settleTime):
		_, _ = io.WriteString(w, "ok")
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *crossingServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.callers.Addr().String())
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { c.Close() })
	return c
}

// openIdle opens a connection and makes one call over it.
func (s *crossingServer) openIdle() net.Conn {
	c := s.dial()
	s.release <- struct{}{}
	is.New(s.t).NoErr(call(c))
	is.New(s.t).Equal(answer(c), http.StatusOK)
	<-s.running
	return c
}

func (s *crossingServer) waitUntil(condition string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not %s in time", condition)
}

func (s *crossingServer) idleCount() int {
	s.callers.conns.mu.Lock()
	defer s.callers.conns.mu.Unlock()
	return s.callers.conns.idle.Len()
}

// waitingCount returns the number of connections on which nothing of a call has been read.
func (s *crossingServer) waitingCount() int {
	s.callers.conns.mu.Lock()
	defer s.callers.conns.mu.Unlock()
	count := 0
	for c := range s.callers.conns.all {
		if _, waiting := c.waiting(); waiting {
			count++
		}
	}
	return count
}

func plain(l net.Listener) net.Listener { return l }

// Guards against a call that was read and whose connection is then closed because the number of
// connections has reached its bound: the state "in a call" is recorded a moment after the reading.
func TestCallThatCrossesTheReplacementOfItsConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newCrossingServer(t, 1, plain)
	reached, resume := make(chan struct{}), make(chan struct{})
	hold := make(chan bool, 1)
	s.beforeState = func(state http.ConnState) {
		if state != http.StateActive {
			return
		}
		select {
		case <-hold:
			close(reached)
			<-resume
		default:
		}
	}
	s.start()
	c := s.openIdle()
	s.waitUntil("idle", func() bool { return s.idleCount() == 1 })
	hold <- true
	is.NoErr(call(c))
	<-reached
	rejected := s.dial()
	is.Equal(answer(rejected), 0)
	close(resume)
	<-s.running
	s.release <- struct{}{}
	is.Equal(answer(c), http.StatusOK)
}

// Guards against a call that arrives in parts and whose connection is closed in between because the
// number of connections has reached its bound.
func TestCallInPartsIsNotReplaced(t *testing.T) {
	is := is.New(t)
	s := newCrossingServer(t, 1, plain)
	s.start()
	c := s.openIdle()
	s.waitUntil("idle", func() bool { return s.idleCount() == 1 })
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	s.waitUntil("read in part", func() bool { return s.waitingCount() == 0 })
	rejected := s.dial()
	is.Equal(answer(rejected), 0)
	s.release <- struct{}{}
	_, err = io.WriteString(c, "\r\n")
	is.NoErr(err)
	is.Equal(answer(c), http.StatusOK)
}

// Guards against a planned stop that cuts a call on a connection that was to be replaced by a newer
// one: the call had arrived by then, and the stop no longer counted the connection.
func TestStopWaitsForCallOnConnectionThatWasToBeReplaced(t *testing.T) {
	is := is.New(t)
	g := newGate()
	s := newCrossingServer(t, 1, func(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: g} })
	s.start()
	c := s.openIdle()
	s.waitUntil("idle", func() bool { return s.idleCount() == 1 })
	g.shut()
	is.NoErr(call(c))
	<-g.held // the call has been read, and the reading goroutine has yet to learn it
	replacing := s.dial()
	s.waitUntil("replaced", func() bool { return s.idleCount() == 0 })
	replacing.Close()
	close(g.open)
	<-s.running
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { stopped <- drain(ctx, s.server, s.callers) }()
	s.waitUntil("closed to new connections", s.callers.isClosed)
	time.Sleep(2 * drainInterval)
	s.release <- struct{}{}
	is.Equal(answer(c), http.StatusOK)
	is.NoErr(<-stopped)
}

// Guards against a connection that is closed although a call has arrived: its idle limit, lowered
// by the operators, passes before the process gets to read.
func TestCallThatArrivesBeforeTheIdleLimitIsAnswered(t *testing.T) {
	is := is.New(t)
	const limit = 50 * time.Millisecond
	g := newGate()
	s := newCrossingServer(t, 10, func(l net.Listener) net.Listener { return &lateListener{Listener: l, gate: g} })
	first := true
	s.beforeState = func(state http.ConnState) {
		if state == http.StateIdle && first {
			first = false
			s.setLimits(routing.Limits{IdleTimeout: limit})
			g.shut()
		}
	}
	s.start()
	c := s.openIdle()
	<-g.held
	s.release <- struct{}{}
	is.NoErr(call(c))
	time.Sleep(2 * limit)
	close(g.open)
	is.Equal(answer(c), http.StatusOK)
}

// Guards against a planned stop that takes a connection for idle in the middle of a call that its
// caller had sent together with the one before.
func TestStopWaitsForPipelinedCall(t *testing.T) {
	is := is.New(t)
	s := newCrossingServer(t, 10, plain)
	s.start()
	c := s.dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-s.running
	s.release <- struct{}{}
	is.Equal(answer(c), http.StatusOK)
	<-s.running
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { stopped <- drain(ctx, s.server, s.callers) }()
	time.Sleep(2 * drainIdleTime)
	s.release <- struct{}{}
	is.Equal(answer(c), http.StatusOK)
	is.NoErr(<-stopped)
}

// holdingListener accepts connections whose passed read deadlines come into force late, as those set
// by a goroutine that waits for a processor.
type holdingListener struct {
	net.Listener
	armed           atomic.Bool
	reached, resume chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &holdingConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

func (l *holdingListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

type holdingConn struct {
	*net.TCPConn
	listener *holdingListener
}

func (c *holdingConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) && c.listener.armed.CompareAndSwap(true, false) {
		close(c.listener.reached)
		<-c.listener.resume
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Guards against a planned stop that finds a connection idle, and ends the call that has begun by the
// time that it closes the connection.
func TestCallThatBeginsAsAStopClosesItsConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	var holding *holdingListener
	s := newCrossingServer(t, 10, func(l net.Listener) net.Listener {
		holding = &holdingListener{Listener: l, reached: make(chan struct{}), resume: make(chan struct{})}
		return holding
	})
	s.start()
	c := s.openIdle()
	holding.armed.Store(true)
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { stopped <- drain(ctx, s.server, s.callers) }()
	<-holding.reached
	is.NoErr(call(c))
	select {
	case <-s.running:
		s.running <- struct{}{}
	case <-time.After(2 * settleTime): // it can't begin before the stop goes on
	}
	close(holding.resume)
	<-s.running
	s.release <- struct{}{}
	is.Equal(answer(c), http.StatusOK)
	is.NoErr(<-stopped)
}
