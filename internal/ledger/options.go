package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// Store is the client of the object API that the log uses.
type Store interface {
	store.Client
	// Down reports whether the object API is known to be down.
	Down() bool
}

// Copy is a set of a cohort's records that peers hold while the object API is down.
type Copy struct {
	Cohort  program.Cohort
	Records []Record
}

// Holders sends copies of records to the peers that hold them.
type Holders interface {
	// Hold sends the copy to RequiredCopies peers, preferring those with a data folder, and
	// returns the number of peers that confirmed it.
	Hold(ctx context.Context, c Copy) (int, error)
	// Release informs the peers that the cohort's records up to and including this sequence are
	// in the log. It may fail silently: a surplus copy does no harm.
	Release(ctx context.Context, c program.Cohort, upTo uint64)
}

// RequiredCopies is the number of peers that must hold a turn before its response ends. With two,
// no turn is lost if the owner and any one peer fail.
const RequiredCopies = 2

// Successors receives the records that a fenced owner has only as copies on peers.
type Successors interface {
	// Offer sends the copy's records to the successors that the seal names. It is called again
	// until it returns nil.
	Offer(ctx context.Context, seal *Seal, c Copy) error
}

// Snapshotter returns the current state of a program for compaction.
type Snapshotter interface {
	// Snapshot returns one event that replaces all earlier events of the program. live is false
	// if the program is not on this instance or has ended. Snapshot must wait until an append to
	// the program in flight has completed and been applied, so that the event covers everything
	// that was appended. A nil event of a live program means that no snapshot is available now.
	Snapshot(id program.ID) (event []byte, live bool)
}

// Options configures a Log. A zero number or duration selects the default.
type Options struct {
	Cohort program.Cohort
	// Address is the host:port at which peers reach the owner.
	Address string
	Store   Store
	// Holders, Successors and Snapshots may be nil. The log then has no copies held, offers no
	// records and does no compaction, respectively.
	Holders    Holders
	Successors Successors
	Snapshots  Snapshotter
	// WritesPerSecond is the log's share of the object API's writes, in writes per second. If records
	// arrive faster, more of them are put into one entry. Default 20.
	WritesPerSecond float64
	// WriteTimeout is the timeout of one call to the object API. Default 2 s.
	WriteTimeout time.Duration
	// MaxPending is the maximum number of bytes that are queued for the log or held by peers.
	// Default 32 MiB.
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
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWrites
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
