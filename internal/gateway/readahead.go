package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"foxhall/internal/buffer"
)

const (
	// slowCallerDelay is how long a write to a caller may take before the replica's stream is read
	// ahead of the caller. A replica cuts off a response that is not read for some seconds.
	slowCallerDelay = 100 * time.Millisecond
	// fullBufferDelay is the pause of the reading while the memory budget is exhausted.
	fullBufferDelay = 50 * time.Millisecond
)

// readAhead reads a replica's stream. While the caller reads as fast as the replica sends, it passes
// reads on. Once a write to the caller takes too long, it reads on in the background and buffers
// what arrives, within the memory budget.
//
// It prevents the following failure: a caller reads slowly, the replica's stream waits for it, and
// the replica cuts off the response.
type readAhead struct {
	ctx  context.Context
	body io.Reader
	hold *buffer.Hold
	// onRead is called for each part that was read in the background.
	onRead func()
	stop   chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	// writing is true during a write to the caller, ahead once the background reading has begun.
	writing, ahead bool
	parts          [][]byte
	err            error
	done           chan struct{}
}

// newReadAhead returns the reader of a body that can be read until ctx ends.
func newReadAhead(ctx context.Context, body io.Reader, hold *buffer.Hold, onRead func()) *readAhead {
	r := &readAhead{ctx: ctx, body: body, hold: hold, onRead: onRead, stop: make(chan struct{}), done: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Read implements io.Reader. It must not be called during a write to the caller.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.ahead {
		r.mu.Unlock()
		return r.body.Read(p)
	}
	defer r.mu.Unlock()
	for len(r.parts) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.parts) == 0 || r.isCut() {
		return 0, r.err
	}
	n := copy(p, r.parts[0])
	if r.parts[0] = r.parts[0][n:]; len(r.parts[0]) == 0 {
		r.parts = r.parts[1:]
	}
	r.hold.Shrink(buffer.Stream, n)
	return n, nil
}

// isCut reports whether ctx ended the stream, so that the rest of what is buffered would only delay the end of
// the call; the lock is held. A stream that has come to its end is read to the last byte.
func (r *readAhead) isCut() bool { return r.err != nil && r.err != io.EOF && r.ctx.Err() != nil }

// duringWrite runs a write to the caller, and begins to read ahead if it takes too long.
func (r *readAhead) duringWrite(write func() error) error {
	r.setWriting(true)
	timer := time.AfterFunc(slowCallerDelay, r.begin)
	defer timer.Stop()
	defer r.setWriting(false)
	return write()
}

func (r *readAhead) setWriting(writing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = writing
}

func (r *readAhead) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writing && !r.ahead {
		r.ahead = true
		go r.run()
	}
}

// run reads until the stream ends or breaks.
func (r *readAhead) run() {
	defer close(r.done)
	buffered := make([]byte, readBufferSize)
	for {
		n, err := r.body.Read(buffered)
		if n > 0 {
			r.onRead()
			if !r.awaitRoom(n) {
				return
			}
		}
		r.mu.Lock()
		if n > 0 {
			r.parts = append(r.parts, append([]byte(nil), buffered[:n]...))
		}
		r.err = err
		r.changed.Signal()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until the budget has room for n bytes. It returns false if the stream is no longer
// wanted.
func (r *readAhead) awaitRoom(n int) bool {
	for r.hold.Grow(buffer.Stream, n) != nil {
		select {
		case <-time.After(fullBufferDelay):
		case <-r.stop:
			return false
		}
	}
	return true
}

// close ends the background reading, if it has begun. interrupt must make a blocked read of the
// stream return.
func (r *readAhead) close(interrupt func()) {
	r.mu.Lock()
	ahead := r.ahead
	r.ahead = true // no reading begins from now on
	r.mu.Unlock()
	if ahead {
		close(r.stop)
		interrupt()
		<-r.done
	}
}
