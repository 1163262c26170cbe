package netdial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stallTime is how long the reader of a test reads nothing: several times userTimeout.
const stallTime = 3 * userTimeout

// Guards against a caller that reads slowly and whose answer is cut: it reads nothing for a while, so that
// the bytes that its kernel can't take wait at the sender, and must get all of them in the end.
func TestSlowReaderGetsEverything(t *testing.T) {
	is := is.New(t)
	listener, err := ListenForCallers(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	reader, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer reader.Close()
	is.NoErr(reader.(*net.TCPConn).SetReadBuffer(64 << 10))
	sender, err := listener.Accept()
	is.NoErr(err)
	const size = 8 << 20
	sent := make(chan error, 1)
	go func() {
		_, err := sender.Write(make([]byte, size))
		sender.Close()
		sent <- err
	}()
	time.Sleep(stallTime)
	n, err := io.Copy(io.Discard, reader)
	is.NoErr(err)
	is.NoErr(<-sent)
	is.Equal(n, int64(size))
}
