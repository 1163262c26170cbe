package history

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// commitTimeout bounds the wait for one change to be committed. It is longer than a
	// reassignment takes, so that most callers do not notice one.
	commitTimeout = 1500 * time.Millisecond
	// findTimeout bounds the time for which a look-up waits until other keepers have confirmed that this
	// one is the primary of its shards. It is shorter than callTimeout, so that the caller gets what is
	// confirmed by then.
	findTimeout = 600 * time.Millisecond
	// appendTimeout bounds one call to a backup. A disk write takes 5 ms, and a backup that needs
	// this long is replaced.
	appendTimeout = 600 * time.Millisecond
	// appendRetryInterval is the pause after a failed call to a backup or a failed disk write.
	appendRetryInterval = 40 * time.Millisecond
	// transferPartSize is the approximate size in bytes of one message of a state transfer.
	transferPartSize = 256 << 10
	// expireInterval is the time between removals of expired records.
	expireInterval = 5 * time.Second
)

// Peers calls other keepers by name.
type Peers interface {
	Append(ctx context.Context, name string, r *historypb.AppendRequest) (*historypb.AppendResponse, error)
	Status(ctx context.Context, name string, r *historypb.StatusRequest) (*historypb.StatusResponse, error)
	// BroadcastStatus sends this keeper's status to all other keepers, without delivery guarantee.
	BroadcastStatus(status *historypb.StatusResponse)
	Fetch(ctx context.Context, name string, r *historypb.FetchRequest) (*historypb.FetchResponse, error)
	List(ctx context.Context, name string, r *historypb.ListRequest) (*historypb.ListResponse, error)
	// QueryWitnesses asks entries of each data centre whether they have contact with a keeper. Entries
	// that do not respond or do not know yet are left out.
	QueryWitnesses(ctx context.Context, name string) []Witness
}

// Assignments reads and changes the assignment in the platform's store.
type Assignments interface {
	// Read returns the store's present assignment; version 0 if there is none.
	Read(ctx context.Context) (Assignment, store.Version, error)
	// Write replaces the assignment if its version is still base, and returns the new one. At a
	// conflict it returns the present assignment and its version if the store reports them, and
	// otherwise version 0.
	Write(ctx context.Context, a Assignment, base store.Version) (Assignment, store.Version, error)
}

// Settings configure a keeper.
type Settings struct {
	Name       string
	DataCentre string
	// DataCentres is how many data centres there are.
	DataCentres int
	// LogDir is the directory of the log.
	LogDir string
	// MaxDiskFailures is the number of disks that may fail at once without loss of data.
	MaxDiskFailures int
	// Keepers returns the active keepers, see ActiveKeepers. A keeper that is not among them is a
	// spare: it holds no shards, and takes no part in their assignment.
	Keepers func() []Candidate
	// IsRetiring reports whether operators want a keeper drained.
	IsRetiring func(name string) bool
	// CanBeReached reports whether this keeper listens for other instances; nil for always. Until then it makes no
	// assignment, since that would name it as a holder.
	CanBeReached func() bool
	// Copies stores what this keeper acknowledges while too few disks have it.
	Copies Copies
	Logger log.Interface
}

// Keeper stores shards on this instance's disk. It is safe for concurrent use.
type Keeper struct {
	settings    Settings
	peers       Peers
	assignments Assignments
	log         *diskLog
	// disk is the random name of the disk; a replaced disk gets another name. diskStarts counts the
	// keeper's starts on it.
	disk       string
	diskStarts uint64
	// edition identifies the epoch states broadcast last. It begins at random, so that peers do not
	// mistake a restarted keeper for its earlier incarnation.
	edition         uint64
	broadcastStates [ShardCount]epochState
	started         time.Time
	// bootstrapReadAt is when the assignment was last read before the first one was known. Only the
	// reconciler uses it.
	bootstrapReadAt time.Time

	mu     sync.Mutex
	shards [ShardCount]*shard
	known  Assignment
	// version is the store's version of the known assignment.
	version store.Version
	// verified means that this keeper may accept records for epochs that it has not seen: it has
	// its epoch states on disk, or has read the assignment since its start.
	verified       bool
	views          map[string]*peerView
	witnessContact contactPeriod
	// unplaceableLoggedAt is when shards without an eligible backup were last logged.
	unplaceableLoggedAt time.Time
	draining            bool
	// pendingWrites wait for the disk.
	pendingWrites []diskWrite
	writingSince  time.Time
	// compaction is the snapshot that is being written, or nil. After a failure the next one begins at compactAfter.
	// Only the writer uses them.
	compaction   *snapshot
	compactAfter time.Time
	senders      map[string]chan struct{}
	// transfers counts the state transfers in progress, by backup.
	transfers map[string]int
	ctx       context.Context
	// storeBackoff is the backoff after a failed store call, and storeRetryAt the time of the next
	// permitted call.
	storeBackoff *backoff.ExponentialBackOff
	storeRetryAt time.Time

	copier copier
	// copyReads merges concurrent readings of copies by the disk of their keeper.
	copyReads singleflight.Group

	// reconciliations counts the calls of reconcile.
	reconciliations atomic.Int64

	wakeWriter     chan struct{}
	wakeReconciler chan struct{}
	wakeReader     chan struct{}
}

