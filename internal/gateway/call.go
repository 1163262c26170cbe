// Package gateway takes routed calls from callers to replicas and their
// answers back: it matches the route, reserves a program's tokens, has the
// scheduler choose a replica, sends, and says truthfully what became of the
// call. What is spoken on either side is decoded by others.
package gateway

import (
	"net/http"
	"time"

	"foxhall/internal/routing"
)

// Part is one part of a prompt. Requests share parts; equal ids mean equal text.
type Part struct {
	ID     uint64
	Tokens int
}

// Program is what a call says of the agent program that it belongs to.
type Program struct {
	ID string
	// Budget is the number of tokens that all its turns may generate; 0 for none.
	Budget int
	// Objective is until when the whole program is on time; zero if not known.
	Objective time.Time
}

// Call is one attempt of a caller.
type Call struct {
	// ID names the attempt; each attempt has its own.
	ID      string
	Host    string
	Method  string
	Path    string
	Target  string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Key is the digest of the caller's API key; nil without one.
	Key     *routing.KeyDigest
	Program Program
	Prompt  []Part
	// PromptTokens and MaxOutput are what the caller says of a model call's size.
	PromptTokens, MaxOutput int
	// OutputHint is the caller's estimate of the output; 0 for none.
	OutputHint int
	// Previous is the turn that a call continues from; empty at the start of a chain.
	Previous string
	// ResumeAfter is the last event that the caller has of an earlier answer.
	ResumeAfter string
}

// Caller receives the answer. An error says that the caller is gone.
type Caller interface {
	// Begin starts the answer; length is -1 where it is not known.
	Begin(status int, header http.Header, length int64) error
	// Write passes on a part of the body at once.
	Write(part []byte) error
}

// Outcome tells what became of a call.
type Outcome uint8

// The outcomes.
const (
	// Answered says that a replica's whole answer was passed on.
	Answered Outcome = iota
	// NotRun says that the call has not run and never will.
	NotRun
	// Unknown says that the call may have run.
	Unknown
	// BrokenOff says that the answer ended early, after its head was passed on.
	Truncated
	// Gone says that the caller left.
	CallerGone
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "broken-off", "gone"}[o]
}

// Reason tells why a call was not answered whole.
type Reason string

// The reasons.
const (
	NoConfiguration        Reason = "no_configuration"
	NoRoute                Reason = "no_route"
	UnknownKey             Reason = "key_unknown"
	OverQuota              Reason = "over_quota"
	QuotaUnknown           Reason = "quota_unknown"
	BadRequest             Reason = "bad_request"
	TooLarge               Reason = "too_large"
	BudgetExhausted        Reason = "budget_spent"
	NoSuchTurn             Reason = "no_such_turn"
	TurnsUnavailable       Reason = "turns_unreached"
	NoReplica              Reason = "no_replica"
	Overloaded             Reason = "overloaded"
	ReplicaRefused         Reason = "replica_refused"
	ReplicaLost            Reason = "replica_lost"
	ReplicaInvalidResponse Reason = "replica_spoiled"
	TimedOut               Reason = "timed_out"
	TurnNotRetained        Reason = "not_kept"
	CallerDisconnected     Reason = "caller_left"
)

// Result is the end of a call.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when it is worth to come again; 0 for at once.
	RetryAfter time.Duration
	// Status is the replica's, where it answered.
	Status   int
	Replica  string
	Attempts int
	// Cause is what is known of why a turn was refused; nil for most.
	Cause error
}

func refused(reason Reason, after time.Duration) Result {
	return Result{Outcome: NotRun, Reason: reason, RetryAfter: after}
}
