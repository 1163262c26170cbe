package node

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// listenRetryInterval is the time between two attempts to open a listener.
const listenRetryInterval = 100 * time.Millisecond

// openListener opens a listener. While that fails for a reason that may pass, it tries again until ctx ends: an earlier
// process may still be ending, a connection may have been given the port as its local one, or file descriptors may be
// missing. Other errors are returned.
//
// It prevents the following failure: an instance ends by itself, or runs on without one of its listeners, so that
// others take it for lost until it is stopped.
func openListener[L io.Closer](ctx context.Context, logger log.Interface, address string, open func() (L, error)) (L, error) {
	logger = logger.WithField("address", address)
	logged := ""
	for attempt := 1; ; attempt++ {
		listener, err := open()
		if err == nil {
			if attempt > 1 {
				logger.WithField("attempts", attempt).Info("listening; the address is free")
			}
			return listener, nil
		}
		if !isAddressTaken(err) && !isLackOfResources(err) {
			return listener, err
		}
		if message := err.Error(); message != logged {
			logListenError(logger, err)
			logged = message
		}
		select {
		case <-ctx.Done():
			return listener, err
		case <-time.After(listenRetryInterval):
		}
	}
}

func logListenError(logger log.Interface, err error) {
	if isAddressTaken(err) {
		logger.WithError(err).Warn("address to listen on is not available; will retry")
		return
	}
	logger.WithError(err).Error("listener can't be opened; will retry")
}

func isAddressTaken(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

func isLackOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// latch is set once and stays so.
type latch struct {
	once sync.Once
	c    chan struct{}
}

func newLatch() *latch { return &latch{c: make(chan struct{})} }

func (l *latch) set() { l.once.Do(func() { close(l.c) }) }

func (l *latch) isSet() bool {
	select {
	case <-l.c:
		return true
	default:
		return false
	}
}
