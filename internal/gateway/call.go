// Package gateway forwards calls from callers to replicas of upstream services and their responses
// back. It matches the route, checks the customer's quota, reserves the program's tokens, asks the
// scheduler for a replica, sends the call, and reports whether the call has run, has not run or
// may have run. The wire formats of callers and replicas are decoded by other packages.
package gateway

import (
	"net/http"
	"time"

	"foxhall/internal/buffer"
	"foxhall/internal/routing"
)

// Part is one part of a prompt. Calls may share parts; equal IDs mean equal text.
type Part struct {
	ID     uint64
	Tokens int
}

// Program describes the agent program that a call belongs to, as stated by the call.
type Program struct {
	ID string
	// Session is the ID of the program's line of turns that the call belongs to; empty if the call states none.
	Session string
	// Budget is the number of tokens that all its turns may generate; 0 for no limit.
	Budget int
	// Objective is the time by which the program should have finished; zero if unknown.
	Objective time.Time
}

// Call is one request of a caller.
type Call struct {
	// ID identifies the request; a caller's retry has another ID.
	ID     string
	Host   string
	Method string
	Path   string
	Target string
	Header http.Header
	Body   []byte
	// Hold is the memory that the call holds, its body included. Whoever sets it releases it after
	// Serve.
	Hold    *buffer.Hold
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// Key is the digest of the caller's API key; nil if it sent none.
	Key     *routing.KeyDigest
	Program Program
	Prompt  []Part
	// PromptTokens and MaxOutputTokens are the size of a model call in tokens, as stated by the
	// caller.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the output in tokens; 0 for none.
	OutputHint int
	// Previous is the ID of the turn that the call continues; empty at the start of a chain.
	Previous string
	// ResumeAfter is the ID of the last event that the caller received of an earlier response.
	ResumeAfter string
	// Resumes is the ID of the call that brought the first event of a resumed stream; empty if the caller
	// names none.
	Resumes string
}

// Caller receives the response. An error indicates that the caller has disconnected.
type Caller interface {
	// Begin sends the response header; length is -1 if unknown.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	// Completed: a replica's complete response was forwarded.
	Completed Outcome = iota
	// NotRun: the call has not run and will not run.
	NotRun
	// Unknown: the call may have run, and no part of a response was forwarded.
	Unknown
	// Truncated: the response ended early, after its header was forwarded.
	Truncated
	// CallerGone: the caller disconnected.
	CallerGone
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "broken-off", "gone"}[o]
}

// Reason is why a call did not get a complete response.
type Reason string

// The reasons.
const (
	NoConfiguration Reason = "no_configuration"
	// ConfigurationUnconfirmed: the configuration in force lacks the call's route or key and may be outdated.
	ConfigurationUnconfirmed Reason = "configuration_unconfirmed"
	NoRoute                  Reason = "no_route"
	UnknownKey               Reason = "key_unknown"
	OverQuota                Reason = "over_quota"
	QuotaUndetermined        Reason = "quota_unknown"
	BadRequest               Reason = "bad_request"
	TooLarge                 Reason = "too_large"
	PromptTooLarge           Reason = "prompt_too_large"
	BuffersFull              Reason = "buffers_full"
	BudgetExhausted          Reason = "budget_spent"
	NoSuchTurn               Reason = "no_such_turn"
	TurnsUnavailable         Reason = "turns_unreached"
	NoReplica                Reason = "no_replica"
	Overloaded               Reason = "overloaded"
	ReplicaRefused           Reason = "replica_refused"
	ReplicaLost              Reason = "replica_lost"
	ReplicaInvalidResponse   Reason = "replica_spoiled"
	TimedOut                 Reason = "timed_out"
	Quarantined              Reason = "quarantined"
	Isolated                 Reason = "isolated"
	TurnNotRetained          Reason = "not_kept"
	// VersionUnknown: it can't be told at which version of the software the stream began. VersionGone: no
	// replica runs it any more.
	VersionUnknown Reason = "version_unknown"
	VersionGone    Reason = "version_gone"
	// OutputUnknown: it can't be told which events the caller has of the turn that it resumes.
	OutputUnknown      Reason = "output_unknown"
	CallerDisconnected Reason = "caller_left"
	// Stopping: the instance stops before the call is certain to end.
	Stopping Reason = "stopping"
)

// Result describes how a call ended.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay after which a retry is worthwhile; 0 for immediately.
	RetryAfter time.Duration
	// Status is the HTTP status of the replica's response, if there was one.
	Status   int
	Replica  string
	Attempts int
	// Cause is the error for which a turn was refused, or its placement; nil otherwise.
	Cause error
}

func refused(reason Reason, after time.Duration) Result {
	return Result{Outcome: NotRun, Reason: reason, RetryAfter: after}
}
