package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

const (
	// downPoll is how often the appender looks whether the store is back;
	// it costs no call, since the store's own probe finds out.
	downPollInterval = 50 * time.Millisecond
	// repeatWait is the wait before a write or read-back is tried again.
	retryDelay = 20 * time.Millisecond
)

// batch is what goes into one entry.
type batch struct {
	requests []*request
	entry    Entry
	value    []byte
}

// run is the appender: it creates the cohort's object and then writes batch
// after batch until the log is closed or sealed.
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

// create makes the cohort's object before the first entry, so that whoever
// reconciles the cohorts finds every log that can hold records.
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
		l.log.WithError(err).Warn("cohort not created yet")
		l.refuseQueue()
		l.pause(retryDelay)
	}
	return false
}

// findMoved returns what is left of this cohort if its log was sealed, adopted
// and deleted before the creation of its object took effect, and takes the
// object away again.
//
// The failure: an owner is paused at its start and taken over. Its creation,
// late or made again, brings back an object that says the log begins, so that
// the owner and the successor both own its programs.
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

// waitForWork returns true once there is something to write and the store is
// not known to be down, and false when the log is closed or sealed.
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

// take moves what fits into one entry out of the queue: first what peers hold,
// since a program's later records may build on it. A seal goes alone.
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

// found is what stands under an entry's number.
type writeOutcome uint8

const (
	outcomeNotWritten writeOutcome = iota
	outcomeWritten
	outcomeNumberTaken
	outcomeUnknown
)

// write puts one entry and tells its callers the outcome. A lost answer is
// settled by reading the entry back before anybody is told anything: told
// "written" wrongly, a step would be sent that a successor doesn't know of;
// told "not written" wrongly, a step would be answered "not run" and stand in
// the log. Repeating the put is safe, since the same bytes under the same
// number take effect once.
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

func (l *Log) put(b *batch) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.options.WriteTimeout)
	defer cancel()
	started := time.Now()
	_, err := l.options.Store.Put(ctx, EntryKey(l.options.Cohort, b.entry.Number), b.value, 0)
	l.meters.writeTime.Update(time.Since(started).Microseconds())
	return err
}

// settle reads the entry's number back until it knows what stands there. While
// it can't, everybody who can be told something true is told it.
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
	l.log.WithError(err).WithField("entry", object.Key.String()).Warn("entry number taken by another writer")
	return outcomeNumberTaken, entry
}

// commit tells the callers of a batch that is in the log.
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

// dropHeld forgets the batch's held requests and lets the peers forget them.
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

// endQueue ends all that wait. The lock is held.
func (l *Log) failQueue(err error) {
	for _, r := range l.queue {
		l.discard(r)
		r.complete(err)
	}
	l.queue = nil
}

// fence ends the log for its owner: b's number holds another writer's entry,
// which only the seal can be. What peers hold is offered to the successors.
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

// giveUp ends a batch when the log is closed. unsure says that a write of it
// may have taken effect.
func (l *Log) abortBatch(b *batch, mayBeWritten bool) {
	outcome := ErrClosed
	if mayBeWritten {
		outcome = ErrUnsettled
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range b.requests {
		r.complete(outcome)
	}
}

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
