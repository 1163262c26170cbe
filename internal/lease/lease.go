// Package lease assigns each duty of a data centre, such as ordering engines and
// sweeping, to one instance at a time, with fencing tokens.
//
// All duties of a data centre share one object (kind lease, named by the data
// centre), which is written by conditional update, so that one write renews all
// leases of a holder. Clocks of different instances are not compared: a holder
// measures the lease from before it sent the write, a contender from when it
// first saw that write, each on its own monotonic clock (Gray and Cheriton, 1989).
//
// A lease can't stop a holder that is paused between its last check of the clock
// and its action. Upstreams that check fencing tokens reject such an action. For
// the others, orders are bounded in time, a new holder waits for the longest
// order to end before it sends its first, and the names in orders carry the epoch.
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

// Duty names a task that one instance of a data centre performs at a time.
type Duty string

// The duties of a data centre.
const (
	// EngineOrders is the right to order engines to load, unload and change role.
	EngineOrders Duty = "engine-orders"
	// Sweeps is the right to release resources that ended programs left behind.
	Sweeps Duty = "sweeps"
)

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is how long a lease lasts after the write that renewed it.
	TTL time.Duration
	// Renew is the time between renewals, well below TTL: two may fail.
	Renew time.Duration
	// Margin is how long before the end of its lease a holder stops acting, and
	// how long after it a contender still waits. It covers clocks that run at
	// different rates.
	Margin time.Duration
	// LongestOrder bounds the time from sending an order to its last effect.
	LongestOrder time.Duration
	// Pause is the longest gap in the holder's own loop after which it may
	// act without renewing first.
	Pause time.Duration
}

// DefaultTiming suits duties that may remain unperformed for half a minute.
func DefaultTiming() Timing {
	return Timing{
		TTL:          15 * time.Second,
		Renew:        5 * time.Second,
		Margin:       2 * time.Second,
		LongestOrder: 10 * time.Second,
		Pause:        2 * time.Second,
	}
}

// ErrInvalidTiming indicates that the durations of a lease contradict each other.
var ErrInvalidTiming = errors.New("lease: invalid timing: two renewals and the margin must fit into the TTL")

// Check returns an error unless the lease survives one failed renewal.
func (t Timing) Check() error {
	if t.Renew <= 0 || t.Margin < 0 || t.Pause <= 0 || 2*t.Renew+t.Margin > t.TTL {
		return ErrInvalidTiming
	}
	return nil
}

// Token is the right to perform a duty until it expires. Each new holder's epoch
// is higher than all earlier ones.
type Token struct {
	Duty   Duty
	Holder program.Cohort
	// Epoch is the fencing token to send with each action.
	Epoch uint64

	validUntil time.Time
	// validUntilWall is validUntil on the wall clock.
	validUntilWall time.Time
	// ordersFrom is the time from which no order of an earlier holder can be in
	// flight.
	ordersFrom time.Time
}

// Valid reports whether the duty may be performed at now, a time.Now of this
// process. It is to be called right before each action.
//
// The token expires by the clock on which more time has passed: the monotonic
// clock stops while a virtual machine is suspended, and the wall clock may be set
// back.
func (t Token) Valid(now time.Time) bool {
	return now.Before(t.validUntil) && now.Round(0).Before(t.validUntilWall)
}

// MayOrder reports whether an order may be sent at now. checks indicates that the
// upstream rejects orders with an outdated epoch; one that does not may still be
// executing the last order of the previous holder.
func (t Token) MayOrder(now time.Time, checks bool) bool {
	return t.Valid(now) && (checks || !now.Before(t.ordersFrom))
}

// Until returns the time at which the token expires unless it is renewed.
func (t Token) Until() time.Time { return t.validUntil }

// dutyLease is the lease of one duty in the object. Holder, Epoch and Renewal
// together identify one write.
type dutyLease struct {
	Holder   program.Cohort `json:"holder"`
	Epoch    uint64         `json:"epoch"`
	Renewal  uint64         `json:"renewal"`
	Released bool           `json:"released,omitempty"`
}

// leaseSet is the value of a data centre's lease object.
type leaseSet struct {
	Duties map[Duty]dutyLease `json:"duties"`
}

func decodeLeases(value []byte) (leaseSet, error) {
	var leases leaseSet
	err := json.Unmarshal(value, &leases)
	return leases, errors.Wrap(err, "lease: decode object")
}

func (s leaseSet) encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // can't happen: the value contains strings, numbers and booleans only
	}
	return value
}

// observation is a lease with the time at which this process first saw that value.
type observation struct {
	dutyLease
	firstSeen time.Time
}

// observer records since when each duty's lease has not changed.
type observer map[Duty]observation

func (o observer) observe(leases leaseSet, now time.Time) {
	for duty, l := range leases.Duties {
		if o[duty].dutyLease != l {
			o[duty] = observation{dutyLease: l, firstSeen: now}
		}
	}
}

// isFree reports whether a duty may be taken: it never had a holder, its holder
// released it, or TTL and Margin have passed since its last renewal was seen.
func (o observer) isFree(duty Duty, timing Timing, now time.Time) bool {
	last, ok := o[duty]
	return !ok || last.Released || now.Sub(last.firstSeen) >= timing.TTL+timing.Margin
}

// claim is a new or renewed lease of one duty, to be written.
type claim struct {
	lease dutyLease
	// noOrdersInFlight reports whether no earlier holder can have an order in
	// flight.
	noOrdersInFlight bool
}

// claimDuties returns the leases after self has renewed those of the wanted
// duties that it holds and taken those that are free, and the resulting claims.
func claimDuties(leases leaseSet, observed observer, self program.Cohort, wanted []Duty, timing Timing, now time.Time) (leaseSet, map[Duty]claim) {
	next := leaseSet{Duties: map[Duty]dutyLease{}}
	maps.Copy(next.Duties, leases.Duties)
	claims := map[Duty]claim{}
	for _, duty := range wanted {
		current, known := leases.Duties[duty]
		switch {
		case known && current.Holder == self && !current.Released:
			current.Renewal++
			next.Duties[duty] = current
			claims[duty] = claim{lease: current}
		case observed.isFree(duty, timing, now):
			acquired := dutyLease{Holder: self, Epoch: current.Epoch + 1, Renewal: 1}
			next.Duties[duty] = acquired
			claims[duty] = claim{lease: acquired, noOrdersInFlight: !known || current.Released}
		}
	}
	return next, claims
}

// releaseDuties returns the leases with all of self's released, and reports
// whether there were any.
func releaseDuties(leases leaseSet, self program.Cohort) (leaseSet, bool) {
	next := leaseSet{Duties: map[Duty]dutyLease{}}
	released := false
	for duty, l := range leases.Duties {
		if l.Holder == self && !l.Released {
			l.Released = true
			released = true
		}
		next.Duties[duty] = l
	}
	return next, released
}
