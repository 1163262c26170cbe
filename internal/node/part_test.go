package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// Guards against an instance that ends by itself, or runs on without a listener, for an error that may pass, such as
// missing file descriptors.
func TestListenerIsOpenedOnceAnErrorHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logs := memory.New()
		attempts := 0
		listener, err := openListener(t.Context(), &log.Logger{Handler: logs}, "a:1", func() (net.Listener, error) {
			if attempts++; attempts <= 10 {
				return nil, &net.OpError{Op: "listen", Err: syscall.EMFILE}
			}
			return newPipeListener(), nil
		})
		is.NoErr(err)
		is.True(listener != nil)
		is.Equal(len(logs.Entries), 2) // one line for all failures, one for the success
		is.Equal(logs.Entries[0].Level, log.ErrorLevel)
	})
}

// Guards against an instance that tries for ever to open a listener that it may not open, or whose address is invalid, so
// that its process manager hears of it at no time.
func TestListenerThatCannotBeOpenedIsAnError(t *testing.T) {
	for _, cause := range []error{syscall.EACCES, &net.AddrError{Err: "invalid port", Addr: "a:-1"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			_, err := openListener(ctx, &log.Logger{Handler: memory.New()}, "a:1", func() (net.Listener, error) {
				return nil, &net.OpError{Op: "listen", Err: cause}
			})
			is.True(errors.Is(err, cause))
			is.NoErr(ctx.Err()) // at once
		})
	}
}

// Guards against a part that ends unheard while the instance runs on without it.
func TestFailedPartIsLoggedAndStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lines := make(chan *log.Entry, 3)
		n := &Node{logger: &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error { lines <- e; return nil })}}
		ctx, stop := context.WithCancel(t.Context())
		started, ended := make(chan struct{}, 3), make(chan error, 1)
		go func() {
			ended <- n.keepRunning(ctx, "peers", func(ctx context.Context) error {
				started <- struct{}{}
				switch len(started) {
				case 1:
					return errors.New("accept failed")
				case 2:
					return nil
				}
				<-ctx.Done()
				return nil
			})
		}()
		synctest.Wait()
		is.Equal(len(lines), 1) // before the next start
		line := <-lines
		is.Equal(line.Level, log.ErrorLevel)
		is.Equal(line.Fields["part"], "peers")
		time.Sleep(2 * partRestartDelay)
		synctest.Wait()
		is.Equal(len(started), 3)
		is.Equal(len(lines), 1)
		stop()
		is.NoErr(<-ended)
	})
}

// Guards against an entry that no caller can connect to and that runs on all the same, and against calls that are cut
// as it ends.
func TestFailedCallersListenerStopsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime, grace = 3 * time.Second, 8 * time.Second
		is := is.New(t)
		// No socket is opened for probes: the address is invalid.
		n := newTestNodeWith(t, func(s *Settings) { s.Grace, s.ReadyAddress = grace, "127.0.0.1:-1" })
		n.adapter.Callers = func(*gateway.Gateway, func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(callTime)
				_, _ = io.WriteString(w, "ok")
			})
		}
		listener := newPipeListener()
		serving, stopServing := context.WithCancel(t.Context())
		defer stopServing()
		ended := make(chan error, 1)
		go func() { ended <- n.serveCallers(t.Context(), serving, listener) }()
		caller, served := net.Pipe()
		listener.conns <- served
		go func() { _ = call(caller) }()
		synctest.Wait()

		began := time.Now()
		listener.failed.Store(true)
		listener.Close()
		is.Equal(answer(caller), http.StatusOK)
		caller.Close()
		is.True(errors.Is(<-ended, errAcceptFailed))
		is.True(time.Since(began) <= grace)
	})
}

// Guards against an entry whose callers' listener was closed before a stop, and that ends with exit code 0 and no line.
func TestClosedCallersListenerIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logs := memory.New()
		// No socket is opened for probes: the address is invalid.
		n := newTestNodeWith(t, func(s *Settings) { s.Grace, s.ReadyAddress = time.Second, "127.0.0.1:-1" })
		n.logger = &log.Logger{Handler: logs}
		listener := newPipeListener()
		listener.Close()
		is.True(errors.Is(n.serveCallers(t.Context(), t.Context(), listener), errPartEnded))
		isHeardOf := func(e *log.Entry) bool { return e.Message == "callers can't connect any more; stopping" }
		is.True(slices.ContainsFunc(logs.Entries, isHeardOf))
	})
}

// Guards against a planned stop that counts as a failure of the callers' listener.
func TestPlannedStopOfCallersIsNoError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newTestNodeWith(t, func(s *Settings) { s.Grace, s.ReadyAddress = time.Second, "127.0.0.1:-1" })
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- n.serveCallers(ctx, t.Context(), newPipeListener()) }()
		synctest.Wait()
		stop()
		is.True(!errors.Is(<-ended, errPartEnded))
	})
}

var errAcceptFailed = errors.New("accept failed")

// pipeListener returns the connections that it is given.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	isEnd  atomic.Bool
	failed atomic.Bool
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	}
	if l.failed.Load() {
		return nil, errAcceptFailed
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error {
	if !l.isEnd.Swap(true) {
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
