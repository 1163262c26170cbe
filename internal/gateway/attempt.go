package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/netdial"
	"foxhall/internal/scheduler"
)

// verdict is what one sending came to.
type verdict uint8

const (
	// whole says that the replica's whole answer is here.
	complete verdict = iota
	// notRun says that the replica refused the call.
	notRun
	// full says that no connection was free, notSent that none could be made.
	noFreeConnection
	notSent
	// lost says that it may have run.
	responseLost
	// spoiled says that it ran and its answer is no use.
	invalidResponse
	// cutOff says that its data centre or its connection went silent; it may have run.
	unresponsive
)

// String returns the verdict's name in log lines and counters.
func (v verdict) String() string {
	return [...]string{"whole", "not-run", "full", "not-sent", "lost", "spoiled", "cut-off"}[v]
}

// mayHaveRun reports whether the replica may have worked on the call.
func (v verdict) mayHaveRun() bool { return v != notRun && v != noFreeConnection && v != notSent }

// then returns what two sendings to one replica come to: a refusal of the second does not tell
// that the first has not run.
func (v verdict) combine(second verdict) verdict {
	if second.mayHaveRun() {
		return second
	}
	return v
}

// runs are the replicas that may have run a call, each once. All of them count against the
// route's attempts: no sign that an instance can get tells that a replica has stopped.
type replicaNames []string

// with returns the runs and the replica.
func (r replicaNames) with(replica string) replicaNames {
	if slices.Contains(r, replica) {
		return r
	}
	return append(slices.Clip(r), replica)
}

// sending is one sending of a call to a replica.
type attemptState struct {
	grant *scheduler.Grant
	began time.Time
	// events is the number of events that it gave.
	eventCount int
	// err is why there is no whole answer, where an error tells.
	err error
}

// failedAs tells what a sending came to that ended with an error.
func (a *attemptState) classifyError(ctx context.Context, err error) verdict {
	a.err = err
	switch {
	case errors.Is(err, httpconn.ErrConnectionLimit):
		return noFreeConnection
	case errors.Is(err, httpconn.ErrNotSent):
		return notSent
	case cancelledBySilence(ctx), errors.Is(err, httpconn.ErrUnresponsive), netdial.Unresponsive(err):
		return unresponsive
	default:
		return responseLost
	}
}

// sendings counts how sendings ended.
type attemptCounters struct {
	byVerdict [unresponsive + 1]metrics.Counter
	exceeded  metrics.Counter
}

func newAttemptCounters(registry metrics.Registry) *attemptCounters {
	s := &attemptCounters{exceeded: metrics.GetOrRegisterCounter("gateway.attempts.exceeded", registry)}
	for v := range s.byVerdict {
		s.byVerdict[v] = metrics.GetOrRegisterCounter("gateway.sendings."+verdict(v).String(), registry)
	}
	return s
}

// sendingEnded records what a sending came to.
func (f *inFlightCall) recordAttempt(ctx context.Context, state *attemptState, v verdict) {
	f.gateway.attempts.byVerdict[v].Inc(1)
	if v.mayHaveRun() {
		f.recordPossibleRun(state.grant.Upstream)
	}
	if v == complete {
		return
	}
	fields := log.Fields{
		"request":     f.call.ID,
		"replica":     state.grant.Upstream,
		"data_centre": state.grant.DataCentre,
		"verdict":     v.String(),
		"ms":          time.Since(state.began).Milliseconds(),
		"events":      state.eventCount,
		"ran_at":      len(f.possibleRuns),
		"attempts":    f.route.Attempts,
		"unheard_ms":  f.gateway.settings.SilentFor(state.grant.DataCentre).Milliseconds(),
	}
	if cause := context.Cause(ctx); cause != nil {
		fields["cause"] = cause.Error()
	}
	entry := f.gateway.logger.WithFields(fields)
	if state.err != nil {
		entry = entry.WithError(state.err)
	}
	entry.Info("sending ended")
}

// noteRun records that the replica may have run the call.
func (f *inFlightCall) recordPossibleRun(replica string) {
	before := len(f.possibleRuns)
	f.possibleRuns = f.possibleRuns.with(replica)
	if len(f.possibleRuns) > before && len(f.possibleRuns) == f.route.Attempts+1 {
		f.gateway.attempts.exceeded.Inc(1)
	}
}
