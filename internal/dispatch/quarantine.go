package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/owner"
	"foxhall/internal/quarantine"
	"foxhall/internal/scheduler"
	"foxhall/internal/step"
	"foxhall/internal/tool"
)

// fingerprintOf returns the fingerprint of what an upstream receives of a step, program and step number
// left out. A model call that can't be encoded can't be sent either.
func fingerprintOf(w *owner.Work) quarantine.Fingerprint {
	content := quarantine.Content{Account: w.Call.Plan.Name}
	if t := w.Call.Tool; t != nil {
		content.Method, content.Host, content.Target, content.Body = t.Method, t.Service, t.Path, t.Body
		return content.Fingerprint()
	}
	m := w.Call.Model
	content.Host, content.Target = m.Model, "chat"
	for i := range w.History {
		content.Body = append(append(content.Body, w.History[i].Raw...), '\n')
	}
	if parameters, err := json.Marshal(m.Extra); err == nil {
		content.Body = append(content.Body, parameters...)
	}
	return content.Fingerprint()
}

func (a *admission) standing() quarantine.Standing {
	return a.executor.opt.Quarantine.Standing(a.fingerprint, time.Now())
}

// rejectQuarantined refuses a step whose content ended too many upstreams.
func (a *admission) rejectQuarantined() *step.Result {
	ends, left := a.executor.opt.Quarantine.Ends(a.fingerprint, time.Now())
	log.WithFields(log.Fields{
		"program": string(a.work.Program), "step": a.work.Number, "content": a.fingerprint.String(), "ends": quarantine.Describe(ends, time.Now()),
	}).Info("step rejected: upstreams ended under its content")
	r := step.Refuse(http.StatusServiceUnavailable, step.CodeQuarantined, "upstreams ended under calls with the same content")
	r.RetryAfter = left
	return &r
}

// isBroken reports whether an attempt failed because the upstream closed or reset the connection.
func isBroken(err error) bool { return errors.Is(err, tool.ErrBroken) || httpconn.IsBroken(err) }

// recordAttempt records what an attempt showed about its upstream: that it completed the content, or
// that it ended or may have ended under it.
func (a *admission) recordAttempt(ctx context.Context, grant *scheduler.Grant, began time.Time, err error) {
	table, now := a.executor.opt.Quarantine, time.Now()
	if err == nil {
		table.RecordCompletion(a.fingerprint, now)
		return
	}
	if ctx.Err() != nil || !isBroken(err) {
		return
	}
	evidence := quarantine.Broken
	if a.executor.opt.Probe(ctx, grant.Address) == httpconn.Refused {
		evidence = quarantine.Proven
	}
	standing := table.RecordEnd(a.fingerprint, quarantine.End{Replica: grant.Upstream, Evidence: evidence, Began: began, At: now}, now)
	log.WithFields(log.Fields{
		"program": string(a.work.Program), "step": a.work.Number, "content": a.fingerprint.String(), "upstream": grant.Upstream,
		"evidence": evidence.String(), "ends": standing.Ends, "doubts": standing.Doubts,
	}).Info("upstream ended under a step")
}
