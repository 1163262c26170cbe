package peerload

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// maxReadFailures is the number of failed reads in a row after which a socket counts as broken, and
	// readRetryDelay the time between two of them.
	maxReadFailures = 100
	readRetryDelay  = 10 * time.Millisecond
	// readLogInterval is the least time between two log lines on failed reads.
	readLogInterval = time.Minute
)

// datagramReader is the part of a socket that receives.
type datagramReader interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
}

// readFailures are the failed reads of a socket.
type readFailures struct {
	logger   log.Interface
	count    int
	loggedAt time.Time
}

// add records a failed read, and waits before the next one. It returns an error if the socket is broken.
func (f *readFailures) add(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "receive datagrams")
	}
	if now := time.Now(); now.Sub(f.loggedAt) >= readLogInterval {
		f.loggedAt = now
		f.logger.WithError(err).Warn("datagram can't be received; will retry")
	}
	if !isOfOneDatagram(err) {
		f.count++
	}
	if f.count >= maxReadFailures {
		return errors.Wrap(err, "receive datagrams")
	}
	time.Sleep(readRetryDelay)
	return nil
}

// isOfOneDatagram reports whether an error is that of one datagram, sent or received, rather than of the socket.
func isOfOneDatagram(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) ||
		errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EMSGSIZE)
}