// shard is this keeper's replica of one shard. The keeper's lock guards it.
type shard struct {
	id    uint32
	state *state
	// epochState holds the promised epoch; a primary of a lower epoch is refused.
	epochState epochState
	role       ShardAssignment
	// streams are the replication streams to the backups, by name.
	streams map[string]*backupStream
	// copiesChanges means that this keeper, as the primary, commits a change only once it is in the store, too.
	// uncopied are the changes that are not.
	copiesChanges bool
	uncopied      []*pendingCommit
	// primaryTerm is incremented when an assignment or a promised epoch ends this keeper's time as
	// the shard's primary. A change of an earlier term can't be committed by it.
	primaryTerm int
	// recovering means that records of earlier ensembles are being fetched. forcedEpoch is the
	// epoch that starts from the records that are left if some are lost.
	recovering  bool
	forcedEpoch uint64
	// persistingState means that an epoch state is being written to the disk.
	persistingState bool
	// unrecoverableSince is when the shard was first found not to be recoverable in full, and
	// primaryIncompleteSince when the primary was first found incomplete. Zero if neither holds.
	unrecoverableSince, primaryIncompleteSince time.Time
}

// pendingCommit is one change that is being replicated. The keeper's lock guards it until done is
// closed.
type pendingCommit struct {
	records []*historypb.Record
	began   time.Time
	// primaryTerm is that of the shard at the time of the change.
	primaryTerm int
	// durableLocally means that the change is on this keeper's disk; ackedBy names the backups on
	// whose disks it is.
	durableLocally bool
	ackedBy        []string
	// copyRequested means that the change is to be copied to the store, copied that it is, and that the store has
	// confirmed after that that this keeper is the primary.
	copyRequested, copied bool
	completed             bool
	// aborted means that this keeper ceased to be the primary before the commit.
	aborted bool
	done    chan struct{}
}

type diskWrite struct {
	records []*historypb.Record
	done    func()
}

// Open reads the log and returns a keeper that is not yet running.
func Open(s Settings, peers Peers, assignments Assignments) (*Keeper, error) {
	k := &Keeper{
		settings:       s,
		peers:          peers,
		assignments:    assignments,
		started:        time.Now(),
		views:          map[string]*peerView{},
		senders:        map[string]chan struct{}{},
		transfers:      map[string]int{},
		wakeWriter:     make(chan struct{}, 1),
		wakeReconciler: make(chan struct{}, 1),
		wakeReader:     make(chan struct{}, 1),
		storeBackoff:   newStoreBackoff(),
		copier:         copier{wake: make(chan struct{}, 1), copied: map[copiedRecord]struct{}{}},
		edition:        rand.Uint64(),
	}
	for i := range k.shards {
		k.shards[i] = &shard{id: uint32(i), state: newState(), streams: map[string]*backupStream{}}
	}
	l, err := openLog(s.LogDir, k.replay)
	if err != nil {
		return nil, err
	}
	k.log = l
	k.logDamages()
	// A promise may be among what is lost.
	k.verified = k.verified && !l.lostRecords()
	if k.disk == "" {
		k.disk = strconv.FormatUint(rand.Uint64(), 36)
	}
	k.diskStarts++
	for _, s := range k.shards {
		s.state.diskStarts = k.diskStarts
	}
	if err := k.beginLog(); err != nil {
		return nil, err
	}
	return k, nil
}

// logDamages logs the parts of the log that could not be read.
func (k *Keeper) logDamages() {
	for _, d := range k.log.damages {
		line := k.settings.Logger.WithField("path", d.path).WithField("at", d.at).WithField("bytes", d.bytes).WithField("following", d.following)
		if d.following == 0 {
			line.Warn("log ends in a record that can't be read")
			continue
		}
		line.Error("damaged record in the log; what it held is lost on this disk")
	}
}

// replay applies a record from the disk.
func (k *Keeper) replay(r *historypb.Record) {
	if name := r.GetDisk(); name != "" {
		k.disk, k.diskStarts = name, max(k.diskStarts, r.Starts)
		return
	}
	if r.Slice >= ShardCount {
		return
	}
	s := k.shards[r.Slice]
	if m := r.GetMark(); m != nil {
		s.epochState.merge(decodeEpochState(m))
		k.verified = true
		return
	}
	s.state.apply(r)
}

// snapshotRecords returns all records that are retained. The keeper is not running yet.
func (k *Keeper) snapshotRecords() []*historypb.Record {
	now := time.Now()
	all := []*historypb.Record{k.diskRecord()}
	for _, s := range k.shards {
		k.expireShard(s, now)
		all = append(all, s.retained()...)
	}
	return all
}

// Run runs the keeper until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	k.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range []func(context.Context){k.runWriter, k.runReconciler, k.runBroadcast, k.runStatusPolls, k.runWitnesses, k.runAssignmentReader, k.runCopier, k.runCopyCleanup} {
		group.Go(func() { f(ctx) })
	}
	group.Wait()
	return k.log.close()
}

