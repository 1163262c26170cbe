package node

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// callEnd is how a call ended whose connection was closed before its response was complete.
type callEnd uint8

const (
	// endUnread: bytes of the call had arrived, and none was read.
	endUnread callEnd = iota
	// endHeaderTimeout: a part of the header was read, and the rest did not arrive in time.
	endHeaderTimeout
	// endUnserved: the header was read, and the call was not served.
	endUnserved
	// endResponse: the response was broken off, or could not be written.
	endResponse
	// endCallerClosed: the caller closed the connection.
	endCallerClosed
	// endCallerSilent: the caller acknowledged nothing.
	endCallerSilent
	// endDeadline: a deadline for reading passed while the call was served.
	endDeadline
	// endStopped: this instance stopped.
	endStopped
	// endOther: reading from the caller failed for another reason.
	endOther
)

// String returns the name in log lines and counters.
func (e callEnd) String() string {
	return [...]string{"unread", "header_timeout", "unserved", "response", "caller_closed", "caller_silent", "deadline", "stopped", "other"}[e]
}

// isLogged reports whether the end gets a log line of its own. The gateway logs broken-off responses
// and callers that left.
func (e callEnd) isLogged() bool { return e != endResponse && e != endCallerClosed }

// callEndOf returns how a call ended that was being served, by the error of the last read from its caller.
func callEndOf(readErr error) callEnd {
	switch {
	case readErr == nil:
		return endResponse
	case errors.Is(readErr, io.EOF), errors.Is(readErr, syscall.ECONNRESET), errors.Is(readErr, syscall.EPIPE):
		return endCallerClosed
	case errors.Is(readErr, syscall.ETIMEDOUT), errors.Is(readErr, syscall.EHOSTUNREACH):
		return endCallerSilent
	case errors.Is(readErr, os.ErrDeadlineExceeded):
		return endDeadline
	case errors.Is(readErr, net.ErrClosed):
		return endStopped
	default:
		return endOther
	}
}

// callEndLogInterval is the least time between two log lines of callEnds: callers can cause any number.
const callEndLogInterval = time.Second

// callEnds counts and logs calls whose connections were closed before their responses were complete.
type callEnds struct {
	logger   log.Interface
	counters [endOther + 1]metrics.Counter

	mu       sync.Mutex
	loggedAt time.Time
	// omitted is the number of ends since the last log line.
	omitted int
}

func newCallEnds(logger log.Interface, registry metrics.Registry) *callEnds {
	e := &callEnds{logger: logger}
	for i := range e.counters {
		e.counters[i] = metrics.GetOrRegisterCounter("callers.calls."+callEnd(i).String(), registry)
	}
	return e
}

// record counts the end of a call, and logs it unless the last line was written a moment ago.
func (e *callEnds) record(end callEnd, caller net.Addr, age time.Duration, err error) {
	e.counters[end].Inc(1)
	if !end.isLogged() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.loggedAt) >= callEndLogInterval {
		e.loggedAt = now
	} else {
		e.omitted++
		return
	}
	line := e.logger.WithFields(log.Fields{"caller": caller, "end": end.String(), "ms": age.Milliseconds(), "omitted": e.omitted})
	if err != nil {
		line = line.WithError(err)
	}
	e.omitted = 0
	line.Info("connection of a caller closed before the response was complete")
}

// recordAborted records that the handler of a call that began at a time aborted its connection.
func (c *callerConn) recordAborted(began time.Time) {
	if reason := recover(); reason != nil {
		if reason == http.ErrAbortHandler {
			err := c.readError()
			c.conns.ends.record(callEndOf(err), c.RemoteAddr(), time.Since(began), err)
		}
		panic(reason)
	}
}

// hasUnreadBytes reports whether bytes wait in the kernel to be read. It is false for other than TCP
// connections.
func hasUnreadBytes(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	var peek [1]byte
	err = rc.Control(func(fd uintptr) {
		// An error of the call also means that there is nothing to read.
		unread, _, _ = unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
