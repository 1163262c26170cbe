package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/quarantine"
	"foxhall/internal/scheduler"
)

// setBody sets the body that replicas receive.
func (f *inFlightCall) setBody(body []byte) {
	f.body = body
	content := quarantine.Content{Account: f.customerName(), Method: f.call.Method, Host: f.call.Host, Target: f.call.Target, Body: body}
	f.fingerprint = content.Fingerprint()
}

// place is a replica that the scheduler granted for one attempt, or several if they all go there.
type place struct {
	grant *scheduler.Grant
	// leave ends the attempts' mark of a suspected content.
	leave func()
	// retried is set once a second attempt was made at the replica.
	retried bool
	// verdict is the verdict over the attempts at the replica that have ended.
	verdict verdict
}

// nextPlace returns a place for the call's next attempt, or the call's result if it gets none. What is
// held against the content is looked up again after each wait.
func (f *inFlightCall) nextPlace(ctx context.Context, hedges bool) (*place, *Result) {
	// triedEnds is the number of ends with which the attempt is the trial of a rejected content; 0 if it
	// is none.
	triedEnds := 0
	// Once the call may not be sent any more, since this instance stops, it waits for nothing.
	ctx, release := f.gateway.shutdown.whileAccepted(ctx, f.deadline)
	defer release()
	if delay := min(refusalBackoff(f.refusals), time.Until(f.placementDeadline())); delay > 0 {
		sleep(ctx, delay)
	}
	for {
		if !f.isAccepted() {
			return nil, f.endForShutdown()
		}
		standing := f.standing()
		if standing.Rejected() && standing.Ends != triedEnds {
			if f.isProvisional() && sleep(ctx, proofCheckInterval) {
				continue
			}
			if triedEnds > 0 || !f.beginTrial() {
				return nil, f.rejectQuarantined()
			}
			triedEnds = standing.Ends
		}
		if standing.Isolated() && f.leaveIsolation == nil {
			if result := f.isolate(ctx); result != nil && f.isAccepted() {
				return nil, result
			}
			continue
		}
		if f.mustAwaitProof(standing) {
			f.awaitProof(ctx)
			continue
		}
		grant, refusal := f.acquire(ctx, standing.Suspected(), hedges)
		if refusal == nil && !f.maySend(grant) {
			grant.Done(scheduler.Feedback{Cancelled: true})
			return nil, f.endForShutdown()
		}
		if refusal != nil && !f.isAccepted() {
			return nil, f.endForShutdown()
		}
		if refusal != nil {
			result := f.endWithoutResponse(responseLost, refusal)
			return nil, &result
		}
		now := f.standing()
		if now.Rejected() && now.Ends != triedEnds || now.Isolated() && f.leaveIsolation == nil || f.mustAwaitProof(now) {
			grant.Done(scheduler.Feedback{Cancelled: true})
			continue
		}
		at := &place{grant: grant, leave: func() {}}
		if now.Suspected() {
			at.leave = f.gateway.isolation.Place(grant.Upstream)
		}
		return at, nil
	}
}

// beginTrial reports whether the attempt may be sent although the content is rejected.
func (f *inFlightCall) beginTrial() bool {
	s := &f.gateway.settings
	if s.Turn == nil {
		return false
	}
	runs := func(version string) bool { return s.RunsVersion == nil || s.RunsVersion(f.service.Name, version) }
	now := time.Now()
	if !s.Quarantine.Trial(f.fingerprint, s.Turn(), runs, now) {
		return false
	}
	ends, _ := s.Quarantine.Ends(f.fingerprint, now)
	f.gateway.logger.WithFields(log.Fields{"request": f.call.ID, "content": f.fingerprint.String(), "ends": quarantine.Describe(ends, now)}).
		Info("trial of a rejected content")
	return true
}

func (f *inFlightCall) standing() quarantine.Standing {
	return f.gateway.settings.Quarantine.Standing(f.fingerprint, time.Now())
}

