package owner

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// flight is one step in flight. It runs in its own goroutine and is followed by its first caller
// and by the repeated calls that joined it. It is cancelled when the last caller leaves, unless its
// call may not be repeated and is about to be sent: then it runs to its end.
type flight struct {
	id   program.ID
	head program.StepIdentity
	call step.Call
	// deadline is the time at which the step is ended.
	deadline time.Time
	cancel   context.CancelFunc

	mu        sync.Mutex
	callers   int
	cancelled bool
	// detached indicates that the flight continues without callers.
	detached bool
	// began is set once the upstream's response starts to stream.
	began  *step.Result
	chunks [][]byte
	// released is the number of chunks that may be passed to callers.
	released int
	// finishSeen indicates that the chunk with the finish reason has arrived; it and all later
	// chunks are held back.
	finishSeen bool
	ended      bool
	result     step.Result
	// signals holds one channel of capacity 1 for each caller.
	signals []chan struct{}
}

// errAbandoned is returned to the executor if no caller waits for the response.
var errAbandoned = errors.New("owner: all callers of the step have disconnected")

// join adds a caller and returns its signal, or nil if the flight was cancelled because all earlier
// callers have left.
func (f *flight) join() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return nil
	}
	f.callers++
	signal := make(chan struct{}, 1)
	signal <- struct{}{}
	f.signals = append(f.signals, signal)
	return signal
}

// removeCaller removes a caller. It cancels the flight if that was the last caller and the flight
// is neither detached nor ended.
func (f *flight) removeCaller(signal chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers--
	f.signals = slices.DeleteFunc(f.signals, func(other chan struct{}) bool { return other == signal })
	if f.callers == 0 && !f.detached && !f.ended {
		f.cancelled = true
		f.cancel()
	}
}

// detach lets the flight continue without callers, and reports false if it was cancelled before.
func (f *flight) detach() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detached = !f.cancelled
	return f.detached
}

// Begin implements step.Sink for the executor.
func (f *flight) Begin(r step.Result) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return errAbandoned
	}
	f.began = &r
	f.notify()
	return nil
}

// Chunk implements step.Sink for the executor. It holds back the latest chunk, and everything from
// the chunk with the finish reason on, so that no caller takes the response for complete before its
// turn is durable.
func (f *flight) Chunk(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return errAbandoned
	}
	if !f.finishSeen {
		f.released = len(f.chunks)
	}
	f.finishSeen = f.finishSeen || hasFinishReason(data)
	f.chunks = append(f.chunks, bytes.Clone(data))
	f.notify()
	return nil
}

var finishReasonKey = []byte(`"finish_reason"`)

// hasFinishReason reports whether a chunk of the chat API holds a finish_reason other than null.
// Text in a JSON string can't match, since its quotes are escaped.
func hasFinishReason(data []byte) bool {
	for {
		_, rest, found := bytes.Cut(data, finishReasonKey)
		if !found {
			return false
		}
		rest = bytes.TrimLeft(rest, " \t\r\n:")
		if bytes.HasPrefix(rest, []byte(`"`)) {
			return true
		}
		data = rest
	}
}

// finish ends the flight. The chunks held back are released only if the step is done.
func (f *flight) finish(r step.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result, f.ended = r, true
	if r.Outcome == step.Done {
		f.released = len(f.chunks)
	}
	f.notify()
	f.cancel()
}

// notify wakes the callers. The lock is held.
func (f *flight) notify() {
	for _, signal := range f.signals {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// view is the part of a flight that a caller may have at present. chunks are those released since
// the caller's previous view.
type view struct {
	began  *step.Result
	chunks [][]byte
	ended  bool
	result step.Result
}

// view returns the flight's state with the released chunks from index from on.
func (f *flight) view(from int) view {
	f.mu.Lock()
	defer f.mu.Unlock()
	return view{began: f.began, chunks: f.chunks[from:f.released], ended: f.ended, result: f.result}
}

// follow passes the response to a caller as it arrives, until the flight or ctx ends.
func (f *flight) follow(ctx context.Context, signal chan struct{}, sink step.Sink) step.Result {
	defer f.removeCaller(signal)
	delivered, begun := 0, false
	for {
		select {
		case <-ctx.Done():
			return f.abandonedResult(ctx)
		case <-signal:
		}
		v := f.view(delivered)
		if sink != nil && v.began != nil {
			if !begun && sink.Begin(*v.began) != nil {
				return f.abandonedResult(ctx)
			}
			begun = true
			if !forwardChunks(sink, v.chunks) {
				return f.abandonedResult(ctx)
			}
			delivered += len(v.chunks)
		}
		if v.ended {
			return withoutStreamedBody(v.result, begun)
		}
	}
}

func forwardChunks(sink step.Sink, chunks [][]byte) bool {
	for _, chunk := range chunks {
		if sink.Chunk(chunk) != nil {
			return false
		}
	}
	return true
}

// abandonedResult is the result for a caller that stopped waiting; the step may continue to run.
func (f *flight) abandonedResult(ctx context.Context) step.Result {
	r := step.Result{
		Outcome: step.Unknown,
		Program: f.id,
		Number:  f.head.Number,
		Status:  statusClientClosed,
		Code:    step.CodeCancelled,
		Message: "the caller went away before the step ended",
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Status, r.Code = statusTimeout, step.CodeDeadline
		r.Message = "the caller's deadline passed before the step ended"
	}
	return r
}

// withoutStreamedBody removes the body of a response that was streamed to the caller.
func withoutStreamedBody(r step.Result, streamed bool) step.Result {
	if streamed && r.Outcome == step.Done {
		r.Body = nil
	}
	return r
}

// flightCount counts the steps in flight, for a planned stop.
type flightCount struct {
	count  atomic.Int64
	closed atomic.Bool
	// idle receives a value when the last step ends after the count was closed.
	idle chan struct{}
}

// begin counts a step, or reports false if no new step may start. It increments the count before it
// reads closed, and close sets closed before it reads the count, so that close misses no step.
func (c *flightCount) begin() bool {
	c.count.Add(1)
	if !c.closed.Load() {
		return true
	}
	c.end()
	return false
}

func (c *flightCount) end() {
	if c.count.Add(-1) > 0 || !c.closed.Load() {
		return
	}
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// close prevents new steps from starting and returns when none is in flight.
func (c *flightCount) close(ctx context.Context) error {
	c.closed.Store(true)
	for c.count.Load() > 0 {
		select {
		case <-c.idle:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "owner: steps still in flight")
		}
	}
	return nil
}
