package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/routing"
)

// Guards against a complete response that is lost as its connection closes: the caller has sent bytes of its
// next call, which nobody reads, and has yet to receive the response.
func TestResponseBeforeACloseOutlivesBytesOfTheNextCall(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	written := make(chan struct{})
	server := &http.Server{ConnState: trackConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
		close(written)
	})}
	callers := &callerListener{
		Listener: l, limits: func() routing.Limits { return routing.Limits{} },
		conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: unboundedBuffers(),
	}
	go func() { _ = server.Serve(callers) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(call(c))
	reader := bufio.NewReaderSize(c, 16)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.NoErr(call(c))
	_, err = io.CopyN(io.Discard, response.Body, size/2)
	is.NoErr(err)
	<-written // as the rest is in the sockets' buffers, the connection is closed
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(n, int64(size/2))
}

// Guards against a response that breaks off and ends in order: a connection that is to be reset must not wait for
// its caller.
func TestConnectionIsReset(t *testing.T) {
	is := is.New(t)
	caller, c := newTCPCallerConn(t)
	_, err := io.WriteString(caller, "unread")
	is.NoErr(err)
	waitUntilArrived(t, c)
	is.NoErr(c.SetLinger(0))
	is.NoErr(c.Close())
	_, err = caller.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
