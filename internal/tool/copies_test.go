package tool

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/step"
)

// serveWithCopies names the path of each call in its response, and sends that response again as the next call arrives on
// the connection.
func serveWithCopies(c net.Conn) {
	defer c.Close()
	reader, earlier := bufio.NewReader(c), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := fmt.Sprintf(`{"state":"done","content_type":%q}`, request.URL.RequestURI())
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := fmt.Fprint(c, earlier+response); err != nil {
			return
		}
		earlier = response
	}
}

// Guards against a step that gets the result of another step, or the outcome of one: a response arrives a second time, and
// neither response names its call.
func TestCopyOfAResponseIsNotTheResultOfTheNextCall(t *testing.T) {
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
			go serveWithCopies(c)
		}
	}()
	client := NewClient(time.Second, 1<<20)
	defer client.Close()
	for i := range 4 {
		path := fmt.Sprintf("/call-%d", i)
		response, err := client.Call(context.Background(), Call{Address: listener.Addr().String(), Key: "k", Request: &step.ToolRequest{Method: http.MethodGet, Path: path}})
		is.NoErr(err)
		is.Equal(string(response.Body), fmt.Sprintf(`{"state":"done","content_type":%q}`, path))
		found, err := client.Lookup(context.Background(), listener.Addr().String(), "/lookup", path)
		is.NoErr(err)
		is.Equal(found.ContentType, fmt.Sprintf("/lookup?key=%%2Fcall-%d", i))
	}
}