// ResetAfterPause is called after a pause of this process. It discards the evidence on other
// keepers, since the missing messages of the pause would make all of them seem lost and have them
// replaced.
func (k *Keeper) ResetAfterPause() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started = time.Now()
	for _, v := range k.views {
		v.refusedConnections, v.loss = 0, lossEvidence{}
	}
	k.witnessContact = contactPeriod{}
}

// isSpare reports whether this keeper is not among the active ones.
func (k *Keeper) isSpare() bool { return !containsKeeper(k.settings.Keepers(), k.settings.Name) }

// isPrimary reports whether this keeper is the shard's primary and complete in its epoch, so that
// it may commit changes.
func (k *Keeper) isPrimary(s *shard) bool {
	return s.role.Primary == k.settings.Name && s.epochState.promised == s.role.Epoch && s.epochState.isComplete(s.role.Epoch)
}

// replicate starts to replicate a change to the disks of the shard; the lock is held. Without
// records it only confirms with the backups, or with the store, that this keeper is still the primary.
func (k *Keeper) replicate(s *shard, records []*historypb.Record) *pendingCommit {
	e := &pendingCommit{records: records, began: time.Now(), primaryTerm: s.primaryTerm, done: make(chan struct{})}
	for _, backup := range s.role.Backups {
		s.streamTo(backup).enqueue(e)
		k.wakeSender(backup)
	}
	k.copyIfNeeded(s, e)
	if len(records) > 0 {
		k.persist(records, func() {
			e.durableLocally = true
			s.completeIfCommitted(e)
		})
		return e
	}
	e.durableLocally = true
	s.completeIfCommitted(e)
	return e
}

// completeIfCommitted completes a change that is on enough disks, and in the store where these may fail at once; the
// lock is held.
func (s *shard) completeIfCommitted(e *pendingCommit) {
	if e.completed || !e.durableLocally || e.primaryTerm != s.primaryTerm {
		return
	}
	if s.copiesChanges && !e.copied {
		return
	}
	acks := 0
	for _, name := range e.ackedBy {
		if s.role.hasBackup(name) {
			acks++
		}
	}
	if acks >= s.role.requiredAcks() {
		e.completed = true
		close(e.done)
	}
}

// abortPending aborts the pending changes of a shard of which this keeper is no longer the primary.
// Their callers learn that the changes may be lost, and ask the new primary.
func (s *shard) abortPending() {
	for _, l := range s.streams {
		for _, e := range l.pending {
			e.abort()
		}
	}
	for _, e := range s.uncopied {
		e.abort()
	}
	clear(s.streams)
	s.uncopied = nil
	s.primaryTerm++
}

// abort ends the wait for a change that this keeper can't commit any more.
func (e *pendingCommit) abort() {
	if !e.completed {
		e.completed, e.aborted = true, true
		close(e.done)
	}
}

// persist queues records for this instance's disk; the lock is held, and done
// is called with it held.
func (k *Keeper) persist(records []*historypb.Record, done func()) {
	k.pendingWrites = append(k.pendingWrites, diskWrite{records: records, done: done})
	notify(k.wakeWriter)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitCommit waits for the change and reports whether it is committed.
func awaitCommit(ctx context.Context, e *pendingCommit) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	select {
	case <-e.done:
		return !e.aborted
	case <-ctx.Done():
		return false
	}
}

// runWriter writes the queued records to the disk in batches.
func (k *Keeper) runWriter(ctx context.Context) {
	defer k.awaitCompaction()
	for {
		select {
		case <-k.wakeWriter:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		batch := k.pendingWrites
		k.pendingWrites = nil
		k.writingSince = time.Now()
		k.mu.Unlock()
		err := k.writeBatch(ctx, batch)
		if err != nil {
			// Nobody is told that these records are durable.
			k.settings.Logger.WithError(err).WithField("writes", len(batch)).Error("stopped before the disk took all records")
			return
		}
		k.mu.Lock()
		if took := k.stalledFor(); took > diskStallTimeout {
			k.settings.Logger.WithField("ms", took.Milliseconds()).WithField("writes", len(batch)).Warn("disk write stalled")
		}
		k.writingSince = time.Time{}
		for _, w := range batch {
			if w.done != nil {
				w.done()
			}
		}
		k.mu.Unlock()
		k.compactIfLarge(ctx)
	}
}

// writeBatch retries until the batch is on the disk. It returns an error if ctx ends before.
func (k *Keeper) writeBatch(ctx context.Context, batch []diskWrite) error {
	var framed []byte
	for _, w := range batch {
		for _, r := range w.records {
			next, err := appendFrame(framed, r)
			if err != nil {
				panic(errors.Wrap(err, "record can't be encoded"))
			}
			framed = next
		}
	}
	if len(framed) == 0 {
		return nil
	}
	for {
		err := k.log.write(framed)
		if err == nil || ctx.Err() != nil {
			return err
		}
		k.settings.Logger.WithError(err).Error("disk write failed; retrying in a new segment")
		time.Sleep(appendRetryInterval)
	}
}
