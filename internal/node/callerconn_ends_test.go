package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/routing"
)

// endsServer is an entry's server for callers whose log lines are kept.
type endsServer struct {
	server  *http.Server
	callers *callerListener
	lines   *memory.Handler
	gate    *gate
	// running receives a value for each call that is being served.
	running chan struct{}
}

// startEndsServer starts a server whose calls wait until their callers leave.
func startEndsServer(t *testing.T, limits routing.Limits) *endsServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &endsServer{lines: memory.New(), gate: newGate(), running: make(chan struct{}, 10)}
	s.callers = &callerListener{
		Listener: &lateListener{Listener: l, gate: s.gate}, limits: func() routing.Limits { return limits },
		conns: newCallerConns(0, &log.Logger{Handler: s.lines}, metrics.NewRegistry()), buffers: unboundedBuffers(),
	}
	handler := func(_ http.ResponseWriter, r *http.Request) {
		s.running <- struct{}{}
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.server = &http.Server{
		Handler: markServed(http.HandlerFunc(handler)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: trackConnState, ConnContext: withConn,
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.server.Serve(s.callers)
	}()
	t.Cleanup(func() {
		s.server.Close()
		<-served
	})
	return s
}

func (s *endsServer) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.callers.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	return c
}

// awaitEnd waits until n calls have ended in this way, and none in another.
func (s *endsServer) awaitEnd(t *testing.T, end callEnd, n int64) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for s.callers.conns.ends.counters[end].Count() < n {
		if time.Now().After(deadline) {
			t.Fatalf("not counted as %s", end)
		}
		time.Sleep(time.Millisecond)
	}
	for other, counter := range s.callers.conns.ends.counters {
		if want := map[bool]int64{true: n}[callEnd(other) == end]; counter.Count() != want {
			t.Errorf("counted as %s: %d, expected %d", callEnd(other), counter.Count(), want)
		}
	}
}

// awaitUnread waits until bytes have arrived on a connection that are not read.
func (s *endsServer) awaitUnread(t *testing.T) {
	t.Helper()
	hasUnread := func() bool {
		s.callers.conns.mu.Lock()
		defer s.callers.conns.mu.Unlock()
		for c := range s.callers.conns.all {
			if hasUnreadBytes(c.Conn) {
				return true
			}
		}
		return false
	}
	for deadline := time.Now().Add(20 * time.Second); !hasUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no bytes arrived")
		}
	}
}

// loggedEnds returns the ends in the log lines.
func (s *endsServer) loggedEnds() []any {
	s.callers.conns.ends.mu.Lock()
	defer s.callers.conns.ends.mu.Unlock()
	var ends []any
	for _, line := range s.lines.Entries {
		ends = append(ends, line.Fields["end"])
	}
	return ends
}

// Guards against a call that ends without an answer and leaves no trace of who closed its connection.
func TestCallWithoutAnswerIsCountedByItsEnd(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	limits := routing.Limits{HeaderTimeout: 100 * time.Millisecond}
	for _, c := range []struct {
		end    callEnd
		logged bool
		play   func(t *testing.T, s *endsServer, caller net.Conn)
	}{
		{endUnread, true, func(t *testing.T, s *endsServer, caller net.Conn) {
			s.gate.shut()
			_, err := io.WriteString(s.dial(t), whole)
			is.New(t).NoErr(err)
			s.awaitUnread(t)
			s.server.Close()
			close(s.gate.open)
		}},
		{endHeaderTimeout, true, func(t *testing.T, s *endsServer, caller net.Conn) {
			_, err := io.WriteString(caller, whole[:20])
			is.New(t).NoErr(err)
		}},
		{endResponse, false, func(t *testing.T, s *endsServer, caller net.Conn) {
			_, err := io.WriteString(caller, "GET /break HTTP/1.1\r\nHost: h\r\n\r\n")
			is.New(t).NoErr(err)
		}},
		{endCallerClosed, false, func(t *testing.T, s *endsServer, caller net.Conn) {
			_, err := io.WriteString(caller, whole)
			is.New(t).NoErr(err)
			<-s.running
			caller.Close()
		}},
		{endStopped, true, func(t *testing.T, s *endsServer, caller net.Conn) {
			_, err := io.WriteString(caller, whole)
			is.New(t).NoErr(err)
			<-s.running
			s.server.Close()
		}},
	} {
		t.Run(c.end.String(), func(t *testing.T) {
			is := is.New(t)
			s := startEndsServer(t, limits)
			c.play(t, s, s.dial(t))
			s.awaitEnd(t, c.end, 1)
			if c.logged {
				is.Equal(s.loggedEnds(), []any{c.end.String()})
			} else {
				is.Equal(len(s.loggedEnds()), 0)
			}
		})
	}
}

// Guards against log lines for connections that are closed as usual, without a call.
func TestIdleConnectionLeavesNoLogLine(t *testing.T) {
	s := startEndsServer(t, routing.Limits{HeaderTimeout: 50 * time.Millisecond})
	is.New(t).Equal(answer(s.dial(t)), 0)
	is.New(t).Equal(len(s.loggedEnds()), 0)
}

// Guards against callers that flood the log with connections that they leave in the middle of a call.
func TestUnansweredCallsDoNotFloodTheLog(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	ends := newCallEnds(&log.Logger{Handler: lines}, metrics.NewRegistry())
	const calls = 1000
	for i := range calls {
		ends.record(endUnserved, &net.TCPAddr{Port: i}, time.Second, fmt.Errorf("error %d", i))
	}
	is.True(len(lines.Entries) >= 1)
	is.True(len(lines.Entries) < calls/10)
	is.Equal(ends.counters[endUnserved].Count(), int64(calls))
}
