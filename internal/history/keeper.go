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

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// opTime bounds the wait for one operation to become durable: longer than a
	// change of keepers takes, so that most callers do not notice one.
	commitTimeout = 1500 * time.Millisecond
	// appendTime bounds one call to a partner: its disk takes 5 ms, and a
	// partner that needs this long is replaced.
	appendTimeout = 600 * time.Millisecond
	// appendPause is the pause after a failed call to a partner.
	appendRetryInterval = 40 * time.Millisecond
	// fillBytes is about the size of one message that fills a partner.
	transferPartSize = 256 << 10
	// expireEvery is how often what is no longer kept is forgotten.
	expireInterval = 5 * time.Second
)

// Peers calls other keepers by name.
type Peers interface {
	Append(ctx context.Context, name string, r *historypb.AppendRequest) (*historypb.AppendResponse, error)
	Status(ctx context.Context, name string, r *historypb.StatusRequest) (*historypb.StatusResponse, error)
	// Tell tells all other keepers how this one stands. It may be lost.
	BroadcastStatus(status *historypb.StatusResponse)
	Fetch(ctx context.Context, name string, r *historypb.FetchRequest) (*historypb.FetchResponse, error)
	List(ctx context.Context, name string, r *historypb.ListRequest) (*historypb.ListResponse, error)
	// Witnesses asks entries of each data centre whether they hear a keeper. Those
	// that do not answer, or can't tell yet, are left out.
	Witnesses(ctx context.Context, name string) []Witness
}

// Assignments reads and changes the assignment in the platform's store.
type Assignments interface {
	// Read returns the assignment as the store has it now; version 0 if there is none.
	Read(ctx context.Context) (Assignment, store.Version, error)
	// Write replaces the assignment if its version is still base, and returns the new one.
	// At a conflict it returns the present assignment and its version, if they are told;
	// version 0 if they are not.
	Write(ctx context.Context, a Assignment, base store.Version) (Assignment, store.Version, error)
}

// Settings configure a keeper.
type Settings struct {
	Name       string
	DataCentre string
	// DataCentres is how many data centres there are.
	DataCentres int
	// Folder is where the log is kept.
	Folder string
	// DisksLost is the number of disks that may be lost at once.
	MaxDiskFailures int
	// Keepers returns the keepers that are registered, this one among them.
	Keepers func() []Candidate
	// Retiring reports that operators want a keeper emptied.
	Retiring func(name string) bool
	Logger   log.Interface
}

// Keeper holds slices on this instance's disk. It is safe for concurrent use.
type Keeper struct {
	settings    Settings
	peers       Peers
	assignments Assignments
	log         *diskLog
	// disk names the disk; a lost one is followed by one of another name. starts counts
	// the starts on it.
	disk       string
	diskStarts uint64
	// edition is that of the marks that were told last. It begins at random, so that a
	// keeper that was restarted is not taken for the one before.
	edition         uint64
	broadcastStates [ShardCount]epochState
	started         time.Time

	mu     sync.Mutex
	shards [ShardCount]*shard
	known  Assignment
	// version is the store's of the known assignment.
	version store.Version
	// verified says that this instance may take records for epochs that it has
	// not seen: it has its own marks on disk, or has read the assignment since.
	verified      bool
	views         map[string]*peerView
	quorumContact contactPeriod
	// stuckTold is when it was told last that slices find no holder.
	unplaceableLoggedAt time.Time
	draining            bool
	// writes wait for the disk.
	pendingWrites []diskWrite
	writingSince  time.Time
	senders       map[string]chan struct{}
	ctx           context.Context
	// storeWaits gives for how long the store is not called after it did not
	// answer, and storeAfter is until when.
	storeBackoff *backoff.ExponentialBackOff
	storeRetryAt time.Time

	// looks counts how often the roles were looked at.
	reconciliations atomic.Int64

	wakeWriter     chan struct{}
	wakeReconciler chan struct{}
	wakeReader     chan struct{}
}

// slice is one slice as this keeper holds it. The keeper's lock guards it.
type shard struct {
	id    uint32
	state *state
	// mark is up to which epoch this keeper follows the slice; a primary of a
	// lower epoch is refused.
	epochState epochState
	role       ShardAssignment
	// links are the ways to the partners, by name.
	streams map[string]*backupStream
	// tenure counts how often this keeper ceased to decide for the slice.
	primaryTerm int
	// collecting says that records of earlier ensembles are being fetched, and forced
	// is the epoch that begins with what is left of them.
	recovering  bool
	forcedEpoch uint64
	// marking says that a mark is on its way to the disk.
	persistingState bool
	// lostSince is since when the slice can't be had whole any more, and
	// primaryLostSince since when the primary does not have it.
	unrecoverableSince, primaryIncompleteSince time.Time
}

