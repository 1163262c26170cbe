// Package plan defines the customers' plans: who may call, at what rate and cost, and how large a
// program may grow. It does no I/O.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"foxhall/internal/listfile"
)

// Micros is an amount of money in millionths of the operators' currency unit.
type Micros int64

// Plan is the plan of one customer.
type Plan struct {
	// Name identifies the plan; usage grants refer to it.
	Name string `toml:"name"`
	// Customer identifies the customer who pays; each customer has one plan.
	Customer string `toml:"customer"`
	// KeyHashes are the SHA-256 sums, in hex, of the bearer keys that authenticate the customer.
	KeyHashes []string `toml:"key_hashes"`
	Budget    Budget   `toml:"budget"`
	Limits    Limits   `toml:"limits"`
	Bounds    Bounds   `toml:"bounds"`
	// Priority orders customers under contention, from 0 to 9; a higher priority goes first.
	Priority int `toml:"priority"`
	// CutBasisPoints is foxhall's share of each settled price, in basis points (1/10,000).
	CutBasisPoints int `toml:"cut_basis_points"`
}

// Budget limits the money and the tokens that a plan may spend in each window. Zero means no limit.
type Budget struct {
	Money  Micros   `toml:"money_micros"`
	Tokens int64    `toml:"tokens"`
	Window Duration `toml:"window"`
}

// Limits limit the rate and the concurrency at which a plan's calls are admitted.
type Limits struct {
	// Rate is the number of steps per second in the whole data centre.
	Rate  float64 `toml:"rate"`
	Burst int     `toml:"burst"`
	// Concurrency is the number of steps in flight at once in the data centre.
	Concurrency int `toml:"concurrency"`
}

// Bounds limit the size of one program, as a protection against endless loops.
type Bounds struct {
	Steps         int      `toml:"steps"`
	Depth         int      `toml:"depth"`
	Children      int      `toml:"children"`
	Lifetime      Duration `toml:"lifetime"`
	StepTime      Duration `toml:"step_time"`
	HistoryTokens int      `toml:"history_tokens"`
}

// Duration is a time.Duration that is written as a string such as "30s" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// List is an accepted, immutable list of plans.
type List struct {
	Plans []Plan `toml:"plan,omitempty"`

	byName    map[string]*Plan
	byKey     map[[sha256.Size]byte]*Plan
	positions *listfile.Positions
}

// Lookup returns the plan with the given name, or nil.
func (l *List) Lookup(name string) *Plan { return l.byName[name] }

// Authenticate returns the plan that lists the bearer key, or nil. It looks up the key's SHA-256 sum,
// so that its timing does not reveal how much of a guessed key is right.
func (l *List) Authenticate(key string) *Plan {
	return l.byKey[sha256.Sum256([]byte(key))]
}

// HashKey returns a bearer key's SHA-256 sum in hex, the form in which plans list keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
