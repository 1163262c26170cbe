package netdial

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// An error of this side passes for the other side's silence, and calls leave a replica that
// runs them.
func TestOnlyTheOtherSideLeavesAConnectionUnaccepted(t *testing.T) {
	is := is.New(t)
	expired, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	_, err := Dial(expired, "tcp", "127.0.0.1:1")
	is.True(Unaccepted(err))
	for _, theirs := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		is.True(Unaccepted(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", theirs)}))
	}
	for _, ours := range []syscall.Errno{syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		is.True(!Unaccepted(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", ours)}))
	}
}
