package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Turn is a kept turn: what the engine was given and what it made.
type Turn struct {
	ID       string
	Previous string
	Input    []byte
	// Events are the data of the turn's events, in order.
	Events [][]byte
	Ended  time.Time
	// Replica is the engine that ran it.
	Replica string
}

// Reservation asks to run a turn within its program's tokens.
type Reservation struct {
	// Customer names the client account that the program belongs to; empty for none.
	Customer string
	Program  string
	Turn     string
	// Previous names the turn to continue from; empty for none.
	Previous string
	// Most is the number of tokens that the turn may make at the most.
	MaxOutputTokens int
	// Budget is what all turns of the program may make; 0 for no bound.
	Budget int
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Kept says that the turn is to be kept.
	Retain bool
	// Retention is how long the account is kept after its last turn.
	Retention time.Duration
}

// Reserved is a granted reservation.
type Reserved struct {
	// Chain holds the turns before this one, the oldest first.
	Chain []Turn
	// Foreign says that the chain is another program's.
	ForeignChain bool
	// Replica is the engine that most likely has the prompt cached; empty if unknown.
	Replica string
}

// Ending settles a reservation.
type Settlement struct {
	Customer, Program, Turn string
	// Replica is the engine that ran the turn; empty if none did.
	Replica string
	// Made is the number of tokens that were passed on.
	OutputTokens int
	// Kept is the whole turn, where its answer is complete and is to be kept.
	RetainedTurn *Turn
	// Chain holds the turns before it, for a program that continued another's.
	Chain []Turn
	// Retention is how long the turn is kept.
	Retention time.Duration
}

// The outcomes of a reservation other than a grant. Any other error says that
// nothing is known, and that the turn must not run.
var (
	ErrBudgetExhausted = errors.New("gateway: the program's tokens are spent")
	ErrNoSuchTurn      = errors.New("gateway: no such turn")
	// ErrIsolated says that turns can't be kept from here before a cut heals.
	ErrIsolated = errors.New("gateway: cut off from the keepers of turns")
)

// Turns keeps turns and counts programs' tokens for all instances.
type Turns interface {
	Reserve(ctx context.Context, r Reservation) (Reserved, error)
	// Settle returns once the ending is durable. It may be repeated.
	Settle(ctx context.Context, e Settlement) error
}
