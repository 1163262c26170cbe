package engine

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/chat"
)

// Guards against an engine's response without a proper status that proves a call not run, so that it runs twice.
func TestAnswerWithoutAStatusProvesNothing(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(c, line+"\r\n"+HeaderNotRun+": true\r\n"+HeaderDraining+": true\r\nContent-Length: 2\r\n\r\nok")
				_, _ = io.Copy(io.Discard, c)
			}()
			client := NewClient()
			defer client.Close()
			_, err = client.Complete(context.Background(), listener.Addr().String(), &Request{Chat: &chat.Request{Model: "m"}}, nil)
			is.True(MayHaveRun(err))
			failure, ok := err.(*Error)
			is.True(ok)
			is.True(!failure.Draining)
			is.Equal(failure.Status, 0)
		})
	}
}
