package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that is cut although its server and its caller go on: the connection of a proof
// whose response has no body serves another call before the proof is judged.
func TestProofWithoutABodyCutsNoOtherCall(t *testing.T) {
	is := is.New(t)
	rest := make(chan struct{})
	pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if request.URL.Path == "/name" {
				_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n") // the client may be gone
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")
			if request.URL.Path == "/long" {
				<-rest
			}
			_, _ = io.WriteString(c, "ne")
		}
	}))
	var other *Response
	proven := provenCall("old.")
	judge := proven.Proof.Judge
	proven.Proof.Judge = func(status int, header http.Header, body []byte) Judgement {
		var err error
		other, err = pool.Do(context.Background(), get("/long"), 2)
		is.NoErr(err)
		return judge(status, header, body)
	}
	response, err := pool.Do(context.Background(), proven, 2)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	close(rest)
	body, err = io.ReadAll(other.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	is.Equal(pool.inUse(), 0)
	is.Equal(pool.OpenedCount(), int64(2))
}
