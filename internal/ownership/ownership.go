// Package ownership determines which instance owns a program and moves the programs of dead and
// stopping instances to others.
//
// There is no lease on a program. A cohort's programs belong to its incarnation until its log is
// sealed, and from then on, shard by shard, to the successors that the seal names. Reconciliation
// is level-triggered: each pass compares the stored cohorts with this state and does what is
// missing, so that the next pass makes up for a lost notice or a crash between two steps.
package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// Member is a living instance.
type Member struct {
	Instance string
	Cohort   program.Cohort
	// Addr is the host:port at which peers reach the instance.
	Addr string
	// Weight is the instance's capacity relative to others. A value of at most 0 counts as 1.
	Weight float64
}

// Members is this instance's view of the fleet. It reads the control goroutine's snapshot and must
// not block.
type Members interface {
	// Living returns the instances of this data centre that can adopt programs, including this one
	// and excluding those that are stopping.
	Living() []Member
	// Find returns the living instance of a cohort, in any data centre.
	Find(c program.Cohort) (Member, bool)
	// Dead returns the cohorts of this data centre that are known to be dead.
	Dead() []Dead
}

// Dead is a cohort whose instance is dead.
type Dead struct {
	Cohort program.Cohort
	Since  time.Time
	// StoreDown reports whether the instance's last heartbeat said that it could not use the object
	// API.
	StoreDown bool
}

// Copies is a client of the copies that peers hold for a cohort.
type Copies interface {
	// Collect asks all instances of the data centre that were alive when the cohort's owner died,
	// including this one. unreached is the number of those that did not respond, or that have died
	// since and held copies in memory only.
	Collect(ctx context.Context, c program.Cohort) (copies []ledger.Copy, unreached int)
	// DropAll has these instances drop all copies of the cohort.
	DropAll(ctx context.Context, c program.Cohort)
}

// Outages records when the object API was down, as seen by this instance.
type Outages interface {
	// DownBetween reports whether the object API was down at any time between from and to.
	DownBetween(from, to time.Time) bool
}

// Tail is the records that held copies add to a log that was taken over.
type Tail struct {
	Records []ledger.Record
	// Uncertain reports whether the history can't be proven complete: instances that could not be
	// asked may hold copies, or entries are corrupt.
	Uncertain bool
}

// Adoption is one shard that this instance adopts.
type Adoption struct {
	// Cohort is the cohort whose seal names this instance.
	Cohort program.Cohort
	Shard  int
	// Records are the shard's records in the cohort's log and in every log whose adoption into it
	// was not completed, older logs first.
	Records []ledger.Record
	Tail    Tail
	// Unproven are the cohorts, including earlier owners, of whose shard all records of a program
	// may be lost. A program of theirs that is unknown here must not be reported as one that never
	// existed.
	Unproven []program.Cohort
}

// Adopter makes programs resident on this instance.
type Adopter interface {
	// Adopt makes the shard's programs resident here. When it returns nil, their state is in this
	// instance's log. It is called again after an error and, after a crash, by the instance that
	// then owns the shard.
	Adopt(ctx context.Context, a Adoption) error
	// AdoptLate adds records that a former owner offered after the shard was adopted. Callers were
	// told that these records are durable. The program may be unknown here, if all its records
	// arrive this way.
	AdoptLate(ctx context.Context, c program.Cohort, records []ledger.Record) error
}

// Notifier informs instances of seals. It may fail silently.
type Notifier interface {
	// Sealed informs the member that the cohort's log is sealed and names it as a successor.
	Sealed(ctx context.Context, m Member, c program.Cohort)
}

// Log is this instance's own log (see ledger.Log).
type Log interface {
	Append(ctx context.Context, records ...ledger.Record) error
	Seal(ctx context.Context, successors [program.ShardCount]program.Cohort) (*ledger.Seal, uint64, error)
	Fenced() (*ledger.Seal, uint64, bool)
}

// Errors of this package, to be tested with errors.Is.
var (
	// ErrUnknownCohort indicates that the cohort does not exist, or that no program of it can still
	// exist: the program is unknown.
	ErrUnknownCohort = errors.New("ownership: unknown cohort")
	// ErrNoOwner indicates that the program has no owner at present: its owner is dead and its log
	// not sealed yet, or the seals form a ring or too long a chain.
	ErrNoOwner = errors.New("ownership: owner dead, not taken over yet")
	// ErrNoSuccessor indicates that no other instance can adopt this one's programs.
	ErrNoSuccessor = errors.New("ownership: no other instance can adopt the programs")
	// ErrNotOwnedHere indicates that offered records belong to another instance.
	ErrNotOwnedHere = errors.New("ownership: shard not owned here")
	// ErrNotAdopted indicates that records have to be offered again once their shard is adopted.
	ErrNotAdopted = errors.New("ownership: shard not adopted yet")
)

// Options configures a Reconciler. A zero duration selects the default.
type Options struct {
	// Self is this instance.
	Self    Member
	Store   ledger.Store
	Log     Log
	Members Members
	Adopter Adopter
	// Copies, Outages and Notifier may be nil.
	Copies   Copies
	Outages  Outages
	Notifier Notifier
	// Interval is the time between two passes if nothing wakes the reconciler. Default 10 s.
	Interval time.Duration
	// Grace is how long an instance must be dead before its programs are taken over. Default 10 s.
	Grace time.Duration
	// RankDelay keeps the survivors from racing: the one of rank r waits r times RankDelay longer.
	// Default 2 s.
	RankDelay time.Duration
	// Retention is how long the seal of an adopted cohort is kept, so that its programs can be
	// located. It must exceed the maximum lifetime of a program. Default 14 days.
	Retention time.Duration
	Logger    log.Interface
	Registry  metrics.Registry
}

