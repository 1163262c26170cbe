package httpconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// serveOnce accepts one connection, reads a part of a call from it and runs script.
func serveOnce(t *testing.T, script func(c *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1<<10))
		script(c.(*net.TCPConn))
	}()
	return listener.Addr().String()
}

// Guards against a response without a length that is reset and looks complete: the error of a reset is reported
// once, to the writing of the call's body, and the reading that follows meets an orderly end.
func TestResetDuringTheCallsBodyIsNotTheEndOfItsResponse(t *testing.T) {
	is := is.New(t)
	reset := make(chan struct{})
	address := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-reset
		_ = c.SetLinger(0)
	})
	call := get("/")
	call.Method, call.Body = "POST", bytes.Repeat([]byte("x"), 32<<20)
	response, err := NewPool(address).Do(context.Background(), call, 1)
	is.NoErr(err)
	defer response.Close()
	part := make([]byte, 4)
	_, err = io.ReadFull(response.Body, part)
	is.NoErr(err)
	close(reset)
	// Nothing reads the response while the writing of the body meets the reset.
	time.Sleep(100 * time.Millisecond)
	_, err = io.ReadAll(response.Body)
	is.True(IsBroken(err))
}

// Guards against a response without a length that is refused though its connection ended in order.
func TestResponseEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it") })
	response, err := NewPool(address).Do(context.Background(), get("/"), 1)
	is.NoErr(err)
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "all of it")
}

// Guards against a call that gets the body of another one: a server stops in a header line, and what it sends
// next on the connection is another response, of which the rest would count as the rest of the header.
func TestHeaderWithAnotherStatusLineIsRefused(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCall: 2\r\nSignature: sig\r\nServer: s\r\nContent-Length: 3\r\n\r\n"
	const other = "HTTP/1.1 200 OK\r\nCall: 1\r\nSignature: other\r\nContent-Length: 5\r\n\r\nother"
	for cut := range head {
		t.Run(fmt.Sprintf("after %d bytes", cut), func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, head[:cut]+other) })
			call := get("/")
			call.Matches = func(h http.Header) bool { return h.Get("Call") == "2" }
			_, err := NewPool(address).Do(context.Background(), call, 1)
			is.True(errors.Is(err, ErrResponseLost))
		})
	}
}

// Guards against chunk sizes that are taken for parts of a body: net/http drops the Transfer-Encoding of an
// HTTP/1.0 response and reads its body until the connection ends.
func TestOldResponseInChunksIsRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\nA: b\ntransfer-encoding: chunked\n\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		is := is.New(t)
		address := serveOnce(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, head+"2\r\nok\r\n0\r\n\r\n") })
		_, err := NewPool(address).Do(context.Background(), get("/"), 1)
		is.True(errors.Is(err, ErrResponseLost))
	}
}

// Guards against logs and counters that can't tell where a server stopped.
func TestCutOfAResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		sent  string
		reset bool
		want  Cut
	}{
		{"HTTP/1.1 2", false, CutHeader},
		{"HTTP/1.1 200 OK\r\nA: b\r\n", false, CutHeader},
		{"HTTP/1.1 200 OK\r\nA: b\r\nContent-Le", false, CutHeader},
		{"HTTP/1.1 200 OK\r\nA: b\r\n", true, CutHeader},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", false, CutHeader},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", false, CutLength},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", true, CutLength},
		{chunked + "5", false, CutChunks},
		{chunked + "5\r\npart", false, CutChunks},
		{chunked + "4\r\npart\r\n", true, CutChunks},
		{chunked + "4\r\npart\r\n0\r\n", false, CutTrailers},
		{chunked + "4\r\npart\r\n0\r\nA: b\r\n", false, CutTrailers},
		{"HTTP/1.1 200 OK\r\n\r\npart", true, CutClose},
	} {
		t.Run(fmt.Sprintf("%q, reset: %t", c.sent, c.reset), func(t *testing.T) {
			is := is.New(t)
			read := make(chan struct{})
			address := serveOnce(t, func(s *net.TCPConn) {
				_, _ = io.WriteString(s, c.sent)
				if c.reset {
					<-read // a reset overtakes what was not read
					_ = s.SetLinger(0)
				}
			})
			time.AfterFunc(20*time.Millisecond, func() { close(read) })
			response, err := NewPool(address).Do(context.Background(), get("/"), 1)
			if err == nil {
				defer response.Close()
				_, err = io.ReadAll(response.Body)
			}
			cut, ok := CutOf(err)
			is.True(ok)
			is.Equal(cut, c.want)
			is.True(IsBroken(err))
		})
	}
}

// Guards against a call that counts as cut short by its server though it was cancelled here.
func TestCancelledCallIsNotCutShort(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	defer close(done)
	address := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart")
		<-done
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := NewPool(address).Do(ctx, get("/"), 1)
	is.NoErr(err)
	defer response.Close()
	cancel()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	_, ok := CutOf(err)
	is.True(!ok)
}
