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
	whole verdict = iota
	// notRun says that the replica refused the call.
	notRun
	// full says that no connection was free, notSent that none could be made.
	full
	notSent
	// lost says that it may have run.
	lost
	// spoiled says that it ran and its answer is no use.
	spoiled
	// cutOff says that its data centre or its connection went silent; it may have run.
	cutOff
)

// String returns the verdict's name in log lines and counters.
func (v verdict) String() string {
	return [...]string{"whole", "not-run", "full", "not-sent", "lost", "spoiled", "cut-off"}[v]
}

// mayHaveRun reports whether the replica may have worked on the call.
func (v verdict) mayHaveRun() bool { return v != notRun && v != full && v != notSent }

// then returns what two sendings to one replica come to: a refusal of the second does not tell
// that the first has not run.
func (v verdict) then(second verdict) verdict {
	if second.mayHaveRun() {
		return second
	}
	return v
}

// runs are the replicas that may have run a call, each once. All of them count against the
// route's attempts: no sign that an instance can get tells that a replica has stopped.
type runs []string

// with returns the runs and the replica.
func (r runs) with(replica string) runs {
	if slices.Contains(r, replica) {
		return r
	}
	return append(slices.Clip(r), replica)
}

// sending is one sending of a call to a replica.
type sending struct {
	grant *scheduler.Grant
	began time.Time
	// events is the number of events that it gave.
	events int
	// err is why there is no whole answer, where an error tells.
	err error
}

// failedAs tells what a sending came to that ended with an error.
func (s *sending) failedAs(ctx context.Context, err error) verdict {
	s.err = err
	switch {
	case errors.Is(err, httpconn.ErrConnectionLimit):
		return full
	case errors.Is(err, httpconn.ErrNotSent):
		return notSent
	case wasSilent(ctx), errors.Is(err, httpconn.ErrUnresponsive), netdial.Unresponsive(err):
		return cutOff
	default:
		return lost
	}
}

// sendings counts how sendings ended.
type sendings struct {
	ended    [cutOff + 1]metrics.Counter
	exceeded metrics.Counter
}

func newSendings(registry metrics.Registry) *sendings {
	s := &sendings{exceeded: metrics.GetOrRegisterCounter("gateway.attempts.exceeded", registry)}
	for v := range s.ended {
		s.ended[v] = metrics.GetOrRegisterCounter("gateway.sendings."+verdict(v).String(), registry)
	}
	return s
}

// sendingEnded records what a sending came to.
func (f *flight) sendingEnded(ctx context.Context, s *sending, v verdict) {
	f.gateway.sendings.ended[v].Inc(1)
	if v.mayHaveRun() {
		f.noteRun(s.grant.Upstream)
	}
	if v == whole {
		return
	}
	fields := log.Fields{
		"request":     f.call.ID,
		"replica":     s.grant.Upstream,
		"data_centre": s.grant.DataCentre,
		"verdict":     v.String(),
		"ms":          time.Since(s.began).Milliseconds(),
		"events":      s.events,
		"ran_at":      len(f.runs),
		"attempts":    f.route.Attempts,
		"unheard_ms":  f.gateway.settings.SilentFor(s.grant.DataCentre).Milliseconds(),
	}
	if cause := context.Cause(ctx); cause != nil {
		fields["cause"] = cause.Error()
	}
	entry := f.gateway.logger.WithFields(fields)
	if s.err != nil {
		entry = entry.WithError(s.err)
	}
	entry.Info("sending ended")
}

// noteRun records that the replica may have run the call.
func (f *flight) noteRun(replica string) {
	before := len(f.runs)
	f.runs = f.runs.with(replica)
	if len(f.runs) > before && len(f.runs) == f.route.Attempts+1 {
		f.gateway.sendings.exceeded.Inc(1)
	}
}
