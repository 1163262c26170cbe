package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

const (
	// downPollInterval is how often the appender checks whether the store is back. A check makes
	// no call: the store's client probes by itself.
	downPollInterval = 50 * time.Millisecond
	// retryDelay is the delay before a write or a read-back is repeated.
	retryDelay = 20 * time.Millisecond
)

// batch is the content of one entry.
type batch struct {
	requests []*request
	entry    Entry
	value    []byte
}

// run is the appender goroutine. It creates the cohort's object and then writes one batch at a
// time until the log is closed or sealed.
func (l *Log) run() {
	defer close(l.done)
	defer l.shutDown()
	if !l.createObject() {
		return
	}
	for l.waitForWork() {
		if l.limiter.Wait(l.ctx) != nil {
			return
		}
		if b := l.nextBatch(); b != nil {
			l.write(b)
		}
	}
}

// createObject creates the cohort's object before the first entry, so that reconciliation of the
// cohorts finds every log that can have records. It returns false if the log is closed or turns
// out to have been sealed.
func (l *Log) createObject() bool {
	for l.ctx.Err() == nil {
		started := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, l.options.WriteTimeout)
		err := CreateCohort(ctx, l.options.Store, Cohort{Cohort: l.options.Cohort, Address: l.options.Address, First: 1})
		var moved *Cohort
		if err == nil {
			moved, err = l.revertLateCreation(ctx)
		}
		cancel()
		if moved != nil {
			l.fence(&batch{}, moved.Seal, moved.SealNumber)
			return false
		}
		if err == nil {
			l.proof.renew(started)
			l.mu.Lock()
			l.created = true
			l.mu.Unlock()
			return true
		}
		l.log.WithError(err).Warn("cohort object not created; retrying")
		l.refuseQueue()
		l.pause(retryDelay)
	}
	return false
}

// revertLateCreation checks whether this cohort's log was sealed, adopted and deleted before the
// creation of its object took effect. If so, it deletes the object again and returns the cohort
// as kept under its moved key; otherwise it returns nil.
//
// This guards against an owner that is paused at its start and taken over. Its creation, late or
// repeated, makes an object of an unsealed log again, and the owner and the successor would both
// own the programs.
func (l *Log) revertLateCreation(ctx context.Context) (*Cohort, error) {
	object, err := l.options.Store.Get(ctx, MovedKey(l.options.Cohort))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	moved, err := DecodeCohort(object)
	if err != nil {
		return nil, err
	}
	created, err := l.options.Store.Get(ctx, CohortKey(l.options.Cohort))
	if err == nil {
		err = l.options.Store.Delete(ctx, created.Key, created.Version)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	return &moved, nil
}

// waitForWork blocks until there are records to write and the store is not known to be down. It
// returns false if the log is closed or sealed.
func (l *Log) waitForWork() bool {
	for {
		l.mu.Lock()
		fenced, work := l.fenced, len(l.queue)+len(l.held) > 0
		l.mu.Unlock()
		switch {
		case fenced || l.ctx.Err() != nil:
			return false
		case !work:
			select {
			case <-l.appenderWake:
			case <-l.ctx.Done():
			}
		case l.options.Store.Down():
			l.refuseQueue()
			l.pause(downPollInterval)
		default:
			return true
		}
	}
}

// pause waits for d, or shorter if the log is closed.
func (l *Log) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// nextBatch builds a batch of the requests that fit into one entry, or returns nil if there are
// none. Requests held by peers come first, since later records of a program may build on them. A
// seal gets an entry of its own.
func (l *Log) nextBatch() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &batch{}
	size := 0
	for _, r := range l.held {
		if size+r.size > MaxBatch {
			break
		}
		size += r.size
		b.requests = append(b.requests, r)
	}
	if len(b.requests) == len(l.held) {
		l.addQueued(b, size)
	}
	if len(b.requests) == 0 {
		return nil
	}
	b.entry = Entry{Cohort: l.options.Cohort, Number: l.next, WriteID: newWriteID()}
	for _, r := range b.requests {
		b.entry.Records = append(b.entry.Records, r.records...)
		b.entry.Seal = r.seal
	}
	b.value = EncodeEntry(b.entry)
	return b
}

// addQueued moves requests from the queue to the batch, whose size in bytes so far is given. The
// caller holds the lock.
func (l *Log) addQueued(b *batch, size int) {
	taken := 0
	for _, r := range l.queue {
		if size+r.size > MaxBatch || r.seal != nil && len(b.requests) > 0 {
			break
		}
		size += r.size
		r.state = writing
		b.requests = append(b.requests, r)
		taken++
		if r.seal != nil {
			break
		}
	}
	l.queue = append([]*request(nil), l.queue[taken:]...)
}

// writeOutcome is the outcome of writing an entry, as read back under its number.
type writeOutcome uint8

const (
	// outcomeNotWritten means that the number is free.
	outcomeNotWritten writeOutcome = iota
	// outcomeWritten means that the number has this batch's entry.
	outcomeWritten
	// outcomeNumberTaken means that the number has another writer's entry, which can only be the
	// seal.
	outcomeNumberTaken
	// outcomeUnknown means that the number could not be read.
	outcomeUnknown
)

