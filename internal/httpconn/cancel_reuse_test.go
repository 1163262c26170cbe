package httpconn

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedCloseConn is a connection that is about to be closed: its first Close waits.
type blockedCloseConn struct {
	net.Conn
	closing, proceed chan struct{}
}

// Close implements net.Conn.
func (c *blockedCloseConn) Close() error {
	close(c.closing)
	<-c.proceed
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *blockedCloseConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against a call that is cut since an earlier one on its connection was cancelled: the rest of the earlier
// one's body is written in the moment in which it is cancelled, and the connection that is about to be closed is reused.
func TestConnectionOfACancelledCallIsNotReusedOnceItsBodyIsWritten(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	n := &blockedCloseConn{Conn: client, closing: make(chan struct{}), proceed: make(chan struct{})}
	c := newConn(NewPool(""), n)
	c.idleSince = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	c.beginCall(ctx, get("/"))
	c.bodyUnwritten = true
	cancel()
	<-n.closing
	is.True(c.finishCall(1))
	c.writeRest([]byte("rest"))
	is.True(!c.prepareForIdle()) // the connection is about to be closed
	close(n.proceed)
}
