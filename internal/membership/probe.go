package membership

import (
	"context"
	"sync"
	"time"

	"foxhall/internal/program"
)

// probe pings a member, directly and then through helpers, and records a probe
// failure if neither reaches it.
func (r *Runner) probe(ctx context.Context, t target) {
	if r.ping(ctx, t) == nil || ctx.Err() != nil {
		return
	}
	r.failures.Inc(1)
	outcome, reached := r.probeIndirectly(ctx, t)
	if reached || ctx.Err() != nil {
		return
	}
	r.update(func(table *Table, now time.Time) { table.RecordProbeFailure(t.cohort, t.incarnation, outcome, now) })
}

// ping sends one heartbeat and applies the response.
func (r *Runner) ping(ctx context.Context, t target) error {
	r.probes.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, r.options.Timing.ProbeTimeout)
	defer cancel()
	pong, err := r.options.Transport.Ping(ctx, t.address, r.newPing(t.cohort))
	if err != nil {
		return err
	}
	r.mergePong(t.cohort, pong)
	return nil
}

func (r *Runner) newPing(to program.Cohort) Ping {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Ping{
		Sender:  r.table.Self(),
		Target:  to,
		Records: r.table.piggyback(to, r.rng, time.Now()),
	}
}

// mergePong applies a response. A response from another cohort proves that the
// expected one has ended, since its address is in use by another process.
func (r *Runner) mergePong(expected program.Cohort, pong Pong) {
	r.update(func(t *Table, now time.Time) {
		t.Merge(pong.Responder, now)
		t.RecordContact(pong.Responder.Cohort, now)
		for _, record := range pong.Records {
			t.Merge(record, now)
		}
		if expected != "" && expected != pong.Responder.Cohort {
			t.DeclareSuperseded(expected, now)
		}
	})
}

// probeIndirectly sends an indirect probe through each helper and reports
// whether one of them reached the target.
func (r *Runner) probeIndirectly(ctx context.Context, t target) (IndirectProbeFailure, bool) {
	r.mu.Lock()
	helpers := r.table.helpers(t, r.rng)
	self := r.table.Self()
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, 2*r.options.Timing.ProbeTimeout)
	defer cancel()
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		reached bool
		outcome IndirectProbeFailure
	)
	for _, h := range helpers {
		wait.Go(func() {
			r.probes.Inc(1)
			m := IndirectPing{Sender: self, Target: t.cohort, TargetAddress: t.address}
			result, err := r.options.Transport.PingVia(ctx, h.address, m)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				outcome.Unresponsive = append(outcome.Unresponsive, h.cohort)
			case result.Reached:
				reached = true
				r.update(func(table *Table, now time.Time) { table.Merge(result.Target, now) })
			default:
				outcome.Failed = append(outcome.Failed, h.cohort)
			}
		})
	}
	wait.Wait()
	return outcome, reached
}

// probeDead pings a random dead member, so that a wrongly declared one can refute.
func (r *Runner) probeDead(ctx context.Context) {
	r.mu.Lock()
	t, ok := r.table.pickDead(r.rng)
	r.mu.Unlock()
	if ok {
		_ = r.ping(ctx, t)
	}
}

// HandlePing responds to a heartbeat.
func (r *Runner) HandlePing(m Ping) Pong {
	var pong Pong
	r.update(func(t *Table, now time.Time) {
		t.Merge(m.Sender, now)
		t.RecordContact(m.Sender.Cohort, now)
		for _, record := range m.Records {
			t.Merge(record, now)
		}
		pong.Responder = t.Self()
		pong.Records = append(t.corrections(m.Records, now), t.piggyback(m.Sender.Cohort, r.rng, now)...)
	})
	return pong
}

// HandleIndirectPing pings the target on behalf of the sender.
func (r *Runner) HandleIndirectPing(ctx context.Context, m IndirectPing) IndirectPong {
	r.update(func(t *Table, now time.Time) {
		t.Merge(m.Sender, now)
		t.RecordContact(m.Sender.Cohort, now)
	})
	if r.ping(ctx, target{cohort: m.Target, address: m.TargetAddress}) != nil {
		r.update(func(t *Table, now time.Time) { t.MarkUnreachable(m.Target, now) })
		return IndirectPong{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	member, ok := r.table.Lookup(m.Target)
	return IndirectPong{Reached: ok, Target: member.Record}
}

// HandleJoin responds to a joining instance with all records.
func (r *Runner) HandleJoin(sender Record) Pong {
	var pong Pong
	r.update(func(t *Table, now time.Time) {
		t.Merge(sender, now)
		t.RecordContact(sender.Cohort, now)
		pong.Responder = t.Self()
		pong.Records = t.Records(now)
	})
	return pong
}
