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
	kindCount
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	return [...]string{"request", "prompt", "response", "stream"}[k]
}

// ErrFull indicates that the budget, or the part of it that one call may use, is exhausted.
var ErrFull = errors.New("buffer: memory budget for calls exhausted")

// perCallDivisor sets the part of the budget that one call may use, so that a few large calls leave
// room for all others.
const perCallDivisor = 4

// streamDivisor sets the part of the budget that streams ahead of slow callers may use, so that any
// number of slow callers leave room for requests, prompts and responses.
const streamDivisor = 2

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

// Grow takes n more bytes, or none and ErrFull.
func (h *Hold) Grow(k Kind, n int) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	size := int64(n)
	if !b.hasRoom(h, k, size) {
		b.refusals[k].Inc(1)
		return ErrFull
	}
	h.change(k, size)
	return nil
}

// hasRoom reports whether a hold may take more bytes; the lock is held.
func (b *Budget) hasRoom(h *Hold, k Kind, size int64) bool {
	switch {
	case b.limit == 0:
		return true
	case k == Stream && b.streams+size > b.limit/streamDivisor:
		return false
	default:
		return b.used+size <= b.limit && h.total+size <= b.limit/perCallDivisor
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
// costs it nothing, and must not cost the others their part of the budget.
func (h *Hold) ReadAll(k Kind, r io.Reader) ([]byte, error) {
	return io.ReadAll(&heldReader{hold: h, kind: k, reader: r})
}

type heldReader struct {
	hold   *Hold
	kind   Kind
	reader io.Reader
}

func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		if full := r.hold.Grow(r.kind, n); full != nil {
			return 0, full
		}
	}
	return n, err
}