const (
	defaultInterval  = 10 * time.Second
	defaultGrace     = 10 * time.Second
	defaultRankDelay = 2 * time.Second
	defaultRetention = 14 * 24 * time.Hour
)

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, defaultInterval)
	setDefault(&o.Grace, defaultGrace)
	setDefault(&o.RankDelay, defaultRankDelay)
	setDefault(&o.Retention, defaultRetention)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Reconciler takes over the programs of dead instances and adopts the shards that belong to this
// instance. Run does both on one goroutine. Directory, Wake, Sealed, ObserveSealed, Adopted and
// AcceptOffered may be called from other goroutines.
type Reconciler struct {
	options   Options
	log       log.Interface
	directory *Directory
	wake      chan struct{}

	takenOverCounter metrics.Counter
	adoptedCounter   metrics.Counter
	uncertainCounter metrics.Counter
	waitingGauge     metrics.Gauge

	// reportedSealed are the cohorts that peers reported as sealed.
	reportedSealed *lru.Cache[program.Cohort, struct{}]

	mu sync.Mutex
	// absentSince is when a cohort was first seen without a living instance.
	absentSince map[program.Cohort]time.Time
	// adoptedShards are the shards that were adopted by this instance.
	adoptedShards map[cohortShard]bool
	// lateRecords are the records that were offered before their shard was adopted.
	lateRecords map[program.Cohort][]ledger.Record
	// untilTakeOver is the time from the last pass to the next take-over that was not yet due.
	untilTakeOver time.Duration
	// ownSealRecorded reports whether this log's own seal is in its cohort's object.
	ownSealRecorded bool
	// purgedAt is the time of the last search for expired seals.
	purgedAt time.Time
}

// cohortShard is one shard of one cohort.
type cohortShard struct {
	cohort program.Cohort
	shard  int
}

// New returns a Reconciler. Run starts it.
func New(o Options) *Reconciler {
	o = o.withDefaults()
	reportedSealed, err := lru.New[program.Cohort, struct{}](maxReportedSealed)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	rc := &Reconciler{
		options:          o,
		log:              o.Logger.WithField("cohort", string(o.Self.Cohort)),
		directory:        NewDirectory(o.Self.Cohort, o.Store, o.Members, o.Log),
		wake:             make(chan struct{}, 1),
		reportedSealed:   reportedSealed,
		takenOverCounter: metrics.GetOrRegisterCounter("ownership.taken", o.Registry),
		adoptedCounter:   metrics.GetOrRegisterCounter("ownership.adopted", o.Registry),
		uncertainCounter: metrics.GetOrRegisterCounter("ownership.uncertain", o.Registry),
		waitingGauge:     metrics.GetOrRegisterGauge("ownership.waiting", o.Registry),
		absentSince:      map[program.Cohort]time.Time{},
		adoptedShards:    map[cohortShard]bool{},
		lateRecords:      map[program.Cohort][]ledger.Record{},
	}
	return rc
}

// Directory returns the directory of owners.
func (rc *Reconciler) Directory() *Directory { return rc.directory }

// Wake makes Run start the next pass without delay, for example after a member's death.
func (rc *Reconciler) Wake() {
	select {
	case rc.wake <- struct{}{}:
	default:
	}
}

// Run reconciles periodically and when woken, until ctx ends.
func (rc *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := rc.Reconcile(ctx); err != nil && ctx.Err() == nil {
			rc.log.WithError(err).Warn("ownership pass failed in part; retrying in the next pass")
		}
		timer := time.NewTimer(rc.untilNext())
		select {
		case <-timer.C:
		case <-rc.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilNext returns the time to the next pass: the interval, or less if a dead owner's grace period
// ends earlier. A death starts a pass at once, which finds that the grace period is not over; with
// a fixed interval the programs would wait for up to a full interval longer.
func (rc *Reconciler) untilNext() time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	untilTakeOver := rc.untilTakeOver
	rc.untilTakeOver = 0
	if untilTakeOver == 0 {
		return rc.options.Interval
	}
	return min(rc.options.Interval, max(untilTakeOver, minPassDelay))
}

// minPassDelay keeps rounding from starting a pass just before a take-over is due.
const minPassDelay = 10 * time.Millisecond

// isDue reports whether this instance may take a dead cohort over now. If not, it updates
// untilTakeOver with the time that remains. The caller holds the lock.
func (rc *Reconciler) isDue(d Dead, living []Member) bool {
	remaining := rc.options.Grace + rc.rankDelay(d.Cohort, living) - time.Since(d.Since)
	if remaining <= 0 {
		return true
	}
	rc.untilTakeOver = min(rc.untilTakeOver, remaining)
	return false
}

// Adopted reports whether all existing programs of the id's cohort and shard are resident here.
func (rc *Reconciler) Adopted(id program.ID) bool {
	if id.Cohort() == rc.options.Self.Cohort {
		return true
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.adoptedShards[cohortShard{id.Cohort(), id.Shard()}]
}
