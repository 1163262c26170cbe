package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"foxhall/internal/scheduler"
)

const (
	// maxHedges bounds the attempts of one call that are hedges, refused ones included.
	maxHedges = 4
	// maxRapidRefusals is the number of attempts refused for replicas' load, or not sent, after which a call is placed
	// again only after a delay: replicas have places again within a fraction of a call's duration. The delay doubles from
	// minRefusalBackoff to maxRefusalBackoff each refusalsPerBackoff further ones.
	maxRapidRefusals   = 4
	refusalsPerBackoff = 12
	minRefusalBackoff  = 50 * time.Millisecond
	maxRefusalBackoff  = 200 * time.Millisecond
	// maxUnreached is how long a call is sent on without reaching a replica once it has had maxAttempts. Its caller has
	// time for another instance then, which may reach some.
	maxUnreached = 2 * time.Second
	// answerTime is how long before its deadline a call is refused at the latest that has no place, so that its caller
	// hears of it in time, and answerShare the most of its time that this may take.
	answerTime  = 20 * time.Millisecond
	answerShare = 0.05
)

// placementError is the refusal of a call's placement.
type placementError struct{ refusal *scheduler.Refusal }

// Error implements error.
func (e *placementError) Error() string { return e.refusal.Message }

// Fields implements log.Fielder.
func (e *placementError) Fields() log.Fields { return e.refusal.Fields() }

// placementDeadline returns until when the call may wait for a place.
func (f *inFlightCall) placementDeadline() time.Time {
	reserve := time.Duration(answerShare * float64(f.deadline.Sub(f.call.Arrived)))
	return f.deadline.Add(-max(0, min(answerTime, reserve)))
}

// mayAcceptLater reports whether the replica may accept the call in a moment: it refused the attempt for its load, or
// the attempt was not sent.
func (a *attemptState) mayAcceptLater(v verdict) bool {
	if v == notSent {
		return true
	}
	if v != notRun || a.response == nil || a.response.Misdirected || a.response.Draining {
		return false
	}
	return a.response.Status == http.StatusServiceUnavailable || a.response.Status == http.StatusTooManyRequests
}

// refusalBackoff returns the delay before a call is placed again that replicas have refused for their load.
func refusalBackoff(refusals int) time.Duration {
	if refusals < maxRapidRefusals {
		return 0
	}
	return min(maxRefusalBackoff, minRefusalBackoff<<min(8, (refusals-maxRapidRefusals)/refusalsPerBackoff))
}

// allowAgain allows further attempts at a replica that may accept the call later. The scheduler keeps the call from one
// that refused it until it may have a place, and from one that was not reached while its circuit breaker is open.
//
// It prevents the following failure: all replicas refuse a call at one moment, or all but a slow one do, and the call
// is refused for the rest of its time although they accept calls again milliseconds later.
func (f *inFlightCall) allowAgain(a *attemptState, v verdict) {
	f.refusals++
	f.placeAgain = true // the attempt has drawn on its budget, if on any
	if v != notSent {
		f.unreachedSince = time.Time{}
	} else if f.unreachedSince.IsZero() {
		f.unreachedSince = time.Now()
	}
	replica := a.grant.Upstream
	isIt := func(name string) bool { return name == replica }
	f.triedReplicas = slices.DeleteFunc(f.triedReplicas, isIt)
	f.refusedBy = append(slices.DeleteFunc(f.refusedBy, isIt), replica)
}

// boundRetryAfter shortens a delay after which too little time would be left for a retry: the load may fall sooner than
// expected, and the call can't be served later.
func (f *inFlightCall) boundRetryAfter(r *Result) {
	if r.Outcome == NotRun && unreachedReasons[r.Reason] && !f.deadline.IsZero() {
		r.RetryAfter = max(0, min(r.RetryAfter, time.Until(f.deadline)/2))
	}
}
