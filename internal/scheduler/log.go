package scheduler

import (
	"maps"
	"time"

	"github.com/apex/log"

	"foxhall/internal/placement"
)

// logDecision writes one log line for a placement: the chosen upstream, its estimated times and
// cost, and the number of candidates rejected for each reason.
func (s *Scheduler) logDecision(g *Grant) {
	if s.settings.Logger == nil {
		return
	}
	d := &g.Decision
	fields := s.fieldsOf(g.waiter, d)
	fields["upstream"] = g.Upstream
	fields["data_centre"] = g.DataCentre
	fields["wait_ms"] = millis(d.Estimate.Wait)
	fields["prefill_ms"] = millis(d.Estimate.Prefill)
	fields["decode_ms"] = millis(d.Estimate.Decode)
	fields["wasted_ms"] = millis(d.Estimate.RedundantPrefill)
	fields["cost"] = d.Estimate.Cost
	fields["slowness"] = d.Estimate.Slowness
	fields["ties"] = d.Ties
	fields["cached"] = g.cachedTokens
	fields["queued_ms"] = time.Since(g.waiter.enqueued).Milliseconds()
	if g.moveFrom != "" {
		fields["move_from"] = g.moveFrom
	}
	s.settings.Logger.WithFields(fields).Info("placed")
}

// logRefusal writes one log line for a refused step.
func (s *Scheduler) logRefusal(w *waiter, r *Refusal) {
	if s.settings.Logger == nil {
		return
	}
	fields := s.fieldsOf(w, &r.decision)
	maps.Copy(fields, r.Fields())
	fields["code"] = string(r.Code)
	fields["reason"] = r.Message
	fields["retry_after_ms"] = r.RetryAfter.Milliseconds()
	fields["queued_ms"] = time.Since(w.enqueued).Milliseconds()
	s.settings.Logger.WithFields(fields).Warn("refused")
}

func (s *Scheduler) fieldsOf(w *waiter, d *placement.Decision) log.Fields {
	fields := log.Fields{
		"program":     w.request.Program,
		"plan":        w.request.Plan,
		"policy":      string(s.settings.Policy),
		"prompt":      w.promptTokens,
		"output":      w.step.OutputTokens,
		"best_cached": d.BestCached,
	}
	if w.request.Model != "" {
		fields["model"] = w.request.Model
	} else {
		fields["service"] = w.request.Service
	}
	if w.request.CallID != "" {
		fields["request"] = w.request.CallID
	}
	if w.byUrgency {
		w.addUrgency(fields)
	}
	if w.urgent.waitsFor != "" {
		fields["waited_for"] = w.urgent.waitsFor
	}
	for reason, n := range d.Rejections {
		if n > 0 {
			fields["out_"+placement.Reason(reason).String()] = n
		}
	}
	return fields
}

// addUrgency adds what decided on the step's place in the queue.
func (w *waiter) addUrgency(fields log.Fields) {
	fields["class"] = w.urgent.state.Class.String()
	fields["rank"] = w.urgent.order.Rank
	fields["full"] = w.urgent.full
}

func millis(seconds float64) int64 { return int64(seconds * 1000) }
