package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxTurnsOutOfReach bounds the retained turns whose time out of reach is measured at the same time.
	maxTurnsOutOfReach = 4096
	// outOfReachExpiry is how long after the latest refused call a turn is dropped: its callers have given up,
	// or went on at another instance.
	outOfReachExpiry = 30 * time.Second
	// outOfReachSampleSize is the number of turns in the histogram's sample.
	outOfReachSampleSize = 1028
)

// unreachedReasons are the reasons for which a call may be refused although its request is in order. Another
// call that continues the same turn may be served at the same moment.
var unreachedReasons = map[Reason]bool{
	NoConfiguration: true, ConfigurationUnconfirmed: true, QuotaUndetermined: true, BuffersFull: true, TurnsUnavailable: true,
	NoReplica: true, Overloaded: true, ReplicaRefused: true, TimedOut: true, Stopping: true,
}

// outOfReach measures how long retained turns are out of reach: from the arrival of the first call that continues
// the turn and that no replica ran, to the first one that a replica may have run.
type outOfReach struct {
	// turns counts the turns, expired those of them that no later call to this instance reached.
	turns, expired metrics.Counter
	duration       metrics.Histogram
	// untracked counts the turns that found no room.
	untracked metrics.Counter

	mu        sync.Mutex
	open      map[continuedTurn]*unreachedTurn
	lastSweep time.Time
}

// continuedTurn identifies a retained turn.
type continuedTurn struct{ customer, turn string }

// unreachedTurn is a turn that is out of reach.
type unreachedTurn struct{ since, latest time.Time }

func newOutOfReach(registry metrics.Registry) *outOfReach {
	return &outOfReach{
		turns:     metrics.GetOrRegisterCounter("gateway.out_of_reach.turns", registry),
		expired:   metrics.GetOrRegisterCounter("gateway.out_of_reach.expired", registry),
		untracked: metrics.GetOrRegisterCounter("gateway.out_of_reach.untracked", registry),
		duration:  metrics.GetOrRegisterHistogram("gateway.out_of_reach.ms", registry, metrics.NewUniformSample(outOfReachSampleSize)),
		open:      map[continuedTurn]*unreachedTurn{},
	}
}

// refuse records a call that was refused, and returns for how long the turn has been out of reach.
func (o *outOfReach) refuse(t continuedTurn, arrived, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	u := o.open[t]
	if u == nil {
		u = &unreachedTurn{since: arrived}
		o.turns.Inc(1)
		if len(o.open) < maxTurnsOutOfReach {
			o.open[t] = u
		} else {
			o.untracked.Inc(1)
		}
	}
	if arrived.Before(u.since) {
		u.since = arrived
	}
	u.latest = now
	return now.Sub(u.since)
}

// reach records a call that a replica may have run, which was sent at the given time, and returns for how long the
// turn was out of reach; 0 if it was not.
func (o *outOfReach) reach(t continuedTurn, at time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.open[t]
	if u == nil || at.Before(u.since) {
		return 0
	}
	delete(o.open, t)
	took := at.Sub(u.since)
	o.duration.Update(took.Milliseconds())
	return took
}

// sweep drops turns that no call asked for of late; the lock is held.
func (o *outOfReach) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < outOfReachExpiry/2 {
		return
	}
	o.lastSweep = now
	for t, u := range o.open {
		if now.Sub(u.latest) > outOfReachExpiry {
			delete(o.open, t)
			o.expired.Inc(1)
		}
	}
}

// continuedTurn returns the retained turn that the call continues; false if it continues none.
func (f *inFlightCall) continuedTurn() (continuedTurn, bool) {
	return continuedTurn{customer: f.customerName(), turn: f.call.Previous}, f.call.Previous != ""
}

// recordRefusal records the call's result if it continues a turn and no replica has run it.
func (f *inFlightCall) recordRefusal(r *Result) {
	t, ok := f.continuedTurn()
	if !ok || r.Outcome != NotRun || f.reachedReplica {
		return
	}
	metrics.GetOrRegisterCounter("gateway.continued.reasons."+string(r.Reason), f.gateway.reasons.registry).Inc(1)
	var placement *placementError
	if errors.As(r.Cause, &placement) {
		metrics.GetOrRegisterCounter("gateway.continued.placement."+string(placement.refusal.Cause), f.gateway.reasons.registry).Inc(1)
	}
	if unreachedReasons[r.Reason] {
		f.outOfReach = f.gateway.outOfReach.refuse(t, f.call.Arrived, time.Now())
	}
}

// recordReach records that a replica may have run the call, which was sent at the given time.
func (f *inFlightCall) recordReach(at time.Time) {
	if t, ok := f.continuedTurn(); ok && !f.reachedReplica {
		f.outOfReach = f.gateway.outOfReach.reach(t, at)
	}
	f.reachedReplica = true
}
