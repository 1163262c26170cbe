package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
)

// callOutcome is the outcome of one call to a keeper.
type callOutcome uint8

const (
	// outcomeRetry means that the call failed: another keeper, or this one later, may give a result.
	outcomeRetry callOutcome = iota
	outcomeDone
	// outcomeIsolated means that the keeper reaches no other keeper.
	outcomeIsolated
	// outcomeMoved means that the keeper is not the shard's primary.
	outcomeMoved
	outcomeNotNow
	// outcomeUnreachable means that the keeper was not called, since this instance doesn't reach it.
	outcomeUnreachable
	// The outcomes of a call that ended without a response: it was cancelled since the keeper became
	// unresponsive or was replaced, it took too long, or the caller's time was up.
	outcomeSilent
	outcomeReplaced
	outcomeTimedOut
	outcomeGivenUp
	// outcomeUnconfirmed means that the keeper doesn't have a turn, and could confirm that for no shard.
	// outcomeAbsent means that it could for some.
	outcomeUnconfirmed
	outcomeAbsent
)

// String returns the outcome's name in log lines.
func (o callOutcome) String() string {
	return [...]string{"failed", "done", "isolated", "moved", "not-now", "unreachable", "silent", "replaced", "timed-out", "given-up", "unconfirmed", "absent"}[o]
}

// isAnswer reports whether the keeper answered the call.
func (o callOutcome) isAnswer() bool {
	return o == outcomeDone || o == outcomeIsolated || o == outcomeMoved || o == outcomeNotNow
}

// keeperCalls sums up the calls to one keeper.
type keeperCalls struct {
	keeper string
	calls  int
	took   time.Duration
	last   callOutcome
}

// callTrail sums up the calls to keepers for one request, in the order in which each was first called.
type callTrail []keeperCalls

func (t *callTrail) record(keeper string, o callOutcome, took time.Duration) {
	i := slices.IndexFunc(*t, func(c keeperCalls) bool { return c.keeper == keeper })
	if i < 0 {
		i = len(*t)
		*t = append(*t, keeperCalls{keeper: keeper})
	}
	c := &(*t)[i]
	c.calls, c.took, c.last = c.calls+1, c.took+took, o
}

// last returns the outcome of the last call to a keeper; outcomeRetry if there was none.
func (t callTrail) last(keeper string) callOutcome {
	for _, c := range t {
		if c.keeper == keeper {
			return c.last
		}
	}
	return outcomeRetry
}

// String lists for each keeper its last outcome, the number of calls and the time that they took.
func (t callTrail) String() string {
	var parts []string
	for _, c := range t {
		parts = append(parts, fmt.Sprintf("%s %s %dx %dms", c.keeper, c.last, c.calls, c.took.Milliseconds()))
	}
	return strings.Join(parts, "; ")
}

// RefusedError says what the keepers answered to a request that none of them fulfilled. Its cause is
// ErrNoKeeperResult or gateway.ErrIsolated.
type RefusedError struct {
	cause error
	// shard and role are those of the program, as this instance knew them last.
	shard uint32
	role  ShardAssignment
	calls callTrail
	// search tells of the look-up of a turn in all shards, if there was one.
	search searchTrail
}

// searchTrail tells of the look-up of a turn in all shards.
type searchTrail struct {
	calls callTrail
	took  time.Duration
	// absent is the number of shards that certainly lack the turn.
	absent int
}

var _ log.Fielder = (*RefusedError)(nil)

// Error implements error.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("shard %d in epoch %d: primary %s, backups %v: %v", e.shard, e.role.Epoch, e.role.Primary, e.role.Backups, e.cause)
	if len(e.calls) > 0 {
		text += ": " + e.calls.String()
	}
	return text
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.cause }

// Fields implements log.Fielder, with the names of the keepers' own lines about a shard.
func (e *RefusedError) Fields() log.Fields {
	fields := log.Fields{"slice": e.shard, "epoch": e.role.Epoch, "primary": e.role.Primary, "partners": e.role.Backups, "keepers": e.calls.String()}
	if e.search.took > 0 || len(e.search.calls) > 0 {
		fields["search_ms"], fields["search_absent"] = e.search.took.Milliseconds(), e.search.absent
		fields["search_keepers"] = e.search.calls.String()
	}
	return fields
}
