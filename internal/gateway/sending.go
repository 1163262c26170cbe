package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/buffer"
	"foxhall/internal/httpconn"
	"foxhall/internal/netdial"
	"foxhall/internal/scheduler"
)

// verdict is the result of one attempt.
type verdict uint8

const (
	// complete: the replica's complete response was received.
	complete verdict = iota
	// notRun: the replica refused the call.
	notRun
	// noFreeConnection: all connections that this instance may open to the replica were in use.
	noFreeConnection
	// notSent: no connection could be opened, or no byte of the call was sent.
	notSent
	// responseLost: the call was sent and no response arrived; it may have run.
	responseLost
	// invalidResponse: the call ran and its response can't be used, or it may have run and what the replica sent is no
	// response.
	invalidResponse
	// oversizedResponse: the call ran and a part of its response exceeded a bound on memory.
	oversizedResponse
	// unresponsive: the replica's data centre or the connection fell silent; the call may have run.
	unresponsive
)

// String returns the verdict's name in log lines and counters.
func (v verdict) String() string {
	return [...]string{"whole", "not-run", "full", "not-sent", "lost", "spoiled", "oversized", "cut-off"}[v]
}

// mayHaveRun reports whether the replica may have worked on the call.
func (v verdict) mayHaveRun() bool { return v != notRun && v != noFreeConnection && v != notSent }

// replicaNames lists the replicas that may have run a call, each once. All of them count against
// the route's attempts, since an instance has no means to learn that a replica has stopped.
type replicaNames []string

// with returns the list with the replica added.
func (r replicaNames) with(replica string) replicaNames {
	if slices.Contains(r, replica) {
		return r
	}
	return append(slices.Clip(r), replica)
}

// classifyError records the error that ended the attempt and returns its verdict.
func (a *attemptState) classifyError(err error) verdict {
	a.err = err
	a.unfinished = a.unfinished || errors.Is(err, httpconn.ErrStrayBytes)
	switch {
	case errors.Is(err, httpconn.ErrConnectionLimit):
		return noFreeConnection
	case errors.Is(err, httpconn.ErrNotSent):
		return notSent
	case errors.Is(err, httpconn.ErrHeaderTooLarge):
		return oversizedResponse
	case errors.Is(err, httpconn.ErrMalformed):
		return invalidResponse
	case a.supersededInDataCentreSilence(), errors.Is(err, httpconn.ErrUnresponsive), netdial.IsUnresponsive(err):
		return unresponsive
	default:
		return responseLost
	}
}

// classifyBufferError records the error for which a part of a response could not be buffered, and
// returns the attempt's verdict. The replica is at fault only if the response itself is too large.
func (a *attemptState) classifyBufferError(err error) verdict {
	a.err = err
	if errors.Is(err, errEventTooLarge) || errors.Is(err, errBodyTooLarge) || errors.Is(err, buffer.ErrOversized) {
		return oversizedResponse
	}
	if !a.sharesPlace {
		a.grant.Done(scheduler.Feedback{Cancelled: true}) // no evidence about the replica
	}
	return invalidResponse
}

// attemptCounters counts attempts by verdict, and calls that may have run at more replicas than
// their route allows.
type attemptCounters struct {
	byVerdict [unresponsive + 1]metrics.Counter
	// probes counts the probes after broken connections by result.
	probes   [httpconn.Refused + 1]metrics.Counter
	exceeded metrics.Counter
	// resumptions counts the attempts that resume a stream after an event that the caller has.
	resumptions metrics.Counter
	// hedges counts the attempts that were started because another one was silent, hedgesWon those of
	// them that took over, and hedgesAbandoned those that ended because the other one went on.
	hedges, hedgesWon, hedgesAbandoned metrics.Counter
	// cuts counts the responses that were cut short by where, cutsInEvent the streams that ended within an event,
	// and framedByClose the complete responses of which only the end of their connection showed the end.
	cuts                       [httpconn.CutCount]metrics.Counter
	cutsInEvent, framedByClose metrics.Counter
}