// isProvisional reports whether the rejection of the content may be taken back in a moment.
func (f *inFlightCall) isProvisional() bool {
	return f.gateway.settings.Quarantine.IsProvisional(f.fingerprint, time.Now())
}

// isolate waits until the call may run alone, hedges included, which lasts until the call ends. If that
// takes too long, it returns the call's result.
func (f *inFlightCall) isolate(ctx context.Context) *Result {
	waitCtx, cancel := context.WithTimeout(ctx, quarantine.IsolationWait)
	defer cancel()
	began := time.Now()
	leave, ok := f.gateway.isolation.Enter(waitCtx, f.fingerprint)
	f.stageTimes.placing += time.Since(began)
	if ok {
		f.leaveIsolation = leave
		return nil
	}
	if len(f.possibleRuns) > 0 {
		r := f.failureResult(responseLost)
		return &r
	}
	r := refused(Isolated, quarantine.IsolationWait)
	r.Attempts, r.Replica = f.attempts, f.lastReplica
	return &r
}

const (
	// proofWait bounds the wait for the proof of doubtful ends: a replica that starts again at once
	// accepts connections, and is in the list within about a second.
	proofWait = time.Second
	// proofCheckInterval is how often the wait looks for it.
	proofCheckInterval = 20 * time.Millisecond
)

// mustAwaitProof reports whether the content would be rejected if its doubtful ends were proven, and the
// call has not yet waited for that. It waits again for each further end.
//
// It prevents the following failure: a call waited while two ends were known, ended the third replica
// itself, and sent the content to a fourth one before the third end was proven.
func (f *inFlightCall) mustAwaitProof(s quarantine.Standing) bool {
	return s.InDoubt() && s.Ends+s.Doubts > f.awaitedEnds
}

// awaitProof waits while the content would be rejected if its doubtful ends were proven. Doubts alone
// delay a call and do not reject it.
func (f *inFlightCall) awaitProof(ctx context.Context) {
	for began := time.Now(); ; {
		s := f.standing()
		if !s.InDoubt() {
			return
		}
		if time.Since(began) >= proofWait || !sleep(ctx, proofCheckInterval) {
			f.awaitedEnds = s.Ends + s.Doubts
			return
		}
	}
}

// rejectQuarantined returns the result of a call whose content ended too many replicas. A call that was
// sent may have run. One that was not is told so: the status promises that it has not run and leaves the
// caller free to try again, since the ends may have had another cause.
func (f *inFlightCall) rejectQuarantined() *Result {
	ends, left := f.gateway.settings.Quarantine.Ends(f.fingerprint, time.Now())
	f.gateway.logger.WithFields(log.Fields{
		"request": f.call.ID, "content": f.fingerprint.String(), "ends": quarantine.Describe(ends, time.Now()), "kept_ms": left.Milliseconds(),
	}).Info("call rejected: replicas ended under its content")
	if len(f.possibleRuns) > 0 {
		r := f.result(Unknown, Quarantined, 0)
		if f.headerSent {
			r.Outcome = Truncated
		}
		return &r
	}
	r := refused(Quarantined, left)
	r.Attempts, r.Replica = f.attempts, f.lastReplica
	return &r
}

// judgeReplica records what an attempt showed about its replica: that it completed the content, or that
// it ended or may have ended under it.
func (f *inFlightCall) judgeReplica(state *attemptState, v verdict) {
	f.replicaRefuses = state.liveness == httpconn.Refused
	table, now := f.gateway.settings.Quarantine, time.Now()
	if state.finished {
		if table.RecordCompletion(f.fingerprint, now) {
			f.gateway.logger.WithFields(log.Fields{"request": f.call.ID, "content": f.fingerprint.String(), "replica": state.grant.Upstream}).
				Info("content cleared by a complete response")
		}
		return
	}
	end := quarantine.End{Replica: state.grant.Upstream, Version: state.grant.Version, Began: state.began, At: now}
	evidence, ok := state.evidenceOfEnd(v)
	switch {
	case ok:
		end.Evidence = evidence
		f.recordEnd(state, end, now)
	case f.gaveUp(state, v):
		table.RecordGivenUp(f.fingerprint, end, now)
	}
}

