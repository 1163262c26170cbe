// Package owner holds the programs that this instance owns and runs their steps in order, through
// the program aggregate, the cohort's log and the executor. The outcome reported to a caller stays
// true through crashes, process pauses and outages of the log's store:
//
//   - a step that may not be repeated is sent only after its intent is in the log, and is never
//     sent again once the log holds the intent without an outcome;
//   - the end of a response is passed to callers only after its turn is durable;
//   - step.NotRun is reported only if no byte was sent and none will be.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/program"
)

// Options configures a Service. Zero durations and numbers select the defaults.
type Options struct {
	Cohort    program.Cohort
	Log       Log
	Executor  Executor
	Catalogue Catalogue
	// Lookup, Successor, Residency and Lease may be nil.
	Lookup    Lookup
	Lease     Lease
	Successor Successor
	Residency Residency
	// ReleaseHooks are the hooks called once when a program ends or expires.
	ReleaseHooks []ReleaseHook

	// MissingStepTimeout is how long a step waits for missing earlier steps while its program has
	// no step in flight. Default 250 ms: steps that arrive out of order are a few milliseconds
	// apart.
	MissingStepTimeout time.Duration
	// AppendTimeout bounds one append to the log. Default 5 s.
	AppendTimeout time.Duration
	// StepTimeout bounds a step if its plan sets no bound. Default 10 min.
	StepTimeout time.Duration
	// RetryAfter is the retry delay given to callers that are refused because the log can't be
	// written, and the delay before an unsettled append is retried. Default 2 s.
	RetryAfter time.Duration
	// IdleExpiry is the idle time after which a program without open work is ended. Default 1 h.
	IdleExpiry time.Duration
	// StalledAfter is the idle time after which a program with open work counts as stalled.
	// Default 10 min.
	StalledAfter time.Duration
	// EndedRetention is how long a program that its caller ended still answers repeated calls.
	// Default 5 min.
	EndedRetention time.Duration
	// SweepInterval is the interval between sweeps, which end and expire programs and detect
	// stalled ones. Default 15 s.
	SweepInterval time.Duration
	// MaxSteps, MaxHistoryTokens and MaxWaiting bound a program regardless of its plan. MaxWaiting
	// is the number of its calls that wait at once. Defaults 1000, 200,000 and 64.
	MaxSteps         int
	MaxHistoryTokens int
	MaxWaiting       int

	Logger   log.Interface
	Registry metrics.Registry
}

const (
	defaultGapWait        = 250 * time.Millisecond
	defaultAppendTimeout  = 5 * time.Second
	defaultStepTimeout    = 10 * time.Minute
	defaultRetryAfter     = 2 * time.Second
	defaultIdleExpiry     = time.Hour
	defaultStalledAfter   = 10 * time.Minute
	defaultEndedRetention = 5 * time.Minute
	defaultSweepInterval  = 15 * time.Second

	defaultMaxSteps         = 1000
	defaultMaxHistoryTokens = 200_000
	defaultMaxWaiting       = 64
)

func (o Options) withDefaults() Options {
	setDefault(&o.MissingStepTimeout, defaultGapWait)
	setDefault(&o.AppendTimeout, defaultAppendTimeout)
	setDefault(&o.StepTimeout, defaultStepTimeout)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.IdleExpiry, defaultIdleExpiry)
	setDefault(&o.StalledAfter, defaultStalledAfter)
	setDefault(&o.EndedRetention, defaultEndedRetention)
	setDefault(&o.SweepInterval, defaultSweepInterval)
	setDefault(&o.MaxSteps, defaultMaxSteps)
	setDefault(&o.MaxHistoryTokens, defaultMaxHistoryTokens)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Service owns the programs resident on this instance. Each program has its own lock; running a
// step takes no lock that all programs share.
type Service struct {
	o      Options
	log    log.Interface
	meters meters
	shards [program.ShardCount]shard

	// moved is set once successors own the programs.
	moved atomic.Bool
	// movedCh is closed when moved is set.
	movedCh   chan struct{}
	movedOnce sync.Once

	flights flightCount
	// ctx and background end and count the goroutines that run beside flights.
	ctx         context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
	lookupSlots chan struct{}
}

// maxLookups is the number of concurrent lookups of unknown outcomes at services.
const maxLookups = 8

// New returns a service without programs.
func New(o Options) (*Service, error) {
	if o.Cohort == "" || o.Log == nil || o.Executor == nil || o.Catalogue == nil {
		return nil, errors.New("owner: cohort, log, executor and catalogue are required")
	}
	s := &Service{o: o.withDefaults(), movedCh: make(chan struct{}), lookupSlots: make(chan struct{}, maxLookups)}
	s.log = s.o.Logger.WithField("cohort", string(o.Cohort))
	s.meters = newMeters(s.o.Registry)
	s.flights.idle = make(chan struct{}, 1)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range s.shards {
		s.shards[i].residents = map[program.ID]*resident{}
	}
	return s, nil
}

// Close cancels the background work and all steps in flight, and waits for the background work to
// return. It is called at the end of the process, after Drain.
func (s *Service) Close() {
	s.cancel()
	s.background.Wait()
}

// Cohort returns the cohort of the programs created on this instance.
func (s *Service) Cohort() program.Cohort { return s.o.Cohort }
