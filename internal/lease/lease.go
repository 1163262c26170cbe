// Package lease gives a data centre's duties, such as orders to engines and
// sweeps, to one instance at a time, with fencing tokens.
//
// All duties of a data centre share one object (kind lease, named by the data
// centre), written by conditional update, so that one write renews everything a
// holder has. No clocks are compared: a holder counts its time from before it
// sent the write, a contender counts from when it first saw that write, both on
// their own monotonic clock (Gray and Cheriton, 1989).
//
// A lease can't stop a holder that is paused between its last look at the
// clock and its act. Upstreams that check fencing tokens refuse such an act.
// For the others a new holder waits out the longest order before its first,
// orders are bounded in time, and their names carry the epoch.
package lease

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/program"
)

// Kind is the kind of the lease objects.
const Kind = "lease"

// Duty names what one instance of a data centre does at a time.
type Duty string

// The duties of a data centre.
const (
	// EngineOrders is the right to order engines to load, unload and change role.
	EngineOrders Duty = "engine-orders"
	// Sweeps is the right to release what programs that are gone left behind.
	Sweeps Duty = "sweeps"
)

// Times are the bounds of a lease.
type Timing struct {
	// TTL is how long a lease lasts after the write that renewed it.
	TTL time.Duration
	// Renew is the time between renewals, well inside TTL: two may fail.
	Renew time.Duration
	// Margin is how long before its end a holder stops acting, and how much
	// longer a contender waits. It covers clocks that run at different rates.
	Margin time.Duration
	// LongestOrder bounds an order from its sending to its last effect.
	LongestOrder time.Duration
	// Pause is the longest gap in the holder's own loop after which it may
	// still act without having renewed.
	Pause time.Duration
}

// DefaultTimes suit duties whose absence for half a minute does no harm.
func DefaultTiming() Timing {
	return Timing{
		TTL:          15 * time.Second,
		Renew:        5 * time.Second,
		Margin:       2 * time.Second,
		LongestOrder: 10 * time.Second,
		Pause:        2 * time.Second,
	}
}

// ErrBadTimes says that the bounds of a lease contradict each other.
var ErrInvalidTiming = errors.New("lease: renewal does not fit twice into the lease")

// Check reports whether a renewal may fail once without the lease lapsing.
func (t Timing) Check() error {
	if t.Renew <= 0 || t.Margin < 0 || t.Pause <= 0 || 2*t.Renew+t.Margin > t.TTL {
		return ErrInvalidTiming
	}
	return nil
}

// Token is the right to perform a duty until it expires. Each new holder's
// epoch is higher than all before it.
type Token struct {
	Duty   Duty
	Holder program.Cohort
	// Epoch is the fencing number to send with each act.
	Epoch uint64

	validUntil time.Time
	// wall is until on the wall clock.
	validUntilWall time.Time
	// from is when no order of an earlier holder can be under way any more.
	ordersFrom time.Time
}

// Valid reports whether the duty may be performed at now, a time.Now of this
// process. It is to be asked right before each act.
//
// The monotonic clock stands still while a virtual machine is suspended, the
// wall clock may be set back; whichever shows more time gone decides.
func (t Token) Valid(now time.Time) bool {
	return now.Before(t.validUntil) && now.Round(0).Before(t.validUntilWall)
}

// MayOrder reports whether an order may be sent at now. checks says whether the
// upstream refuses an order with an old epoch; one that does not may still be
// carrying out the last order of the holder before.
func (t Token) MayOrder(now time.Time, checks bool) bool {
	return t.Valid(now) && (checks || !now.Before(t.ordersFrom))
}

// Until returns when the holder stops acting unless it renews.
func (t Token) Until() time.Time { return t.validUntil }

// entry is one duty in the object. Epoch and Renewal together with Holder name
// one write.
type dutyLease struct {
	Holder   program.Cohort `json:"holder"`
	Epoch    uint64         `json:"epoch"`
	Renewal  uint64         `json:"renewal"`
	Released bool           `json:"released,omitempty"`
}

// book is the value of a data centre's lease object.
type leaseSet struct {
	Duties map[Duty]dutyLease `json:"duties"`
}

func decodeLeases(value []byte) (leaseSet, error) {
	var b leaseSet
	err := json.Unmarshal(value, &b)
	return b, errors.Wrap(err, "lease: object")
}

func (b leaseSet) encode() []byte {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// observation is an entry with the time at which this process first saw it.
type observation struct {
	dutyLease
	firstSeen time.Time
}

// observer remembers how long each duty's entry has not changed.
type observer map[Duty]observation

func (o observer) observe(b leaseSet, now time.Time) {
	for duty, e := range b.Duties {
		if o[duty].dutyLease != e {
			o[duty] = observation{dutyLease: e, firstSeen: now}
		}
	}
}

// free reports whether a duty may be taken: nobody ever had it, its holder
// gave it back, or its holder has not renewed it for a whole TTL and margin
// since the last renewal was seen.
func (o observer) isFree(duty Duty, times Timing, now time.Time) bool {
	seen, ok := o[duty]
	return !ok || seen.Released || now.Sub(seen.firstSeen) >= times.TTL+times.Margin
}

// claimed is the outcome of a claim on one duty.
type claim struct {
	lease dutyLease
	// clear says that no earlier holder can have an order under way.
	noOrdersInFlight bool
}

// claim returns the book in which self has renewed what it holds and taken
// what is free of the wanted duties, and what that gives it.
func claimDuties(b leaseSet, o observer, self program.Cohort, want []Duty, times Timing, now time.Time) (leaseSet, map[Duty]claim) {
	next := leaseSet{Duties: map[Duty]dutyLease{}}
	maps.Copy(next.Duties, b.Duties)
	got := map[Duty]claim{}
	for _, duty := range want {
		before, known := b.Duties[duty]
		switch {
		case known && before.Holder == self && !before.Released:
			before.Renewal++
			next.Duties[duty] = before
			got[duty] = claim{lease: before}
		case o.isFree(duty, times, now):
			taken := dutyLease{Holder: self, Epoch: before.Epoch + 1, Renewal: 1}
			next.Duties[duty] = taken
			got[duty] = claim{lease: taken, noOrdersInFlight: !known || before.Released}
		}
	}
	return next, got
}

// release returns the book without self as a holder.
func releaseDuties(b leaseSet, self program.Cohort) (leaseSet, bool) {
	next := leaseSet{Duties: map[Duty]dutyLease{}}
	released := false
	for duty, e := range b.Duties {
		if e.Holder == self && !e.Released {
			e.Released = true
			released = true
		}
		next.Duties[duty] = e
	}
	return next, released
}
