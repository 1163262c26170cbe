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