// write puts one entry and reports the outcome to its callers. If the response is lost, the entry
// is read back before any outcome is reported. A wrong "written" would let a step be sent that a
// successor does not know of; a wrong "not written" would let a step be reported as not run
// although it is in the log. Repeating the put is safe: the same bytes under the same number take
// effect once.
func (l *Log) write(b *batch) {
	started := time.Now()
	mayBeWritten := false
	for l.ctx.Err() == nil {
		err := l.put(b)
		switch {
		case err == nil:
			l.verifyAndCommit(b, started)
			return
		case errors.Is(err, store.ErrRateLimited):
			l.pause(retryDelay)
			continue
		case errors.Is(err, store.ErrUnavailable) && !mayBeWritten:
			l.refuseBatch(b)
			return
		}
		mayBeWritten = true
		switch l.resolveOutcome(b) {
		case outcomeWritten:
			l.verifyAndCommit(b, started)
			return
		case outcomeNumberTaken:
			return
		}
	}
	l.abortBatch(b, mayBeWritten)
}

// put attempts once to create the batch's entry.
func (l *Log) put(b *batch) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.options.WriteTimeout)
	defer cancel()
	started := time.Now()
	_, err := l.options.Store.Put(ctx, EntryKey(l.options.Cohort, b.entry.Number), b.value, 0)
	l.meters.writeTime.Update(time.Since(started).Microseconds())
	return err
}

// resolveOutcome reads the entry's number back until the outcome of the write is known. While the
// store can't be read, suspend completes the requests whose callers need not wait.
func (l *Log) resolveOutcome(b *batch) writeOutcome {
	l.meters.readBacks.Inc(1)
	for l.ctx.Err() == nil {
		outcome, entry := l.readBack(b)
		switch outcome {
		case outcomeNotWritten:
			l.pause(retryDelay)
			return outcomeNotWritten
		case outcomeWritten:
			return outcomeWritten
		case outcomeNumberTaken:
			l.fence(b, entry.Seal, b.entry.Number)
			return outcomeNumberTaken
		}
		l.suspend(b)
		l.pause(downPollInterval)
	}
	return outcomeUnknown
}

// readBack reads the batch's entry number once. The entry is set if the number is used.
func (l *Log) readBack(b *batch) (writeOutcome, Entry) {
	if l.options.Store.Down() {
		return outcomeUnknown, Entry{}
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.options.WriteTimeout)
	defer cancel()
	object, err := l.options.Store.Get(ctx, EntryKey(l.options.Cohort, b.entry.Number))
	if errors.Is(err, store.ErrNotFound) {
		return outcomeNotWritten, Entry{}
	}
	if err != nil {
		return outcomeUnknown, Entry{}
	}
	entry, err := DecodeEntry(object.Value, l.options.Cohort, b.entry.Number)
	if err == nil && string(entry.WriteID) == string(b.entry.WriteID) {
		return outcomeWritten, entry
	}
	l.log.WithError(err).WithField("entry", object.Key.String()).Warn("entry number used by another writer; log accepts no more records")
	return outcomeNumberTaken, entry
}

// commit updates the log's state after a batch was written and completes its requests. started is
// when the write began.
func (l *Log) commit(b *batch, started time.Time) {
	l.proof.renew(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = b.entry.Number + 1
	l.suspended = false
	l.index.noteCommitted(b.entry, len(b.value))
	if b.entry.Seal != nil {
		l.seal, l.sealNumber, l.fenced = b.entry.Seal, b.entry.Number, true
	}
	l.dropHeld(b)
	for _, r := range b.requests {
		l.pending -= r.size
		r.complete(nil)
	}
	if b.entry.Seal != nil {
		l.failQueue(ErrFenced)
	}
	l.meters.countCommit(b)
	if l.options.Compaction.isDue(&l.index) {
		trySignal(l.compactWake)
	}
}

// dropHeld removes the batch's requests from the held ones and has the peers release their copies.
// The caller holds the lock.
func (l *Log) dropHeld(b *batch) {
	var upTo uint64
	for _, r := range b.requests {
		if !r.isHeld {
			continue
		}
		upTo = r.records[len(r.records)-1].Sequence
		for i, other := range l.held {
			if other == r {
				l.held = append(l.held[:i:i], l.held[i+1:]...)
				break
			}
		}
	}
	if upTo == 0 {
		return
	}
	l.background.Go(func() { l.options.Holders.Release(l.ctx, l.options.Cohort, upTo) })
}

// failQueue completes all queued requests with the error. The caller holds the lock.
func (l *Log) failQueue(err error) {
	for _, r := range l.queue {
		l.discard(r)
		r.complete(err)
	}
	l.queue = nil
}

// fence stops the log after the seal was found, either as another writer's entry under the number
// of b or in the cohort's object. Records held by peers are offered to the successors. The seal is
// nil if it could not be decoded.
func (l *Log) fence(b *batch, seal *Seal, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced, l.seal, l.sealNumber, l.suspended = true, seal, number, false
	for _, r := range b.requests {
		if !r.isHeld {
			l.pending -= r.size
			r.complete(ErrFenced)
		}
	}
	l.failQueue(ErrFenced)
	l.log.WithFields(log.Fields{"entry": b.entry.Number, "held": len(l.held)}).Warn("log sealed by a successor")
	if len(l.held) > 0 && l.options.Successors != nil && seal != nil {
		offer := l.heldCopy()
		l.background.Go(func() { l.offer(seal, offer) })
	}
}

// abortBatch completes the requests of a batch when the log is closed. mayBeWritten reports
// whether a write of the batch may have taken effect.
func (l *Log) abortBatch(b *batch, mayBeWritten bool) {
	outcome := ErrClosed
	if mayBeWritten {
		outcome = ErrOutcomeUnknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range b.requests {
		r.complete(outcome)
	}
}

// shutDown completes all queued requests when the appender stops.
func (l *Log) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fenced {
		l.failQueue(ErrFenced)
		return
	}
	l.closed = true
	l.failQueue(ErrClosed)
}
