package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"foxhall/internal/program"
)

// Log is the log of this incarnation's cohort. One goroutine writes it, one
// entry at a time, each with the records of all callers that came meanwhile.
type Log struct {
	options Options
	log     log.Interface
	limiter *rate.Limiter
	meters  meters

	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	appenderWake chan struct{}
	// compact wakes the compaction after a commit.
	compactWake chan struct{}
	background  sync.WaitGroup

	// Only the appender uses these.
	next  uint64
	proof existenceProof

	mu       sync.Mutex
	sequence uint64
	queue    []*request
	// held are requests whose callers rely on peers' copies, in order.
	held    []*request
	pending int
	created bool
	// suspended says that the appender can't settle its write at present.
	suspended bool
	// sealing says that the own seal is on its way. A record accepted now
	// would come after it: held by peers for a log that has ended, and not
	// looked for, since a planned seal promises that nothing is left.
	sealing bool
	fenced  bool
	seal    *Seal
	// sealNumber is the number of the seal's entry.
	sealNumber uint64
	closed     bool
	index      index
}

// requestState tells where a request stands.
type requestState uint8

const (
	// The zero state says that the request is in no entry yet.
	_ requestState = iota
	// writing says that the request is in an entry that is being written.
	writing
	// finished says that the caller was told the outcome.
	finished
)

// request is one caller's records on their way into the log.
type request struct {
	records []Record
	seal    *Seal
	size    int
	mayHold bool
	isHeld  bool
	state   requestState
	outcome chan error
}

// errHold tells a caller of AppendOrHold to give its records to the holders.
var errHoldByPeers = errors.New("ledger: hold")

// Open starts the log of a new cohort. The cohort's object is created in the
// background, so that an instance starts while the object API is down; until
// then the log is not available.
func Open(ctx context.Context, o Options) (*Log, error) {
	o = o.withDefaults()
	if o.Cohort == "" || o.Store == nil {
		return nil, errors.New("ledger: cohort and store are required")
	}
	l := &Log{
		options:      o,
		log:          o.Logger.WithField("cohort", string(o.Cohort)),
		limiter:      rate.NewLimiter(rate.Limit(o.Writes), max(1, int(o.Writes/burstDivisor))),
		meters:       newMeters(o.Registry),
		done:         make(chan struct{}),
		appenderWake: make(chan struct{}, 1),
		compactWake:  make(chan struct{}, 1),
		next:         1,
		index:        newIndex(),
	}
	l.ctx, l.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go l.run()
	if o.Snapshots != nil {
		l.background.Go(l.compactLoop)
	}
	return l, nil
}

// paceBurstShare is the part of a second whose writes may come in a burst, so
// that a lone append after a quiet time doesn't wait.
const burstDivisor = 4

// Cohort returns the cohort whose log this is.
func (l *Log) Cohort() program.Cohort { return l.options.Cohort }

// Available reports whether an append would be tried now.
func (l *Log) Available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.created && !l.fenced && !l.closed && !l.suspended && !l.options.Store.Down()
}

// Created reports whether the cohort's object was made. Until then others know
// of the cohort only from membership.
func (l *Log) Created() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.created
}

// Holding reports whether this owner relies on peers' copies, or may in a
// moment. An instance tells it with its heartbeat (ownership.Dead.StoreDown):
// it may be the only one that is cut off from the object API.
func (l *Log) Holding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) > 0 || l.suspended || l.options.Store.Down()
}

// Fenced reports whether the log is sealed, and the seal and its number where
// they are known.
func (l *Log) Fenced() (*Seal, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seal, l.sealNumber, l.fenced
}

// Append writes the records, in order and in one entry, and returns nil once
// they are in the log. ErrUnavailable, ErrFenced, ErrTooLarge and ErrClosed say
// that they surely are not and never will be. ErrUnsettled says that ctx ended
// first and that they may be.
func (l *Log) Append(ctx context.Context, records ...Record) error {
	return l.submit(ctx, &request{records: records})
}

