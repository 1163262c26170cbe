package httpconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// Guards against the same in clients on net/http, which takes any status of three digits for an answer. The
// transport drops spaces before a status, so that these can't be seen.
func TestTransportRefusesResponsesWithoutAStatus(t *testing.T) {
	for _, line := range badStatusLines {
		if strings.HasPrefix(line, "HTTP/1.1  ") {
			continue
		}
		for name, rest := range framings {
			t.Run(line[:min(len(line), 24)]+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				closed := make(chan struct{})
				address := serveOnce(t, func(c *net.TCPConn) {
					defer close(closed)
					_, _ = io.WriteString(c, line+"\r\n"+rest)
					if name == "unfinished" {
						_ = c.CloseWrite() // net/http reads to the end of a header
					}
					_, _ = io.Copy(io.Discard, c)
				})
				transport := NewBoundedTransport(&http.Transport{}, 1<<10, metrics.NilCounter{})
				client := &http.Client{Transport: transport, Timeout: ample}
				response, err := client.Get("http://" + address)
				if err == nil {
					response.Body.Close()
				}
				is.True(err != nil)
				<-closed
			})
		}
	}
}