func newAttemptCounters(registry metrics.Registry) *attemptCounters {
	s := &attemptCounters{exceeded: metrics.GetOrRegisterCounter("gateway.attempts.exceeded", registry)}
	s.resumptions = metrics.GetOrRegisterCounter("gateway.streams.resumptions", registry)
	s.hedges = metrics.GetOrRegisterCounter("gateway.hedges.started", registry)
	s.hedgesWon = metrics.GetOrRegisterCounter("gateway.hedges.won", registry)
	s.hedgesAbandoned = metrics.GetOrRegisterCounter("gateway.hedges.abandoned", registry)
	for v := range s.byVerdict {
		s.byVerdict[v] = metrics.GetOrRegisterCounter("gateway.sendings."+verdict(v).String(), registry)
	}
	s.cutsInEvent = metrics.GetOrRegisterCounter("gateway.cuts."+cutInEvent, registry)
	s.framedByClose = metrics.GetOrRegisterCounter("gateway.framed_by_close", registry)
	for c := range s.cuts {
		s.cuts[c] = metrics.GetOrRegisterCounter("gateway.cuts."+httpconn.Cut(c).String(), registry)
	}
	for l := range s.probes {
		s.probes[l] = metrics.GetOrRegisterCounter("gateway.probes."+httpconn.Liveness(l).String(), registry)
	}
	return s
}

// recordAttempt counts the attempt by its verdict, and logs it unless it is complete.
func (f *inFlightCall) recordAttempt(a *attemptState, v verdict) {
	f.open = slices.DeleteFunc(f.open, func(open *attemptState) bool { return open == a })
	f.stageTimes.awaitingHeader += a.headerWait
	if v.mayHaveRun() {
		f.recordPossibleRun(a.grant.Upstream)
		f.recordReach(a.began)
	}
	if a.wasAbandoned() {
		f.gateway.attempts.hedgesAbandoned.Inc(1)
		return
	}
	f.gateway.attempts.byVerdict[v].Inc(1)
	if a.connectionBroke(v) {
		f.probe(a)
	}
	f.judgeReplica(a, v)
	if v == complete {
		if a.finished && a.response.FramedByClose {
			f.gateway.attempts.framedByClose.Inc(1)
		}
		return
	}
	fields := log.Fields{
		"request":     f.call.ID,
		"replica":     a.grant.Upstream,
		"data_centre": a.grant.DataCentre,
		"verdict":     v.String(),
		"ms":          time.Since(a.began).Milliseconds(),
		"silent_ms":   time.Since(a.lastReceived()).Milliseconds(),
		"left_ms":     time.Until(f.deadline).Milliseconds(),
		"awaited":     a.awaited(),
		"events":      a.eventCount,
		"ran_at":      len(f.possibleRuns),
		"attempts":    f.route.Attempts,
		"unheard_ms":  f.gateway.settings.SilentFor(a.grant.DataCentre).Milliseconds(),
		"content":     f.fingerprint.String(),
	}
	f.gateway.shutdown.addTo(fields)
	if a.grant.Version != "" {
		fields["replica_version"] = a.grant.Version
	}
	if a.resumeAfter != "" {
		fields["resume_after"] = boundedID(a.resumeAfter)
	}
	if a.connectionBroke(v) {
		fields["replica_state"] = a.liveness.String()
	}
	if cut := f.gateway.attempts.countCut(a.err); cut != "" {
		fields["cut"] = cut
	}
	if cause := context.Cause(a.ctx); cause != nil {
		fields["cause"] = cause.Error()
	}
	entry := f.gateway.logger.WithFields(fields)
	if a.err != nil {
		entry = entry.WithError(a.err)
	}
	entry.Info("attempt failed")
}

// cutInEvent is the name of a cut within an event in log lines and counters.
const cutInEvent = "event"

// countCut counts where a response was cut short whose attempt failed with err, and returns its name; empty if it
// wasn't.
func (c *attemptCounters) countCut(err error) string {
	if errors.Is(err, errCutInEvent) {
		c.cutsInEvent.Inc(1)
		return cutInEvent
	}
	cut, ok := httpconn.CutOf(err)
	switch {
	case errors.Is(err, errReplicaEnded):
		cut = httpconn.CutClose
	case !ok:
		return ""
	}
	c.cuts[cut].Inc(1)
	return cut.String()
}

// recordPossibleRun records that the replica may have run the call.
func (f *inFlightCall) recordPossibleRun(replica string) {
	before := len(f.possibleRuns)
	f.possibleRuns = f.possibleRuns.with(replica)
	if len(f.possibleRuns) > before && len(f.possibleRuns) == f.route.Attempts+1 {
		f.gateway.attempts.exceeded.Inc(1)
	}
}
