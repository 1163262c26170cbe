package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// setDeaf makes a connection, or a listener, drop all that arrives for it, as if the network did, and
// ends that. What is sent to it stays unacknowledged meanwhile.
func setDeaf(t *testing.T, c syscall.Conn, deaf bool) {
	t.Helper()
	is := is.New(t)
	raw, err := c.SyscallConn()
	is.NoErr(err)
	var failure error
	err = raw.Control(func(fd uintptr) {
		if !deaf {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	is.NoErr(err)
	is.NoErr(failure)
}

// silenceBound returns how long the peer of a connection may be silent before the kernel fails it.
func silenceBound(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	is := is.New(t)
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var ms int
	var failure error
	err = raw.Control(func(fd uintptr) { ms, failure = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	is.NoErr(err)
	is.NoErr(failure)
	return time.Duration(ms) * time.Millisecond
}

const (
	// idleBound is the longest silence after which a connection without a call must have failed.
	idleBound = time.Second
	// longCall is longer than the deadline of any call.
	longCall = 10 * time.Minute
)

// Guards against calls that the kernel ends while their replica is silent for a second and goes on, and
// against calls that are sent over an idle connection whose replica fell silent for good.
func TestSilenceEndsOnlyIdleConnections(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool(server)
	for range 2 {
		response, err := pool.Do(context.Background(), get("/"), 1)
		is.NoErr(err)
		is.True(silenceBound(t, response.conn.netConn) >= longCall)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(silenceBound(t, response.conn.netConn) < idleBound)
	}
	is.Equal(pool.OpenedCount(), int64(1))
	is.Equal(pool.Probe(context.Background(), 2), Listening)
	is.Equal(len(pool.idle), 2)
	is.True(silenceBound(t, pool.idle[1].netConn) < idleBound)
	response, err := pool.Do(context.Background(), get("/"), 2)
	is.NoErr(err)
	is.True(silenceBound(t, response.conn.netConn) >= longCall)
	response.Close()
}

// newScriptedServer returns the address of a server that runs script for each connection and then closes it.
func newScriptedServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// silence is longer than it takes an idle connection to fail: until the first keep-alive probe, and
// until the second, which finds the first one unanswered.
const silence = 2500 * time.Millisecond

// Guards against a call that is lost because its replica, or the network before it, is silent for some
// time and goes on: before the response, after its header, within its body.
func TestCallOutlastsSilence(t *testing.T) {
	const head, first, second = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", "head", "tail"
	for name, parts := range map[string][2]string{
		"before the response": {"", head + first + second},
		"after the header":    {head, first + second},
		"within the body":     {head + first, second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, parts[0])
				setDeaf(t, c.(*net.TCPConn), true)
				time.Sleep(silence)
				setDeaf(t, c.(*net.TCPConn), false)
				_, _ = io.WriteString(c, parts[1])
			}))
			response, err := pool.Do(context.Background(), get("/"), 1)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), first+second)
		})
	}
}

// Guards against a call that is lost because its request falls into a silence: none of it is acknowledged
// until the replica goes on.
func TestRequestOutlastsSilence(t *testing.T) {
	for name, size := range map[string]int{"small": 0, "large": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			idle, silent := make(chan struct{}), make(chan struct{})
			pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				for i := range 2 {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					if i == 0 {
						<-idle
						setDeaf(t, c.(*net.TCPConn), true)
						close(silent)
						time.Sleep(silence)
						setDeaf(t, c.(*net.TCPConn), false)
					} else {
						is.Equal(len(body), size)
					}
				}
			}))
			response, err := pool.Do(context.Background(), get("/"), 1)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
			close(idle)
			<-silent
			call := get("/")
			call.Method, call.Body = http.MethodPost, []byte(strings.Repeat("x", size))
			response, err = pool.Do(context.Background(), call, 1)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			is.Equal(pool.OpenedCount(), int64(1))
		})
	}
}

// Guards against a call to a silent replica that outlasts its deadline.
func TestDeadlineEndsACallInSilence(t *testing.T) {
	is := is.New(t)
	pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		setDeaf(t, c.(*net.TCPConn), true)
		_, _ = r.ReadByte()
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, get("/"), 1)
	is.True(errors.Is(err, ErrResponseLost))
	is.True(ctx.Err() != nil)
	is.Equal(pool.inUse(), 0)
}

// Guards against calls that are sent over an idle connection whose replica is silent, where they would
// wait until their deadline although a new connection shows that nothing is there.
func TestSilentIdleConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		setDeaf(t, c.(*net.TCPConn), true)
		_, _ = r.ReadByte()
	}))
	for i := range 2 {
		time.Sleep(time.Duration(i) * silence)
		response, err := pool.Do(context.Background(), get("/"), 1)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
	}
	is.Equal(pool.OpenedCount(), int64(2))
}