// entry is one change on its way to the disks of a slice. The keeper's lock guards it
// until done is closed.
type pendingCommit struct {
	records []*historypb.Record
	// tenure is the slice's at the time of the change.
	primaryTerm int
	// stored says that this keeper's disk has it, and acks names the partners whose
	// disks have.
	durableLocally bool
	ackedBy        []string
	completed      bool
	// dropped says that this keeper no longer decides.
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
		wakeWriter:     make(chan struct{}, 1),
		wakeReconciler: make(chan struct{}, 1),
		wakeReader:     make(chan struct{}, 1),
		storeBackoff:   newStoreBackoff(),
		edition:        rand.Uint64(),
	}
	for i := range k.shards {
		k.shards[i] = &shard{id: uint32(i), state: newState(), streams: map[string]*backupStream{}}
	}
	l, err := openLog(s.Folder, k.replay)
	if err != nil {
		return nil, err
	}
	k.log = l
	if k.disk == "" {
		k.disk = strconv.FormatUint(rand.Uint64(), 36)
	}
	k.diskStarts++
	for _, s := range k.shards {
		s.state.diskStarts = k.diskStarts
	}
	if err := l.compact(k.snapshotRecords()); err != nil {
		return nil, err
	}
	return k, nil
}

// replay takes in a record from the disk.
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

// everything returns all records that are kept; the lock is held or not needed.
func (k *Keeper) snapshotRecords() []*historypb.Record {
	now := time.Now()
	all := []*historypb.Record{{Body: &historypb.Record_Disk{Disk: k.disk}, Starts: k.diskStarts}}
	for _, s := range k.shards {
		s.state.expire(now)
		if s.epochState.promised > 0 {
			all = append(all, epochStateRecord(s.id, s.epochState))
		}
		all = append(all, s.state.records(s.id)...)
	}
	return all
}

// Run keeps slices until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	k.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range []func(context.Context){k.runWriter, k.runReconciler, k.runBroadcast, k.runStatusPolls, k.runWitnesses, k.runAssignmentReader} {
		group.Go(func() { f(ctx) })
	}
	group.Wait()
	return k.log.close()
}

// Woke is called after a pause of this process. What was not heard in it says
// nothing of the other keepers: judged by it, all of them would be replaced.
func (k *Keeper) ResetAfterPause() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started = time.Now()
	for _, v := range k.views {
		v.refusedConnections, v.loss = 0, lossEvidence{}
	}
	k.quorumContact = contactPeriod{}
}

// primary reports that this keeper decides for the slice.
func (k *Keeper) isPrimary(s *shard) bool {
	return s.role.Primary == k.settings.Name && s.epochState.promised == s.role.Epoch && s.epochState.isComplete(s.role.Epoch)
}

// submit sends a change to the disks of the slice; the lock is held. Without
// records it only asks the partners whether this keeper is still the primary.
func (k *Keeper) replicate(s *shard, records []*historypb.Record) *pendingCommit {
	e := &pendingCommit{records: records, primaryTerm: s.primaryTerm, done: make(chan struct{})}
	for _, backup := range s.role.Backups {
		s.streamTo(backup).enqueue(e)
		k.wakeSender(backup)
	}
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

// judge ends an entry that is on enough disks; the lock is held.
func (s *shard) completeIfCommitted(e *pendingCommit) {
	if e.completed || !e.durableLocally || e.primaryTerm != s.primaryTerm {
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

// drop ends what waits in a slice that this keeper no longer decides for. Its
// callers hear that it may not last, and ask the new primary.
func (s *shard) abortPending() {
	for _, l := range s.streams {
		for _, e := range l.pending {
			if !e.completed {
				e.completed, e.aborted = true, true
				close(e.done)
			}
		}
	}
	clear(s.streams)
	s.primaryTerm++
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

// wait returns whether the change is durable on enough disks of its slice.
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

// runWriter writes what is queued, all at once, again and again.
func (k *Keeper) runWriter(ctx context.Context) {
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
		k.writeBatch(ctx, batch)
		k.mu.Lock()
		k.writingSince = time.Time{}
		for _, w := range batch {
			if w.done != nil {
				w.done()
			}
		}
		k.mu.Unlock()
		k.compactIfLarge()
	}
}

// writeBatch writes until the disk has taken the batch. After a failed write
// the segment's end is not known, so the batch goes to a new one.
func (k *Keeper) writeBatch(ctx context.Context, batch []diskWrite) {
	var framed []byte
	for _, w := range batch {
		for _, r := range w.records {
			next, err := appendFrame(framed, r)
			if err != nil {
				panic(errors.Wrap(err, "a record that can't be encoded"))
			}
			framed = next
		}
	}
	if len(framed) == 0 {
		return
	}
	err := k.log.write(framed)
	for err != nil && ctx.Err() == nil {
		k.settings.Logger.WithError(err).Error("disk refuses records")
		time.Sleep(appendRetryInterval)
		if err = k.log.startSegment(); err == nil {
			err = k.log.write(framed)
		}
	}
}

func (k *Keeper) compactIfLarge() {
	if k.log.size < maxSegmentSize {
		return
	}
	k.mu.Lock()
	all := k.snapshotRecords()
	k.mu.Unlock()
	if err := k.log.compact(all); err != nil {
		k.settings.Logger.WithError(err).Error("log not compacted")
	}
}
