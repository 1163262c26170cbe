package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/routing"
)

// Guards against a caller that sees its connection reset instead of the refusal of its header, because
// it is still sending.
func TestCallerThatStillSendsItsHeaderReceivesTheRefusal(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: trackConnState}
	go server.Serve(&callerListener{
		Listener: l, limits: func() routing.Limits { return routing.Limits{} },
		conns: newCallerConns(0, discardLogger, metrics.NewRegistry()), buffers: buffer.NewBudget(8<<10, metrics.NewRegistry()),
	})
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	const lines = 20
	for range lines {
		_, err = io.WriteString(c, "A: "+strings.Repeat("x", 1000)+"\r\n")
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
	}
	_, err = io.WriteString(c, "\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	response.Body.Close()
}
