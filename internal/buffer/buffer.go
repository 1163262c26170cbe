// Package buffer bounds the memory that an instance holds for calls under way: request bodies,
// prompts, responses and the part of streams that callers have not read yet. It does no I/O.
package buffer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Kind is what buffered bytes are held for.
type Kind uint8

// The kinds.
const (
	// Request is the body of a call as its caller sent it.
	Request Kind = iota
	// Prompt is the chain of earlier turns that precedes a turn's input.
	Prompt
	// Response is the body of a response that is not a stream.
	Response
	// Stream is the part of a stream that the caller has not read.
	Stream
	// Event is the part of an event of a stream that has arrived, until the event is complete.
	Event
	// Output is the output of a turn, until the turn is retained.
	Output
	// Header is the part of a call's header beyond the usual size.
	Header
	// Resumable is the output of a turn that has ended, while its caller may resume it.
	Resumable
	kindCount
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [...]string{"request", "prompt", "response", "stream", "event", "output", "header", "resumable"}[k]
}

var (
	// ErrFull indicates that the budget, or the part of it that one call may use, is exhausted.
	ErrFull = errors.New("buffer: memory budget for calls exhausted")
	// ErrOversized is an ErrFull: the call would hold more than one call may, most of it bytes of the
	// kind that it asks room for.
	ErrOversized = errors.Wrap(ErrFull, "more than one call may hold")
)

// perCallDivisor sets the part of the budget that one call may use, so that a few large calls leave
// room for all others.
const perCallDivisor = 4

// streamDivisor sets the part of the budget that streams ahead of slow callers may use, so that any
// number of slow callers leave room for requests, prompts and responses.
const streamDivisor = 2

const (
	// smallDivisor sets the part of the budget up to which a call counts as small: 25 KB on an
	// instance of 128 MB.
	smallDivisor = 1024
	// reservedDivisor sets the part of the budget that is left to small calls.
	//
	// It prevents the following failure: one replica sends endless responses on each of its
	// connections, they take the whole budget, and the calls of all others are refused.
	reservedDivisor = 8
)

// Budget is the memory that all calls of an instance may hold. It is safe for concurrent use.
type Budget struct {
	limit    int64
	held     [kindCount]metrics.Gauge
	refusals [kindCount]metrics.Counter

	mu sync.Mutex
	// used is the sum over all kinds, streams that of the kind Stream.
	used, streams int64
}

// NewBudget returns a budget of limit bytes, or one without a limit for 0. Its use is registered as
// metrics by kind.
func NewBudget(limit int64, registry metrics.Registry) *Budget {
	b := &Budget{limit: limit}
	for k := range b.held {
		name := "buffer." + Kind(k).String()
		b.held[k] = metrics.GetOrRegisterGauge(name+".bytes", registry)
		b.refusals[k] = metrics.GetOrRegisterCounter(name+".refused", registry)
	}
	return b
}

// Used returns the number of bytes held at present.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is what one call holds of a budget. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	// bytes and total are guarded by the budget's lock.
	bytes [kindCount]int64
	total int64
}

// NewHold returns a hold of nothing.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Grow takes n more bytes, or none and an ErrFull.
func (h *Hold) Grow(k Kind, n int) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	size := int64(n)
	if err := b.checkRoom(h, k, size); err != nil {
		b.refusals[k].Inc(1)
		return err
	}
	h.change(k, size)
	return nil
}

// checkRoom returns nil if a hold may take more bytes; the lock is held.
func (b *Budget) checkRoom(h *Hold, k Kind, size int64) error {
	total, available := h.total+size, b.limit
	if total > b.limit/smallDivisor {
		available -= b.limit / reservedDivisor
	}
	switch {
	case b.limit == 0:
		return nil
	case total > b.limit/perCallDivisor && 2*(h.bytes[k]+size) > total:
		return ErrOversized
	case total > b.limit/perCallDivisor:
		return ErrFull
	case k == Stream && b.streams+size > b.limit/streamDivisor, b.used+size > available:
		return ErrFull
	default:
		return nil
	}
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(k Kind, n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.change(k, -min(int64(n), h.bytes[k]))
}

// Release gives all bytes back.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	for k, n := range h.bytes {
		h.change(Kind(k), -n)
	}
}

// change changes what the hold takes by n; the budget's lock is held.
func (h *Hold) change(k Kind, n int64) {
	h.bytes[k] += n
	h.total += n
	h.budget.used += n
	if k == Stream {
		h.budget.streams += n
	}
	h.budget.held[k].Update(h.budget.held[k].Value() + n)
}

// ReadAll reads r to its end. It takes the bytes as they arrive: the length that a peer announces
// costs it nothing, and must not cost the others their part of the budget. After an error nothing
// is held of them.
func (h *Hold) ReadAll(k Kind, r io.Reader) ([]byte, error) {
	held := &heldReader{hold: h, kind: k, reader: r}
	data, err := io.ReadAll(held)
	if err != nil {
		h.Shrink(k, held.size)
		return nil, err
	}
	return data, nil
}

type heldReader struct {
	hold   *Hold
	kind   Kind
	reader io.Reader
	// size is the number of bytes held.
	size int
}

func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		if full := r.hold.Grow(r.kind, n); full != nil {
			return 0, full
		}
		r.size += n
	}
	return n, err
}
