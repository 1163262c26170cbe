package tool

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/step"
)

// Guards against a part of an answer that is taken for a step's result: the service resets the connection within
// a body without a length, and the writing of the call's own body takes the error.
func TestResetDuringTheCallsBodyIsNotTheEndOfItsAnswer(t *testing.T) {
	for range 20 {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(3 * time.Millisecond) // a reset drops what the caller has not received
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}()
		client := NewClient(time.Second, 1<<20)
		_, err = client.Call(context.Background(), Call{
			Address: listener.Addr().String(), Key: "k", Request: &step.ToolRequest{Method: "POST", Path: "/x", Body: bytes.Repeat([]byte("x"), 32<<20)},
		})
		is.True(errors.Is(err, ErrUnknown))
		listener.Close()
		client.Close()
	}
}
