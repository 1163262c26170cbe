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

// flight is one step under way. It runs apart from its callers: the first one
// and the repeats that joined it each follow it, and it goes on as long as one
// of them does, or to its end once a call that may not be repeated is sent.
type flight struct {
	id   program.ID
	head program.StepIdentity
	call step.Call
	// deadline is when the step is ended.
	deadline time.Time
	cancel   context.CancelFunc

	mu        sync.Mutex
	callers   int
	cancelled bool
	// sent says that the flight no longer ends with its callers.
	detached bool
	// began is set once the upstream's answer starts to stream.
	began  *step.Result
	chunks [][]byte
	// released is the number of chunks that callers may have.
	released int
	// ending says that the answer's end has come and is held back.
	finishSeen bool
	ended      bool
	result     step.Result
	// signals has one channel of capacity 1 for each caller.
	signals []chan struct{}
}

// errAbandoned tells the executor that nobody waits for the answer.
var errAbandoned = errors.New("owner: all callers are gone")

// join adds a caller and returns its signal, or nil where the flight is being
// cancelled since all callers before it have gone.
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

// leave takes a caller out; the last one cancels what nobody waits for.
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

// commit makes the flight go on without callers, and reports false where it
// was cancelled before.
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

// Chunk implements step.Sink for the executor. The last chunk so far is always
// held back, and everything from the one that tells why the answer ended, so
// that no caller takes an answer for whole before its turn is durable.
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

// tellsEnd reports whether a chunk of the chat API holds a finish_reason other
// than null. Inside a string the quotes would be escaped.
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

// finish ends the flight. The chunks held back are given out only where the
// step is done.
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

// signal wakes the callers. The lock is held.
func (f *flight) notify() {
	for _, signal := range f.signals {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// view is what a caller can have of a flight now.
type view struct {
	began  *step.Result
	chunks [][]byte
	ended  bool
	result step.Result
}

func (f *flight) view(from int) view {
	f.mu.Lock()
	defer f.mu.Unlock()
	return view{began: f.began, chunks: f.chunks[from:f.released], ended: f.ended, result: f.result}
}

// follow gives a caller the answer as it comes, until the flight or ctx ends.
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

// abandoned is what a caller gets that no longer waits: the step may run on.
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

// forCaller leaves the body out where the answer was streamed.
func withoutStreamedBody(r step.Result, streamed bool) step.Result {
	if streamed && r.Outcome == step.Done {
		r.Body = nil
	}
	return r
}

// flightCount counts the steps under way, for the planned stop.
type flightCount struct {
	count  atomic.Int64
	closed atomic.Bool
	// idle gets a value when the last step ends after the count was closed.
	idle chan struct{}
}

// begin counts a step, or reports false where no new step may start. It counts
// first and looks then, and close does the reverse, so that no step slips
// through between them.
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

// close lets no new step start and returns when none is under way.
func (c *flightCount) close(ctx context.Context) error {
	c.closed.Store(true)
	for c.count.Load() > 0 {
		select {
		case <-c.idle:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "owner: steps are still under way")
		}
	}
	return nil
}
