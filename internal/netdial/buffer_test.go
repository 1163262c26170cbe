package netdial

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a peer that fills the instance's memory with bytes that are never read, which the
// kernel holds for it on each connection.
func TestUnreadBytesAreBounded(t *testing.T) {
	const limit = 64 << 10
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	receiver, err := Dial(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer receiver.Close()
	LimitReceiveBuffer(receiver, limit)
	sender, err := listener.Accept()
	is.NoErr(err)
	defer sender.Close()
	const sendBuffer = 64 << 10
	is.NoErr(sender.(*net.TCPConn).SetWriteBuffer(sendBuffer))

	// The kernel enlarges the buffer of a connection that is read fast.
	const readFirst = 64 << 20
	go func() { _, _ = io.CopyN(io.Discard, receiver, readFirst) }()
	_, err = sender.Write(make([]byte, readFirst))
	is.NoErr(err)

	// Once the receiver's buffer is full, a write blocks until its deadline.
	sent, part := 0, make([]byte, 16<<10)
	for err == nil {
		is.NoErr(sender.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
		var n int
		n, err = sender.Write(part)
		sent += n
	}
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	t.Logf("%d KB sent", sent>>10)
	// The kernel doubles what it is asked for, and a window that it has offered stays.
	is.True(sent <= 2*sendBuffer+4*limit)
}
