package output

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/output/outputpb"
)

const (
	// maxEndedBytes bounds the memory, in bytes, for the output of attempts that have ended. The oldest ones give way.
	maxEndedBytes = 8 << 20
	// askTimeout bounds the wait for other instances' answers. It is a few times the round trip between distant data
	// centres.
	askTimeout = 400 * time.Millisecond
)

// Peers reaches the other instances.
type Peers interface {
	// Outputs returns a client of the named instance; false if there is none or it can't be reached.
	Outputs(instance string) (outputpb.Outputs, bool)
}

// Registry holds the output of this instance's attempts, and finds that of others. It is safe for concurrent use.
type Registry struct {
	// self is the name of this instance.
	self    string
	peers   Peers
	buffers *buffer.Budget
	logger  log.Interface

	mu      sync.Mutex
	records map[Key]*Record
	// ended are the records of attempts that have ended, in the order of their ends, and endedBytes their memory.
	ended      *list.List
	endedBytes int

	found          [Ambiguous + 1]metrics.Counter
	asked, evicted metrics.Counter
}

// NewRegistry returns a registry without records. The memory of its records counts in the budget.
func NewRegistry(self string, peers Peers, buffers *buffer.Budget, logger log.Interface, registry metrics.Registry) *Registry {
	r := &Registry{
		self: self, peers: peers, buffers: buffers, logger: logger, records: map[Key]*Record{}, ended: list.New(),
		asked:   metrics.GetOrRegisterCounter("turns.output.asked", registry),
		evicted: metrics.GetOrRegisterCounter("turns.output.evicted", registry),
	}
	for s := range r.found {
		r.found[s] = metrics.GetOrRegisterCounter("turns.output.resumed."+Source(s).String(), registry)
	}
	_ = registry.Register("turns.output.records", metrics.NewFunctionalGauge(func() int64 { return int64(r.Len()) }))
	return r
}

// Self returns the name of this instance, by which keepers list its attempts.
func (r *Registry) Self() string { return r.self }

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Begin begins the record of an attempt, which is held for life at least, if there is room. after is the ID of the last
// event that the caller has. If there is a record of the same ID, Begin returns nil, and neither attempt can be resumed:
// nothing tells which of them the caller has read.
func (r *Registry) Begin(key Key, after string, life time.Duration) *Record {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked(now)
	if present := r.records[key]; present != nil {
		present.contested = true
		return nil
	}
	record := &Record{registry: r, key: key, expires: now.Add(life), size: recordOverhead}
	if after == "" {
		record.root = key.Call
	}
	r.records[key] = record
	return record
}

func (r *Registry) end(record *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.hold = r.buffers.NewHold()
	if record.hold.Grow(buffer.Resumable, record.size) != nil {
		delete(r.records, record.key)
		r.evicted.Inc(1)
		return
	}
	record.element = r.ended.PushBack(record)
	r.endedBytes += record.size
	for r.endedBytes > maxEndedBytes {
		r.removeOldestLocked()
		r.evicted.Inc(1)
	}
}

// expireLocked removes the oldest records that have expired; the lock is held.
func (r *Registry) expireLocked(now time.Time) {
	for front := r.ended.Front(); front != nil && now.After(front.Value.(*Record).expires); front = r.ended.Front() {
		r.removeOldestLocked()
	}
}

// removeOldestLocked removes the record that ended first; the lock is held.
func (r *Registry) removeOldestLocked() {
	record := r.ended.Remove(r.ended.Front()).(*Record)
	r.endedBytes -= record.size
	record.hold.Release()
	delete(r.records, record.key)
}

// lookup returns what this instance holds of attempts, by their calls.
func (r *Registry) lookup(customer, program, after string, calls []string) map[string]*Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := map[string]*Answer{}
	for _, call := range calls {
		if record := r.records[Key{customer, program, call}]; record != nil {
			answers[call] = record.answer(after)
		}
	}
	return answers
}

// Resolve finds the events that the caller of a resumed turn has. attempts are those that the program's keeper lists;
// complete is set if none is missing that the caller may have left.
func (r *Registry) Resolve(ctx context.Context, q Question, attempts []Attempt, complete bool) Resolution {
	result := Resolution{Source: Unknown}
	if complete {
		result = resolve(&q, attempts, r.ask(ctx, &q, attempts))
	}
	r.found[result.Source].Inc(1)
	return result
}

// ask asks all instances that made attempts at the turn, at the same time.
func (r *Registry) ask(ctx context.Context, q *Question, attempts []Attempt) map[string]*Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	calls := map[string][]string{}
	for _, a := range attempts {
		if a.Line == q.Attempt.Line && a.Call != q.Attempt.Call {
			calls[a.Entry] = append(calls[a.Entry], a.Call)
		}
	}
	answers := make(chan map[string]*Answer, len(calls))
	for entry, ids := range calls {
		if entry == r.self {
			answers <- r.lookup(q.Customer, q.Program, q.Attempt.After, ids)
			continue
		}
		go func() { answers <- r.askInstance(ctx, entry, q, ids) }()
	}
	all := map[string]*Answer{}
	for range calls {
		for call, answer := range <-answers {
			all[call] = answer
		}
	}
	return all
}
