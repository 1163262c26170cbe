package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// Store is the object API as the log uses it.
type Store interface {
	store.Client
	// Down reports whether the store is known to be down.
	Down() bool
}

// Copy is a set of records that peers hold for a cohort while the object API is down.
type Copy struct {
	Cohort  program.Cohort
	Records []Record
}

// Holders are the peers that hold copies.
type Holders interface {
	// Hold gives the copy to CopiesNeeded peers, those with a data folder
	// first, and returns how many have confirmed it.
	Hold(ctx context.Context, c Copy) (int, error)
	// Release tells the peers that the cohort's records up to and with this
	// sequence are in the log. It may fail silently: a copy too many does no harm.
	Release(ctx context.Context, c program.Cohort, upTo uint64)
}

// CopiesNeeded is the number of peers that must hold a turn before its answer
// ends: with two, the loss of the owner and any one peer loses nothing.
const RequiredCopies = 2

// Successors take what a fenced owner still holds.
type Successors interface {
	// Offer gives the copy's records to the successors that the seal names.
	// It is repeated until it returns nil.
	Offer(ctx context.Context, seal *Seal, c Copy) error
}

// Snapshotter gives the present state of a program for compaction.
type Snapshotter interface {
	// Snapshot returns one event that replaces all earlier events of the
	// program, and false if the program is not here or has ended. It must
	// wait for an append of the program under way and its effect, so that
	// the event holds everything that was appended. A nil event of a living
	// program says that it can't be had now.
	Snapshot(id program.ID) (event []byte, live bool)
}

// Options configure a Log. Zero values of the numbers stand for the defaults.
type Options struct {
	Cohort program.Cohort
	// Address is where peers reach the owner, host:port.
	Address string
	Store   Store
	// Holders, Successors and Snapshots may be nil: then nothing is held,
	// nothing offered and nothing compacted.
	Holders    Holders
	Successors Successors
	Snapshots  Snapshotter
	// Writes is the log's share of the object API's writes, in writes a
	// second. Batches grow as far as the share demands. Default 20.
	Writes float64
	// WriteTimeout bounds one call to the object API. Default 2 s.
	WriteTimeout time.Duration
	// MaxPending bounds the bytes that wait for the log or are held by
	// peers. Default 32 MiB.
	MaxPending int
	Compaction CompactionOptions
	Logger     log.Interface
	Registry   metrics.Registry
}

const (
	defaultWrites       = 20
	defaultWriteTimeout = 2 * time.Second
	defaultMaxPending   = 32 << 20
)

func (o Options) withDefaults() Options {
	if o.Writes == 0 {
		o.Writes = defaultWrites
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxPending
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	o.Compaction = o.Compaction.withDefaults()
	return o
}
