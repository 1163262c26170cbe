package tool

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/step"
)

// Guards against a service's response without a proper status that is given to the step as its result, or taken for a
// refusal: the call may have run.
func TestAnswerWithoutAStatusIsNoResult(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK"} {
		for _, header := range []string{"", HeaderNotRun + ": true\r\n"} {
			t.Run(line+" "+header, func(t *testing.T) {
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
					_, _ = io.WriteString(c, line+"\r\n"+header+"Content-Length: 2\r\n\r\nok")
					_, _ = io.Copy(io.Discard, c)
				}()
				client := NewClient(time.Second, 1<<20)
				defer client.Close()
				_, err = client.Call(context.Background(), Call{Address: listener.Addr().String(), Key: "k", Request: &step.ToolRequest{Method: "POST", Path: "/x"}})
				is.True(errors.Is(err, ErrUnknown))
			})
		}
	}
}
