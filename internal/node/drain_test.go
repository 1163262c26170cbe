package node

import (
	"bufio"
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

// gatedListener accepts connections whose reads return late, as those of a process that waits for a
// processor: what has been read is held back until the gate opens.
type gatedListener struct {
	net.Listener
	gate *gate
	// isLate is set while the process takes longer over each connection than a stop waits for the next one;
	// nil for never.
	isLate *atomic.Bool
}

// gate holds reads back while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	// held receives a value for each read that is held back.
	held chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{}), held: make(chan struct{}, 10)}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	default:
		g.held <- struct{}{}
		<-open
	}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.isLate != nil && l.isLate.Load() {
		time.Sleep(2 * acceptDrainTime)
	}
	return &gatedConn{TCPConn: c.(*net.TCPConn), gate: l.gate}, nil
}

// SetDeadline sets the deadline of Accept.
func (l *gatedListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

type gatedConn struct {
	*net.TCPConn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.gate.pass()
	}
	return n, err
}

// drainServer is an entry's server for callers on a loopback address.
type drainServer struct {
	address string
	gate    *gate
	isLate  atomic.Bool
	stop    func(context.Context) error
	close   func()
}

func startDrainServer(t *testing.T) *drainServer {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &drainServer{address: l.Addr().String(), gate: newGate()}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState,
	}
	callers := &callerListener{
		Listener: &gatedListener{Listener: l, gate: s.gate, isLate: &s.isLate}, limits: func() routing.Limits { return routing.Limits{} },
		conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers(),
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(callers)
	}()
	s.stop = func(ctx context.Context) error { return drain(ctx, server, callers) }
	s.close = func() {
		server.Close()
		<-served
	}
	return s
}

// call sends a call over a connection.
func call(c net.Conn) error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// answer returns the status of the next answer; 0 if the connection ends without one.
func answer(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (s *drainServer) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	return c
}

// Guards against a call that a planned stop reads and then drops. The process reads it late, as on a
// busy machine, so that the stop closes connections meanwhile: one that was idle, and a new one.
func TestCallThatCrossesAStopIsAnswered(t *testing.T) {
	for name, callsBefore := range map[string]int{"idle connection": 1, "new connection": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startDrainServer(t)
			defer s.close()
			c := s.dial(t)
			defer c.Close()
			for range callsBefore {
				is.NoErr(call(c))
				is.Equal(answer(c), http.StatusOK)
			}
			s.gate.shut()
			is.NoErr(call(c))
			<-s.gate.held
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			go func() { stopped <- s.stop(ctx) }()
			time.Sleep(2 * drainInterval)
			close(s.gate.open)
			is.Equal(answer(c), http.StatusOK)
			is.NoErr(<-stopped)
		})
	}
}

// Guards against connections that are reset in the queue of the listener: those that were opened
// before a stop closes it are served.
func TestQueuedConnectionsAreServedAtAStop(t *testing.T) {
	checkQueueAtAStop(t, false, 50) // fewer than the listener's queue holds
}

// Guards against the same if the process runs late, so that each time the deadline has passed before it looks
// at the queue.
func TestQueuedConnectionsAreServedAtAStopOfALateProcess(t *testing.T) {
	checkQueueAtAStop(t, true, 2*maxAcceptDrains)
}

func checkQueueAtAStop(t *testing.T, isLate bool, queued int) {
	is := is.New(t)
	s := startDrainServer(t)
	defer s.close()
	s.isLate.Store(isLate)
	var conns []net.Conn
	for range queued {
		c := s.dial(t)
		defer c.Close()
		is.NoErr(call(c))
		conns = append(conns, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(ctx) }()
	for _, c := range conns {
		is.Equal(answer(c), http.StatusOK)
	}
	is.NoErr(<-stopped)
	_, err := net.Dial("tcp", s.address)
	is.True(err != nil)
}

// Guards against a stop that goes on accepting while callers go on connecting, to the end of its time.
func TestStopEndsWhileCallersConnect(t *testing.T) {
	is := is.New(t)
	s := startDrainServer(t)
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for range 4 {
		go func() {
			for c, err := net.Dial("tcp", s.address); err == nil; c, err = net.Dial("tcp", s.address) {
				c.Close()
				time.Sleep(acceptDrainTime / 20)
			}
		}()
	}
	is.NoErr(s.stop(ctx))
	is.NoErr(ctx.Err())
}

// Guards against a stop that waits for idle connections, or never ends for one call. Idle ones are
// closed; a call in flight at the deadline is cut.
func TestStopEndsIdleConnectionsAndAtItsDeadline(t *testing.T) {
	is := is.New(t)
	s := startDrainServer(t)
	defer s.close()
	idle, busy := s.dial(t), s.dial(t)
	defer idle.Close()
	defer busy.Close()
	is.NoErr(call(idle))
	is.Equal(answer(idle), http.StatusOK)
	s.gate.shut()
	is.NoErr(call(busy))
	<-s.gate.held
	ctx, cancel := context.WithTimeout(context.Background(), 4*drainIdleTime)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(ctx) }()
	is.Equal(answer(idle), 0)
	is.True(<-stopped != nil)
	close(s.gate.open)
}
