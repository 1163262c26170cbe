package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/output"
)

// Turn is a retained turn: the input and the output of its engine.
type Turn struct {
	ID       string
	Previous string
	Input    []byte
	// Events are the data of the turn's events, in order.
	Events [][]byte
	Ended  time.Time
	// Replica is the engine that ran the turn.
	Replica string
}

// Reservation asks to run a turn within its program's tokens.
type Reservation struct {
	// Customer is the name of the customer that the program belongs to; empty for none.
	Customer string
	Program  string
	Turn     string
	// Previous is the ID of the turn to continue; empty for none.
	Previous string
	// MaxOutputTokens is the largest number of tokens that the turn may generate.
	MaxOutputTokens int
	// Budget is the number of tokens that all turns of the program may generate; 0 for no limit.
	Budget int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Retain is set if the turn is to be retained.
	Retain bool
	// Retention is how long the program's account is retained after its last turn.
	Retention time.Duration
	// Attempt is the call as it is listed for callers that resume the turn, for AttemptLife; nil if they can't.
	Attempt     *output.Attempt
	AttemptLife time.Duration
}

// Reserved is a granted reservation.
type Reserved struct {
	// Chain holds the turns before this one, the oldest first.
	Chain []Turn
	// CarryChain is set if the settlement must carry the chain: it belongs to another program, or its
	// retention may end before the turn does.
	CarryChain bool
	// LastUpstream is the engine that most likely has the prompt cached; empty if unknown.
	LastUpstream string
	// Attempts are the other calls that are listed for the turn. AttemptsComplete is set if no call is missing whose caller
	// may resume the turn.
	Attempts         []output.Attempt
	AttemptsComplete bool
}

// Settlement settles a reservation.
type Settlement struct {
	Customer, Program, Turn string
	// Replica is the engine that ran the turn; empty if none did.
	Replica string
	// OutputTokens is the number of tokens that were forwarded.
	OutputTokens int
	// RetainedTurn is the turn to retain; nil if its response is incomplete or needs no retention.
	RetainedTurn *Turn
	// Chain holds the turns before it where Reserved.CarryChain asks for them.
	Chain []Turn
	// Retention is how long the turn is retained.
	Retention time.Duration
}

// The errors of a refused reservation. Any other error means that the state of the program is
// unknown; the turn must not run then either.
var (
	ErrBudgetExhausted = errors.New("gateway: the program's token budget is exhausted")
	ErrNoSuchTurn      = errors.New("gateway: turn not found")
	// ErrIsolated indicates that this instance can't retain turns until a network partition heals.
	ErrIsolated = errors.New("gateway: this instance is isolated from the keepers of turns")
)

// Turns retains turns and counts the programs' tokens for all instances.
type Turns interface {
	Reserve(ctx context.Context, r Reservation) (Reserved, error)
	// Settle returns once the settlement is durable. It may be repeated.
	Settle(ctx context.Context, e Settlement) error
}
