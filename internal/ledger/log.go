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

// Log is the log of this incarnation's cohort. One goroutine writes it, one entry at a time. Each
// entry has the records of all callers that arrived during the previous write.
type Log struct {
	options Options
	log     log.Interface
	limiter *rate.Limiter
	meters  meters

	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	appenderWake chan struct{}
	// compactWake wakes the compaction after a commit.
	compactWake chan struct{}
	background  sync.WaitGroup

	// next is the number of the next entry. Only the appender uses next and proof.
	next  uint64
	proof existenceProof

	mu sync.Mutex
	// sequence is the sequence of the last record that was queued.
	sequence uint64
	queue    []*request
	// held are the requests whose callers rely on peers' copies, ordered by sequence.
	held []*request
	// pending is the size in bytes of all requests that are queued, held or being written.
	pending int
	// created reports whether the cohort's object was created.
	created bool
	// suspended reports whether the outcome of the current write can't be determined at present.
	suspended bool
	// sealing reports whether this log's own seal is queued or being written. A record accepted
	// now would follow the seal. Peers would hold it for a log that has ended, and no successor
	// would ask them for it, since a planned seal states that nothing is left to record.
	sealing bool
	fenced  bool
	seal    *Seal
	// sealNumber is the number of the seal entry.
	sealNumber uint64
	closed     bool
	index      index
}

// requestState is the state of a request.
type requestState uint8

const (
	// The zero state means that the request is in no entry yet.
	_ requestState = iota
	// writing means that the request is in an entry that is being written.
	writing
	// finished means that the outcome was reported to the caller.
	finished
)

// request is the records, or the seal, of one call that are to be written.
type request struct {
	records []Record
	seal    *Seal
	// size is an upper bound of the records' encoded size in bytes.
	size int
	// mayHold reports whether copies held by peers suffice while the object API is down, and
	// isHeld whether the request is one of Log.held.
	mayHold bool
	isHeld  bool
	state   requestState
	// outcome receives the result for the caller once.
	outcome chan error
}

// errHoldByPeers is the outcome of a request of AppendOrReplicate whose records have to be held by
// peers.
var errHoldByPeers = errors.New("ledger: records to be held by peers")

// Open starts the log of a new cohort. The cohort's object is created in the background, so that
// an instance can start while the object API is down. The log is not available until the object
// is created.
func Open(ctx context.Context, o Options) (*Log, error) {
	o = o.withDefaults()
	if o.Cohort == "" || o.Store == nil {
		return nil, errors.New("ledger: cohort and store are required")
	}
	l := &Log{
		options:      o,
		log:          o.Logger.WithField("cohort", string(o.Cohort)),
		limiter:      rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(1, int(o.WritesPerSecond/burstDivisor))),
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

// burstDivisor sets the burst of the write limiter: the writes of 1/burstDivisor of a second. A
// single append after an idle period then doesn't wait.
const burstDivisor = 4

// Cohort returns the cohort of this log.
func (l *Log) Cohort() program.Cohort { return l.options.Cohort }

// Available reports whether an append would be attempted now.
func (l *Log) Available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.created && !l.fenced && !l.closed && !l.suspended && !l.options.Store.Down()
}

// Created reports whether the cohort's object was created. Until then other instances know of the
// cohort only from membership.
func (l *Log) Created() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.created
}

// ReliesOnCopies reports whether this owner relies on peers' copies, or may start to at any moment.
// An instance reports it in its heartbeat (see ownership.Dead.StoreDown), since it may be the only
// one that can't reach the object API.
func (l *Log) ReliesOnCopies() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) > 0 || l.suspended || l.options.Store.Down()
}

// Fenced reports whether the log is sealed. It also returns the seal and its entry number where
// they are known.
func (l *Log) Fenced() (*Seal, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seal, l.sealNumber, l.fenced
}

// Append writes the records, in order and in one entry, and returns nil once they are in the log.
// After ErrUnavailable, ErrFenced, ErrTooLarge or ErrClosed they are not in the log and never will
// be. After ErrOutcomeUnknown they may be: ctx ended, or the log was closed, before the outcome was
// known.
func (l *Log) Append(ctx context.Context, records ...Record) error {
	return l.submit(ctx, &request{records: records})
}

// AppendOrReplicate is like Append, but while the object API is down it returns nil once two peers
// hold copies. The records are written to the log when the API is back, or offered to the
// successors if the log was sealed before. It is meant for turns of history; a record that must be
// in the log before something is sent needs Append.
func (l *Log) AppendOrReplicate(ctx context.Context, records ...Record) error {
	r := &request{records: records, mayHold: l.options.Holders != nil}
	err := l.submit(ctx, r)
	if !errors.Is(err, errHoldByPeers) {
		return err
	}
	return l.replicateToPeers(ctx, r)
}

// Seal seals the log at a planned stop, after all records appended before, and hands its shards
// over to the given successors. It returns the seal and its entry number. The errors are those of
// Append.
func (l *Log) Seal(ctx context.Context, successors [program.ShardCount]program.Cohort) (*Seal, uint64, error) {
	r := &request{seal: &Seal{By: l.options.Cohort, Planned: true, At: time.Now(), Successors: successors}}
	if err := l.submit(ctx, r); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seal, l.sealNumber, nil
}

// Close stops the appender. Queued requests fail with ErrClosed, and requests whose write has an
// unknown outcome with ErrOutcomeUnknown. Close does not seal the log.
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

// enqueue assigns sequences to the records and queues them, or returns the reason of a refusal.
// With errHoldByPeers the request was accepted as a held one.
func (l *Log) enqueue(r *request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.admit(r)
	if err != nil && !errors.Is(err, errHoldByPeers) {
		return err
	}
	if err != nil {
		// Held records are written first. Requests queued before have lower sequences. If those
		// were written later and were held by peers in the next outage, a successor would take the
		// copies for records that the log already has, and they would be lost.
		l.refuseQueueLocked()
	}
	l.push(r)
	return err
}

// admit returns the reason if a request can't be queued. While the store is known to be down, a
// request that can't be held is refused at once: waiting would only delay the refusal. The caller
// holds the lock.
func (l *Log) admit(r *request) error {
	down := l.suspended || l.options.Store.Down()
	switch {
	case l.closed:
		return ErrClosed
	case l.fenced:
		return ErrFenced
	case l.pending+r.size > l.options.MaxPending:
		return errors.Wrap(ErrUnavailable, "too many bytes are pending")
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

// push assigns sequences to an admitted request and queues it. The caller holds the lock.
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

// assignSequences numbers the request's records. It copies them, since callers may reuse their
// slice. The caller holds the lock.
func (l *Log) assignSequences(r *request) {
	r.records = append([]Record(nil), r.records...)
	for i := range r.records {
		l.sequence++
		r.records[i].Sequence = l.sequence
		l.index.noteEnqueued(r.records[i])
	}
}

func (l *Log) wakeAppender() { trySignal(l.appenderWake) }

// trySignal wakes the goroutine that waits on a channel with a buffer of one. It does nothing if a
// signal is pending.
func trySignal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// abandon withdraws a request whose caller's context has ended and returns its outcome. If the
// request is in no entry yet, it will not be written.
func (l *Log) abandon(ctx context.Context, r *request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch r.state {
	case finished:
		return <-r.outcome
	case writing:
		r.state = finished
		l.meters.unknownOutcomes.Inc(1)
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
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

// complete reports the outcome to the caller, unless it was reported before. The caller of
// complete holds the lock.
func (r *request) complete(err error) {
	if r.state == finished {
		return
	}
	r.state = finished
	r.outcome <- err
}
