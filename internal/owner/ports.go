package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// RecordKind is the effect of a record on the program's earlier records.
type RecordKind uint8

// The kinds of record.
const (
	// EventRecord adds to the program's records.
	EventRecord RecordKind = iota
	// SnapshotRecord replaces all earlier records of the program.
	SnapshotRecord
	// TombstoneRecord deletes the program.
	TombstoneRecord
)

// Record is one event of one program as stored in the log.
type Record struct {
	Program program.ID
	Event   []byte
	Kind    RecordKind
}

// Errors of a Log, to be tested with errors.Is. Any other error is treated as ErrOutcomeUnknown,
// which guarantees least.
var (
	// ErrUnavailable indicates that the records were not written and never will be.
	ErrUnavailable = errors.New("owner: log unavailable, not written")
	// ErrFenced indicates that a successor owns the programs; the records were not written.
	ErrFenced = errors.New("owner: log sealed by a successor, not written")
	// ErrTooLarge indicates that the records exceed the size of a log entry; they were not written.
	ErrTooLarge = errors.New("owner: records too large for the log, not written")
	// ErrOutcomeUnknown indicates that the records may be in the log now or may appear there later.
	ErrOutcomeUnknown = errors.New("owner: outcome of append not settled")
)

// Log is the log of this incarnation's cohort. The records of one append are written in order, and
// either all or none of them.
type Log interface {
	// Append returns nil once the records are in the log.
	Append(ctx context.Context, records ...Record) error
	// AppendOrReplicate is Append, but while the log's store is unavailable it also succeeds once
	// peers hold copies of the records.
	AppendOrReplicate(ctx context.Context, records ...Record) error
	// Available reports whether Append would try to write at present.
	Available() bool
}

// Work is one step as passed to the executor.
type Work struct {
	Call    step.Call
	Program program.ID
	Number  int
	// Root is the program that the customer started. Latency is accounted to it, sub-agents included.
	Root program.ID
	// AttainedService is the time that upstreams have spent on the root program and its sub-agents.
	AttainedService time.Duration
	// Depth is 0 for a root program.
	Depth int
	// History is the full list of messages of a model step, including the new ones.
	History []chat.Message
	// ThinkTimes are the latest intervals between the end of a turn and the start of the next.
	ThinkTimes []time.Duration
	// Repeatable indicates that the call may be sent again after a failure.
	Repeatable bool
	// IdempotencyKey identifies the step to a tool service. It is the same for each attempt.
	IdempotencyKey string
	// Deadline is the time at which the step is ended. It is never zero.
	Deadline time.Time
	// MaySend reports whether the step may still be sent. The executor calls it before each attempt
	// after the first; nil means always.
	MaySend func() bool
}

// Executor places steps on upstreams.
type Executor interface {
	// Admit applies limits, budget, queueing and placement, and sends nothing. It returns either
	// the placed step or a refusal whose outcome is step.NotRun.
	Admit(ctx context.Context, w *Work) (PlacedStep, *step.Result)
}

// PlacedStep is a step with an assigned upstream and a reservation. Exactly one of its methods is
// called, exactly once.
type PlacedStep interface {
	// Run sends the step. It returns soon after ctx ends, with step.Unknown if the step may have
	// run. sink is nil if the response is not streamed.
	Run(ctx context.Context, sink step.Sink) step.Result
	// Cancel releases the reservation without sending the step.
	Cancel()
}

// Catalogue gives access to the usage list in force.
type Catalogue interface {
	// MayRepeat reports whether the call is declared as repeatable.
	MayRepeat(service, method, path string) bool
}

// LookupResult is a service's record of a call.
type LookupResult struct {
	Status      int
	ContentType string
	Body        []byte
}

// Lookup queries services for the outcome of calls.
type Lookup interface {
	// Find returns the service's record of the call, or nil if the service has no lookup or does
	// not know the call. A call that the service does not know may still run: its sender may be
	// paused and send it later.
	Find(ctx context.Context, service, idempotencyKey string) (*LookupResult, error)
}

// Report is the outcome of a step that a former owner learned after a successor took the program
// over.
type Report struct {
	Program    program.ID
	Resolution program.Resolution
}

// Successor delivers outcomes to the present owner of a program.
type Successor interface {
	Report(ctx context.Context, r Report) error
}

// Lease is this instance's right to act as the owner of its programs.
type Lease interface {
	// Held reports whether the lease is still valid. It is false after a process pause so long that
	// a successor may have taken the programs over unnoticed. It is true while the store is
	// unavailable, since no instance can take over then.
	Held() bool
}

// Residency knows which adoptions are complete.
type Residency interface {
	// Adopted reports whether all existing programs of the id's cohort and shard are resident here.
	Adopted(id program.ID) bool
}

// ReleaseHook is called once when a program has ended or expired, so that engines and peers release
// what they hold for it. It must not block.
type ReleaseHook func(id program.ID)
