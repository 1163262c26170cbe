// Package ownership decides which instance owns a program and moves the
// programs of dead and stopping instances.
//
// Nobody holds a lease on a program. A cohort's programs belong to its
// incarnation until its log is sealed, and from then on slice by slice to the
// successors that the seal names. Everything here only finds out who that is
// and brings it about again and again until it is so (level-triggered): a lost
// notice or a crash between two steps is made good by the next pass.
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
	// Addr is where peers reach it, host:port.
	Addr string
	// Weight is its size relative to others; at most 0 counts as 1.
	Weight float64
}

// Members is what is known of the fleet. It is read on the control goroutine's
// snapshot and must not block.
type Members interface {
	// Living returns the instances of this data centre that can take
	// programs, this one included, without those that are stopping.
	Living() []Member
	// Find returns the living instance of a cohort, in any data centre.
	Find(c program.Cohort) (Member, bool)
	// Dead returns the cohorts of this data centre that are known to be dead.
	Dead() []Dead
}

// Dead is a cohort whose instance is gone.
type Dead struct {
	Cohort program.Cohort
	Since  time.Time
	// StoreDown says that its last heartbeat told that it could not use the object API.
	StoreDown bool
}

// Copies finds what peers hold for a cohort.
type Copies interface {
	// Collect asks all instances of the data centre that lived when the
	// cohort's owner died, this one included. unasked is the number of
	// those that gave no answer, or that have died since and held copies
	// in memory only.
	Collect(ctx context.Context, c program.Cohort) (copies []ledger.Copy, unasked int)
	// Forget tells them all that nothing is needed any more.
	Forget(ctx context.Context, c program.Cohort)
}

// Outages tells when the object API was down, as this instance saw it.
type Outages interface {
	DownBetween(from, to time.Time) bool
}

// Tail is what held copies add to a log that was taken over.
type Tail struct {
	Records []ledger.Record
	// Uncertain says that the history can't be proven whole: copies may be
	// held where nobody could be asked, or entries are corrupt.
	Uncertain bool
}

// Adoption is one slice that goes over to this instance.
type Adoption struct {
	// Cohort is the one whose seal names this instance.
	Cohort program.Cohort
	Shard  int
	// Records are the slice's records of the cohort's log together with
	// those of every log whose adoption into it was not complete, older
	// logs first.
	Records []ledger.Record
	Tail    Tail
	// Doubted are the cohorts, former owners' included, of whose slice a
	// program may be lost whole. One that is not known must not be answered
	// as if it never existed.
	Unproven []program.Cohort
}

// Adopter makes programs resident.
type Adopter interface {
	// Adopt makes the slice's programs resident here and has their state in
	// this instance's log when it returns nil. It is called again after an
	// error, and after a crash by whoever owns the slice then.
	Adopt(ctx context.Context, a Adoption) error
	// Late brings records that a former owner held and offered only after
	// the slice was adopted. Callers were told that they are durable. The
	// program may be unknown here, if all its records come this way.
	AdoptLate(ctx context.Context, c program.Cohort, records []ledger.Record) error
}

// Notifier tells instances that something awaits them. It may fail silently.
type Notifier interface {
	Sealed(ctx context.Context, m Member, c program.Cohort)
}

// Log is this instance's own log.
type Log interface {
	Append(ctx context.Context, records ...ledger.Record) error
	Seal(ctx context.Context, successors [program.ShardCount]program.Cohort) (*ledger.Seal, uint64, error)
	Fenced() (*ledger.Seal, uint64, bool)
}

// The errors of this package, to be tested with errors.Is.
var (
	// ErrUnknownCohort says that no such cohort exists, or none that has
	// programs left: the program does not exist.
	ErrUnknownCohort = errors.New("ownership: unknown cohort")
	// ErrNoOwner says that the program's owner is dead and its log not sealed yet.
	ErrNoOwner = errors.New("ownership: owner dead, not taken over yet")
	// ErrNoSuccessor says that no other instance can take this one's programs.
	ErrNoSuccessor = errors.New("ownership: no successor")
	// ErrNotHere says that the records offered belong to another instance.
	ErrNotOwnedHere = errors.New("ownership: slice not owned here")
	// ErrNotAdopted says that records offered are to be offered again once
	// their slice is adopted.
	ErrNotAdopted = errors.New("ownership: slice not adopted yet")
)