// recordEnd records the end, or the possible end, of an attempt's replica.
func (f *inFlightCall) recordEnd(state *attemptState, end quarantine.End, now time.Time) {
	standing := f.gateway.settings.Quarantine.RecordEnd(f.fingerprint, end, now)
	if end.Evidence == quarantine.Silent {
		return
	}
	if end.Evidence == quarantine.Broken && state.ctx.Err() != nil {
		f.probeLater(state, end)
	}
	f.gateway.logger.WithFields(log.Fields{
		"request": f.call.ID, "content": f.fingerprint.String(), "replica": end.Replica, "evidence": end.Evidence.String(),
		"ends": standing.Ends, "doubts": standing.Doubts, "ran_ms": now.Sub(state.began).Milliseconds(),
	}).Info("replica ended under a call")
}

// evidenceOfEnd returns what the attempt shows about the end of its replica; false for nothing.
func (a *attemptState) evidenceOfEnd(v verdict) (quarantine.Evidence, bool) {
	switch {
	case a.connectionBroke(v) && a.liveness == httpconn.Refused:
		return quarantine.Proven, true
	case a.connectionBroke(v):
		return quarantine.Broken, true
	case v == unresponsive && a.ctx.Err() == nil:
		return quarantine.Silent, true
	default:
		return 0, false
	}
}

// connectionBroke reports whether the replica's side closed or reset the connection while the call
// may have been running. The error shows it also if the call's time was up by then: a connection that
// was closed on this side fails with another one.
func (a *attemptState) connectionBroke(v verdict) bool {
	return v.mayHaveRun() && httpconn.IsBroken(a.err)
}

// gaveUp reports whether the attempt ended because the call's time was up, the caller left or this instance
// stops, while its replica was silent: no part of any response had arrived from it for some time. The replica
// may go on and end under the call, which nobody sees then.
func (f *inFlightCall) gaveUp(a *attemptState, v verdict) bool {
	silentFrom := time.Now().Add(-minAttemptTimeout)
	return v.mayHaveRun() && (f.callerCtx.Err() != nil || errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) || errors.Is(context.Cause(a.ctx), errStopping)) &&
		!a.lastReceived().After(silentFrom) && !a.grant.HasBeenHeard(silentFrom)
}

// probe finds out whether the replica of a broken connection still accepts connections.
func (f *inFlightCall) probe(state *attemptState) { state.liveness = f.look(state) }

// look returns whether an attempt's replica accepts connections. Once the attempt's time is up, nothing is found out;
// see probeLater.
func (f *inFlightCall) look(state *attemptState) httpconn.Liveness {
	if state.ctx.Err() != nil {
		return httpconn.LivenessUnknown
	}
	target := Target{ID: state.grant.Upstream, Address: state.grant.Address}
	liveness := f.gateway.replicas.Probe(state.ctx, target, f.connectionLimit())
	f.gateway.attempts.probes[liveness].Inc(1)
	return liveness
}

// probeLater finds out, without keeping the caller waiting, whether the replica of a connection that broke
// when the call's time was up still accepts connections, and records its end if it refuses them.
func (f *inFlightCall) probeLater(state *attemptState, end quarantine.End) {
	ctx, target, limit := context.WithoutCancel(state.ctx), Target{ID: end.Replica, Address: state.grant.Address}, f.connectionLimit()
	g, content := f.gateway, f.fingerprint
	go func() {
		liveness := g.replicas.Probe(ctx, target, limit)
		g.attempts.probes[liveness].Inc(1)
		if liveness != httpconn.Refused {
			return
		}
		end.Evidence = quarantine.Proven
		g.settings.Quarantine.RecordEnd(content, end, time.Now())
		g.logger.WithFields(log.Fields{"content": content.String(), "replica": end.Replica}).Info("end of a replica confirmed: it refuses connections")
	}()
}