// AppendOrHold is Append, but while the object API is down it is content with
// copies on two peers, which are written to the log when the API is back or
// offered to the successor if a seal came first. It suits turns of history; a
// record that something is sent on needs Append.
func (l *Log) AppendOrHold(ctx context.Context, records ...Record) error {
	r := &request{records: records, mayHold: l.options.Holders != nil}
	err := l.submit(ctx, r)
	if !errors.Is(err, errHoldByPeers) {
		return err
	}
	return l.replicateToPeers(ctx, r)
}

// Seal ends the log at a planned stop, after everything that was appended
// before, and hands its slices to the successors named. It returns the seal
// and its number. The errors are those of Append.
func (l *Log) Seal(ctx context.Context, successors [program.ShardCount]program.Cohort) (*Seal, uint64, error) {
	r := &request{seal: &Seal{By: l.options.Cohort, Planned: true, At: time.Now(), Successors: successors}}
	if err := l.submit(ctx, r); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seal, l.sealNumber, nil
}

// Close ends the appender. What is queued gets ErrClosed; what is being
// written and not settled gets ErrUnsettled. The log is not sealed by it.
func (l *Log) Close() {
	l.cancel()
	<-l.done
	l.background.Wait()
}

// submit queues the request and waits for its outcome or the end of ctx.
func (l *Log) submit(ctx context.Context, r *request) error {
	r.size = sizeOf(r.records)
	if r.size > MaxBatch {
		return ErrTooLarge
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	r.outcome = make(chan error, 1)
	if err := l.enqueue(r); err != nil {
		return err
	}
	select {
	case err := <-r.outcome:
		return err
	case <-ctx.Done():
		return l.abandon(ctx, r)
	}
}

// enqueue numbers the records and queues them, or tells at once why not.
func (l *Log) enqueue(r *request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.admit(r)
	if err != nil && !errors.Is(err, errHoldByPeers) {
		return err
	}
	if err != nil {
		// Held records are written first. What was queued before has lower
		// sequences: written after them and held again in the next outage, its
		// copies would be taken for records that the log has, and be lost.
		l.refuseQueueLocked()
	}
	l.push(r)
	return err
}

// admit refuses what can't be queued. While the store is known to be down, a
// record that can't be held is refused here: waiting would only bring the same
// answer later. The lock is held.
func (l *Log) admit(r *request) error {
	down := l.suspended || l.options.Store.Down()
	switch {
	case l.closed:
		return ErrClosed
	case l.fenced:
		return ErrFenced
	case l.pending+r.size > l.options.MaxPending:
		return errors.Wrap(ErrUnavailable, "too much is pending")
	case l.sealing:
		return errors.Wrap(ErrUnavailable, "the log is being sealed")
	case down && r.mayHold:
		r.isHeld, r.state = true, finished
		return errHoldByPeers
	case down:
		return ErrUnavailable
	}
	return nil
}

// push numbers and queues an admitted request. The lock is held.
func (l *Log) push(r *request) {
	l.assignSequences(r)
	l.sealing = l.sealing || r.seal != nil
	l.pending += r.size
	if r.isHeld {
		l.held = append(l.held, r)
	} else {
		l.queue = append(l.queue, r)
	}
	l.wakeAppender()
}

// number gives the records their sequences. The slice is copied since callers
// may reuse theirs.
func (l *Log) assignSequences(r *request) {
	r.records = append([]Record(nil), r.records...)
	for i := range r.records {
		l.sequence++
		r.records[i].Sequence = l.sequence
		l.index.noteEnqueued(r.records[i])
	}
}

func (l *Log) wakeAppender() { trySignal(l.appenderWake) }

// poke wakes the goroutine that waits on a channel of one place.
func trySignal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// abandon takes a request back whose caller gives up. One that is not yet in
// an entry is surely not written.
func (l *Log) abandon(ctx context.Context, r *request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch r.state {
	case finished:
		return <-r.outcome
	case writing:
		r.state = finished
		l.meters.unsettled.Inc(1)
		return errors.Wrap(ErrUnsettled, ctx.Err().Error())
	}
	for i, other := range l.queue {
		if other == r {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	l.discard(r)
	r.state = finished
	return errors.Wrap(ErrUnavailable, ctx.Err().Error())
}

// finish tells the caller, unless it was told before. The lock is held.
func (r *request) complete(err error) {
	if r.state == finished {
		return
	}
	r.state = finished
	r.outcome <- err
}