// Options configure a Keeper. Zero values of the durations stand for the defaults.
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
	// Interval is the time between two passes without a notice. Default 10 s.
	Interval time.Duration
	// Grace is how long an instance is dead before its programs are taken
	// over. Default 10 s.
	Grace time.Duration
	// RankDelay keeps the survivors from racing: the one of rank r waits r
	// times as long. Default 2 s.
	RankDelay time.Duration
	// Retention is how long the seal of an adopted cohort is kept to find
	// its programs. It must exceed the longest life of a program. Default 14 days.
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

// Keeper keeps every slice owned. One goroutine, Run, takes over and adopts;
// Directory, Adopted and Offered may be used from others.
type Reconciler struct {
	options   Options
	log       log.Interface
	directory *Directory
	wake      chan struct{}

	takenOverCounter metrics.Counter
	adoptedCounter   metrics.Counter
	uncertainCounter metrics.Counter
	waitingGauge     metrics.Gauge

	// told holds cohorts that peers said are sealed.
	reportedSealed *lru.Cache[program.Cohort, struct{}]

	mu sync.Mutex
	// absent is when a cohort without a living instance was first seen.
	absentSince map[program.Cohort]time.Time
	// complete holds the cohorts whose slice was adopted here.
	adoptedShards map[cohortShard]bool
	// late are records offered before their slice was adopted.
	lateRecords map[program.Cohort][]ledger.Record
	// nextDue is the time from the last pass to the next take-over that it left.
	untilTakeOver time.Duration
	// recorded says that the own seal is in the own cohort's object.
	ownSealRecorded bool
	// purgedAt is when old seals were last looked for.
	purgedAt time.Time
}

// sliceOf names one slice of one cohort.
type cohortShard struct {
	cohort program.Cohort
	shard  int
}

// New returns a Keeper. Run starts it.
func New(o Options) *Reconciler {
	o = o.withDefaults()
	reportedSealed, err := lru.New[program.Cohort, struct{}](maxReportedSealed)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	k := &Reconciler{
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
	return k
}

// Directory returns the directory of owners.
func (k *Reconciler) Directory() *Directory { return k.directory }

// Notice wakes the next pass, on a peer's word or a member's death.
func (k *Reconciler) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run passes until ctx ends.
func (k *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.Reconcile(ctx); err != nil && ctx.Err() == nil {
			k.log.WithError(err).Warn("ownership pass incomplete")
		}
		timer := time.NewTimer(k.untilNext())
		select {
		case <-timer.C:
		case <-k.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilNext is the time to the next pass: the interval, or less if a dead
// owner's grace ends before. A death wakes a pass at once, which finds the
// grace not over; without this its programs would wait a whole interval more.
func (k *Reconciler) untilNext() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	untilTakeOver := k.untilTakeOver
	k.untilTakeOver = 0
	if untilTakeOver == 0 {
		return k.options.Interval
	}
	return min(k.options.Interval, max(untilTakeOver, minPassDelay))
}

// minWait keeps rounding from making a pass just before its time.
const minPassDelay = 10 * time.Millisecond

// isDue reports whether it is this instance's turn to take a dead cohort over,
// and notes when that will be. The lock is held.
func (k *Reconciler) isDue(d Dead, living []Member) bool {
	remaining := k.options.Grace + k.rankDelay(d.Cohort, living) - time.Since(d.Since)
	if remaining <= 0 {
		return true
	}
	k.untilTakeOver = min(k.untilTakeOver, remaining)
	return false
}

// Adopted reports whether the programs of the id's cohort and slice, as far as
// they exist, are resident here.
func (k *Reconciler) Adopted(id program.ID) bool {
	if id.Cohort() == k.options.Self.Cohort {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adoptedShards[cohortShard{id.Cohort(), id.Shard()}]
}
