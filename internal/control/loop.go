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
	// DefaultCapacity is the number of events that may wait.
	DefaultCapacity = 1024
	// batchLimit bounds the events applied between two snapshots, so that one
	// snapshot serves a burst and a flood can't hold the next one back.
	maxBatch = 256
	// loopSample is the number of loop times kept for the histogram.
	loopSampleSize = 1028
	// loopAlpha weighs that sample towards the last five minutes.
	loopAlpha = 0.015
)

// ErrShed says that the mailboxes were full of events at least as important
// and this one was dropped. The next event of its key makes it good.
var ErrShed = errors.New("control: event shed")

// Loop is the control goroutine's state.
type Loop struct {
	mu        sync.Mutex // guards boxes, waiting and changed
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

// NewLoop returns a loop that lets capacity events wait and registers its metrics:
// control.queue (events waiting), control.loop_us (microseconds to apply a
// batch and publish), control.events, control.coalesced and
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

// Post hands an event to the loop. It never blocks.
//
// The failure it guards against: a flood, such as hundreds of load reports
// after a partition heals, fills the queue and a lease or a version in force
// waits behind it or is lost. Each class waits apart, a newer event replaces a
// waiting one of its key, and when all is full the longest-waiting event of the
// least important class goes. Since every kind of event is posted again by its
// source, a shed one delays the state it carries and loses nothing.
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

// makeRoom drops the longest-waiting event of the least important class that
// has one, if that class is below the arriving event's.
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

// take removes the next batch, the most important class first.
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

// Wait returns the first snapshot after a sequence number, for reconcilers
// that act when the state changes.
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
