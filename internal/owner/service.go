// Package owner keeps the programs that this instance owns and runs their
// steps: in order, through the program aggregate, the cohort's log and the
// executor. What a caller is told of a step is true through crashes, pauses
// and outages of the log's store:
//
//   - a step that may not be repeated is sent only after its intent is in the
//     log, and never again once it is there without an outcome;
//   - the end of an answer is given out only after its turn is durable;
//   - "not run" is said only where no byte was sent and none will be.
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

// Options configure a Service. Zero durations and numbers stand for the defaults.
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
	// Released are called when a program is gone for good.
	Released []ReleaseHook

	// GapWait is how long a step waits for the missing ones before it, with
	// nothing of its program under way. Default 250 ms: crossed arrivals are
	// a few milliseconds apart.
	GapWait time.Duration
	// StoreWait bounds one append. Default 5 s.
	AppendTimeout time.Duration
	// StepTime bounds a step where the plan sets no bound. Default 10 min.
	StepTimeout time.Duration
	// RetryAfter is what refusals for want of the store tell callers. Default 2 s.
	RetryAfter time.Duration
	// IdleExpiry ends programs without open work that nobody calls. Default 1 h.
	IdleExpiry time.Duration
	// StalledAfter is when an idle program with open work counts as stalled. Default 10 min.
	StalledAfter time.Duration
	// EndedKeep is how long an ended program still answers repeats. Default 5 min.
	EndedRetention time.Duration
	// SweepEvery is the pace of expiry and of stalled programs. Default 15 s.
	SweepInterval time.Duration
	// MaxSteps, MaxHistoryTokens and MaxWaiting bound a program whatever its
	// plan says. Defaults 1000, 200,000 and 64.
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
	setDefault(&o.GapWait, defaultGapWait)
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

// Service owns the programs resident on this instance. Each program has its
// own lock; nothing on the path of a step is locked for all of them.
type Service struct {
	o      Options
	log    log.Interface
	meters meters
	shards [program.ShardCount]shard

	// moved is set once a successor owns what was owned here.
	moved atomic.Bool
	// movedCh is closed when moved is set.
	movedCh   chan struct{}
	movedOnce sync.Once

	flights flightCount
	// background bounds and counts the goroutines beside flights.
	ctx         context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
	lookupSlots chan struct{}
}

// maxLookups is how many services are asked at once what became of calls.
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

// Close stops what runs beside the callers' steps, and cancels the steps that
// can be cancelled. It is for the end of the process, after Drain.
func (s *Service) Close() {
	s.cancel()
	s.background.Wait()
}

// Cohort returns the cohort whose programs are born here.
func (s *Service) Cohort() program.Cohort { return s.o.Cohort }
