package peerload

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// failingReader fails with an error for a number of reads, and is closed then.
type failingReader struct {
	err         error
	reads, left int
}

func (r *failingReader) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	if r.reads++; r.left == 0 {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	r.left--
	return 0, netip.AddrPort{}, &net.OpError{Op: "read", Err: r.err}
}

// Guards against an instance that hears nothing any more, takes a processor for it and tells no one, and against one that
// gives its socket up for a single datagram.
func TestFailedReadsEndTheExchange(t *testing.T) {
	for _, c := range []struct {
		err   error
		reads int
		end   error
	}{
		{syscall.EBADF, maxReadFailures, syscall.EBADF},
		{syscall.ECONNREFUSED, 10*maxReadFailures + 1, net.ErrClosed},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			x, _ := newTestExchange()
			logs := memory.New()
			x.logger = &log.Logger{Handler: logs}
			reader := &failingReader{err: c.err, left: 10 * maxReadFailures}
			began := time.Now()
			is.True(errors.Is(x.receive(t.Context(), reader), c.end))
			is.Equal(reader.reads, c.reads)
			is.Equal(time.Since(began), time.Duration(c.reads-1)*readRetryDelay)
			is.Equal(len(logs.Entries), 1)
		})
	}
}

// Guards against an exchange that isn't started again since it doesn't end, or since its address stays taken.
func TestBrokenSocketEndsTheExchange(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExchange()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.True(errors.Is(x.Run(t.Context(), conn), net.ErrClosed))
}
