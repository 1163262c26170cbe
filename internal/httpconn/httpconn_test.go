package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func get(target string) *Call {
	return &Call{Method: "GET", Target: target, Host: "a.example", Header: http.Header{}}
}

// Guards against a late Close that ends the next call. A response is read to its end, which frees
// its connection; the next call takes the connection, and only then is the first response closed.
// That must not close the connection, or the next call's response is lost.
func TestCloseAfterReuseDoesNotEndTheNextCall(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String())
	first, err := pool.Do(context.Background(), get("/quick"), 1)
	is.NoErr(err)
	_, err = io.ReadAll(first.Body)
	is.NoErr(err)
	result := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		close(started)
		second, err := pool.Do(context.Background(), get("/slow"), 1)
		if err == nil {
			_, err = io.ReadAll(second.Body)
		}
		result <- err
	}()
	<-started
	for pool.inUse() == 0 {
	}
	first.Close()
	close(release)
	is.NoErr(<-result)
	is.Equal(pool.OpenedCount(), int64(1))
}

func (p *Pool) inUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount - len(p.idle)
}

// Guards against a caller that gets the response to another call. A replica sends the response to
// an earlier call first and the expected one after it.
func TestStrayResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		_, _ = c.Read(buffer)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 3\r\n\r\nold")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 3\r\n\r\nnew")
	}()
	call := get("/")
	call.Matches = func(h http.Header) bool { return h.Get("Call") == "2" }
	response, err := NewPool(listener.Addr().String()).Do(context.Background(), call, 1)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "new")
}

// Guards against calls that take stray bytes for their response. A replica sends bytes after a
// complete response; they belong to no call, and the connection must not be reused.
func TestConnectionWithBytesAfterAResponseIsClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 1<<10)
			_, _ = c.Read(buffer)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	}()
	pool := NewPool(listener.Addr().String())
	for range 2 {
		response, err := pool.Do(context.Background(), get("/"), 1)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
	}
	is.Equal(pool.OpenedCount(), int64(2))
}

// Guards against a replica that keeps working for a caller that has disconnected. The connection
// must be closed when the call is cancelled, which tells the replica to stop, and must not be
// reused.
func TestCancelledCallClosesItsConnection(t *testing.T) {
	is := is.New(t)
	arrived, stopped := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/slow" {
			return
		}
		close(arrived)
		<-r.Context().Done()
		close(stopped)
	}))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String())
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := pool.Do(ctx, get("/slow"), 1)
		ended <- err
	}()
	<-arrived
	leave()
	is.True(errors.Is(<-ended, ErrResponseLost))
	<-stopped
	response, err := pool.Do(context.Background(), get("/quick"), 1)
	is.NoErr(err)
	response.Close()
	is.Equal(pool.OpenedCount(), int64(2))
}

// Guards against an instance that runs out of memory and descriptors in a fleet with thousands of
// upstreams: a connection that its server closed would be kept until the next call to it. Those past
// their idle timeout must be closed, and a pool without any must be closed as a whole.
func TestConnectionsPastTheirIdleTimeoutAreClosed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String())
	response, err := pool.Do(context.Background(), get("/"), 1)
	is.NoErr(err)
	is.True(!pool.CloseIfUnused(1))
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	response.Close()
	is.True(!pool.CloseIfUnused(1))
	is.True(pool.HasIdleConnection())
	pool.mu.Lock()
	pool.idle[0].idleTimeout = 0
	pool.mu.Unlock()
	is.True(pool.CloseIfUnused(1))
	is.Equal(pool.inUse(), 0)
	response, err = pool.Do(context.Background(), get("/"), 1)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	response.Close()
	is.True(!pool.HasIdleConnection())
}
