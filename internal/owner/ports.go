package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// RecordKind tells what a record does to the program's earlier records.
type RecordKind uint8

// The kinds of record.
const (
	// EventRecord adds to the program's records.
	EventRecord RecordKind = iota
	// SnapshotRecord replaces all earlier records of the program.
	SnapshotRecord
	// TombstoneRecord drops the program.
	TombstoneRecord
)

// Record is one event of one program, as the log holds it.
type Record struct {
	Program program.ID
	Event   []byte
	Kind    RecordKind
}

// The errors of a Log, to be tested with errors.Is. Any other error counts as
// ErrUnsettled, the weakest of them.
var (
	// ErrUnavailable says that the records were surely not written and never will be.
	ErrUnavailable = errors.New("owner: log unavailable, not written")
	// ErrFenced says that a successor owns the programs now; the records were surely not written.
	ErrFenced = errors.New("owner: log sealed by a successor, not written")
	// ErrTooLarge says that the records never fit; they were surely not written.
	ErrTooLarge = errors.New("owner: records too large for the log, not written")
	// ErrUnsettled says that the records may be in the log, now or later.
	ErrUnsettled = errors.New("owner: outcome of append not settled")
)

// Log is the log of this incarnation's cohort. The records of one Append are
// written in order and as a whole or not at all.
type Log interface {
	// Append returns nil once the records are in the log.
	Append(ctx context.Context, records ...Record) error
	// AppendOrHold is also content with copies on peers while the log's store is down.
	AppendOrHold(ctx context.Context, records ...Record) error
	// Available reports whether an Append would be tried now.
	Available() bool
}

// Work is one step as the executor gets it.
type Work struct {
	Call    step.Call
	Program program.ID
	Number  int
	// Root is the program that the customer started; latency counts for it as a whole.
	Root program.ID
	// Attained is the time that upstreams have worked for the whole root program.
	Attained time.Duration
	// Depth is 0 for a root program.
	Depth int
	// History is the whole list of messages of a model step, the new ones included.
	History []chat.Message
	// Pauses are the latest times between the end of a turn and the next turn's start.
	Pauses []time.Duration
	// Repeatable says that the call may be sent again after a failure.
	Repeatable bool
	// IdempotencyKey is what the step is called towards a tool service, the
	// same for each attempt at it.
	IdempotencyKey string
	// Deadline is when the step is ended, never zero.
	Deadline time.Time
	// MaySend reports whether the step may still be sent. The executor asks
	// before each attempt after the first; nil means always.
	MaySend func() bool
}

// Executor places steps on upstreams.
type Executor interface {
	// Admit takes limits, budget, queue and placement and sends nothing. It
	// returns either the placed step or a refusal whose outcome is step.NotRun.
	Admit(ctx context.Context, w *Work) (Placed, *step.Result)
}

// Placed is a step with a place and a reservation. Exactly one of its methods
// is called, once.
type Placed interface {
	// Run sends the step and returns soon after ctx ends, with step.Unknown
	// where the step may have run. sink is nil where the answer is not streamed.
	Run(ctx context.Context, sink step.Sink) step.Result
	// Cancel gives the reservation back; nothing was sent.
	Cancel()
}

// Catalogue tells what the usage list in force says about calls to services.
type Catalogue interface {
	// MayRepeat reports whether the call is declared as repeatable.
	MayRepeat(service, method, path string) bool
}

// Finding is what a service knows of a call.
type LookupResult struct {
	Status      int
	ContentType string
	Body        []byte
}

// Lookup asks services what became of calls.
type Lookup interface {
	// Find returns the service's record of the call, or nil where it has no
	// lookup or does not know the call. Not to know it proves nothing: its
	// sender may be paused and send it still.
	Find(ctx context.Context, service, idempotencyKey string) (*LookupResult, error)
}

// Report is the outcome of a step that its owner learned after a successor
// took the program over.
type Report struct {
	Program    program.ID
	Resolution program.Resolution
}

// Successor tells the present owner of a program what a former owner learned.
type Successor interface {
	Report(ctx context.Context, r Report) error
}

// Lease tells whether this instance may still act as the owner.
type Lease interface {
	// Held reports that the process was not paused for so long that a successor
	// may have taken its programs over unseen. It is true while the store is
	// down, since nobody can take over then.
	Held() bool
}

// Residency tells which programs have been taken over.
type Residency interface {
	// Adopted reports whether the programs of the id's cohort and slice are
	// resident here, as far as they exist.
	Adopted(id program.ID) bool
}

// ReleaseHook is called once when a program ended or expired, so that what
// engines and peers hold for it is given back. It must not block.
type ReleaseHook func(id program.ID)
