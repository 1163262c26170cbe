package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/chat"
)

// serveWithCopies rejects the first call of each connection, runs the others, and sends each response again as the next
// call arrives on the connection. ran is called for each call that runs.
func serveWithCopies(c net.Conn, ran func()) {
	defer c.Close()
	reader, earlier := bufio.NewReader(c), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := "HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
		if earlier != "" {
			ran()
			body := fmt.Sprintf(`{"choices":[{"message":{"role":"assistant","content":%q}}]}`, request.URL.Path)
			response = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		}
		if _, err := fmt.Fprint(c, earlier+response); err != nil {
			return
		}
		earlier = response
	}
}

// Guards against a call that runs although its caller is told that it has not: a rejection arrives a second time, and no
// response names its call.
func TestCopyOfARejectionIsNotTheResponseToTheNextCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ran := make(chan struct{}, 8)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveWithCopies(c, func() { ran <- struct{}{} })
		}
	}()
	client := NewClient()
	defer client.Close()
	for range 4 {
		_, err := client.Complete(context.Background(), listener.Addr().String(), &Request{Chat: &chat.Request{Model: "m"}}, nil)
		is.Equal(MayHaveRun(err), len(ran) > 0)
	}
}
