package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

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
	// cutOff says that the replica stopped answering anything; it may have run.
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

// runs are the replicas that may have run a call.
type runs struct {
	// within are those that count against the route's attempts, cutOff those that do not: a
	// replica that is cut off works for nobody.
	within, cutOff []string
}

// note takes down what a sending to the replica came to. One that was cut off after it may have
// run the call before counts.
func (r *runs) note(replica string, v verdict) {
	switch {
	case !v.mayHaveRun() || slices.Contains(r.within, replica):
	case v == cutOff && !slices.Contains(r.cutOff, replica):
		r.cutOff = append(r.cutOff, replica)
	case v != cutOff:
		r.within = append(r.within, replica)
	}
}

// any reports whether some replica may have run the call.
func (r *runs) any() bool { return len(r.within)+len(r.cutOff) > 0 }

// counted is the number of replicas that count against the route's attempts.
func (r *runs) counted() int { return len(r.within) }

// sending is one sending of a call to a replica.
type sending struct {
	grant *scheduler.Grant
	began time.Time
	// events is the number of events that it gave.
	events int
	// err is why there is no whole answer, where an error tells.
	err error
}

// sendings counts how sendings ended.
type sendings struct {
	ended    [cutOff + 1]metrics.Counter
	exceeded metrics.Counter
	// reached counts the replicas in silent data centres that were found to answer.
	reached metrics.Counter
}

func newSendings(registry metrics.Registry) *sendings {
	s := &sendings{
		exceeded: metrics.GetOrRegisterCounter("gateway.attempts.exceeded", registry),
		reached:  metrics.GetOrRegisterCounter("gateway.silent.reached", registry),
	}
	for v := range s.ended {
		s.ended[v] = metrics.GetOrRegisterCounter("gateway.sendings."+verdict(v).String(), registry)
	}
	return s
}

// sendingEnded takes down what a sending came to.
func (f *flight) sendingEnded(ctx context.Context, s *sending, v verdict) {
	f.gateway.sendings.ended[v].Inc(1)
	before := f.runs.counted()
	f.runs.note(s.grant.Upstream, v)
	if n := f.runs.counted(); n > before && n == f.route.Attempts+1 {
		f.gateway.sendings.exceeded.Inc(1)
	}
	if v == whole {
		return
	}
	entry := f.gateway.logger.WithField("request", f.call.ID).WithField("replica", s.grant.Upstream).
		WithField("data_centre", s.grant.DataCentre).WithField("verdict", v.String()).
		WithField("ms", time.Since(s.began).Milliseconds()).WithField("events", s.events).
		WithField("ran_at", f.runs.counted()).WithField("cut_off", len(f.runs.cutOff)).WithField("attempts", f.route.Attempts).
		WithField("unheard_ms", f.gateway.settings.Silence(s.grant.DataCentre).Milliseconds())
	if cause := context.Cause(ctx); cause != nil {
		entry = entry.WithField("cause", cause.Error())
	}
	if s.err != nil {
		entry = entry.WithError(s.err)
	}
	entry.Info("sending ended")
}
