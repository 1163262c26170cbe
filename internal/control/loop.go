package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// DefaultCapacity is the default number of events that may wait.
	DefaultCapacity = 1024
	// maxBatch bounds the events applied between two snapshots: a burst costs one
	// snapshot, and a flood can't delay the next snapshot.
	maxBatch = 256
	// loopSampleSize is the number of loop times in the histogram's sample.
	loopSampleSize = 1028
	// loopAlpha weights that sample towards the last five minutes.
	loopAlpha = 0.015
)

// ErrShed indicates that an event was dropped because the mailboxes were full of
// events of the same or higher classes. The next event of its key replaces it.
var ErrShed = errors.New("control: event shed")

// Loop owns the control state and applies events to it on one goroutine.
type Loop struct {
	mu        sync.Mutex // guards mailboxes, waiting and changed
	mailboxes [classCount]*mailbox
	waiting   int
	changed   chan struct{}
	capacity  int

	wake      chan struct{}
	snapshot  atomic.Pointer[Snapshot]
	queue     metrics.Gauge
	loopTime  metrics.Histogram
	applied   metrics.Counter
	coalesced metrics.Counter
	shed      [classCount]metrics.Counter
}

// NewLoop returns a loop in which up to capacity events may wait. It registers the
// metrics control.queue (events waiting), control.loop_us (microseconds to apply a
// batch and publish the snapshot), control.events, control.coalesced and
// control.shed.<class>.
func NewLoop(capacity int, registry metrics.Registry) *Loop {
	sample := metrics.NewExpDecaySample(loopSampleSize, loopAlpha)
	l := &Loop{
		capacity:  capacity,
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		queue:     metrics.GetOrRegisterGauge("control.queue", registry),
		loopTime:  metrics.GetOrRegisterHistogram("control.loop_us", registry, sample),
		applied:   metrics.GetOrRegisterCounter("control.events", registry),
		coalesced: metrics.GetOrRegisterCounter("control.coalesced", registry),
	}
	for c := range classCount {
		l.mailboxes[c] = newMailbox()
		l.shed[c] = metrics.GetOrRegisterCounter("control.shed."+c.String(), registry)
	}
	l.snapshot.Store(&Snapshot{})
	return l
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Post queues an event for the loop. It never blocks.
//
// It guards against this failure: a flood, such as hundreds of load reports after
// a network partition, fills the queue, and a lease or a configuration version
// waits behind it or is dropped. Each class has its own mailbox, a newer event
// replaces a waiting one of its key, and at capacity the longest-waiting event of
// the lowest class is shed. Since the source of every kind of event posts it
// again, shedding delays the state that an event carries but does not lose it.
func (l *Loop) Post(e Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mailboxes[e.Class()].replace(e) {
		l.coalesced.Inc(1)
		return nil
	}
	if l.waiting >= l.capacity && !l.shedBelow(e.Class()) {
		l.shed[e.Class()].Inc(1)
		return ErrShed
	}
	l.mailboxes[e.Class()].add(e)
	l.waiting++
	l.queue.Update(int64(l.waiting))
	l.wakeUp()
	return nil
}

// shedBelow drops the longest-waiting event of the lowest class that has one, if
// that class is below the arriving event's, and reports whether it dropped one.
func (l *Loop) shedBelow(arriving Class) bool {
	for c := range arriving {
		if l.mailboxes[c].len() > 0 {
			l.mailboxes[c].pop()
			l.waiting--
			l.shed[c].Inc(1)
			return true
		}
	}
	return false
}

func (l *Loop) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		for batch := l.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = l.nextBatch() {
			l.apply(batch)
		}
	}
}

// nextBatch removes and returns the next batch, the highest class first.
func (l *Loop) nextBatch() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []Event
	for c := classCount - 1; c >= 0; c-- {
		for l.mailboxes[c].len() > 0 && len(batch) < maxBatch {
			batch = append(batch, l.mailboxes[c].pop())
		}
	}
	l.waiting -= len(batch)
	l.queue.Update(int64(l.waiting))
	return batch
}

func (l *Loop) apply(batch []Event) {
	started := time.Now()
	next := *l.snapshot.Load()
	for _, e := range batch {
		e.Apply(&next)
	}
	next.Sequence++
	l.snapshot.Store(&next)
	l.applied.Inc(int64(len(batch)))
	l.loopTime.Update(time.Since(started).Microseconds())
	l.notifyWaiters()
}

func (l *Loop) notifyWaiters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Wait waits for a snapshot with a sequence number above after and returns the
// newest one. It serves reconcilers that act when the state changes.
func (l *Loop) Wait(ctx context.Context, after uint64) (*Snapshot, error) {
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		if s := l.Snapshot(); s.Sequence > after {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}
