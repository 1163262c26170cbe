package owner

import (
	"context"
	"runtime"
	"slices"

	"foxhall/internal/program"
)

// Available implements Log.
func (n *node) Available() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return !n.w.storeDown
}

// Append implements Log.
func (n *node) Append(ctx context.Context, records ...Record) error {
	if !n.Available() {
		return ErrUnavailable
	}
	if slices.ContainsFunc(records, func(r Record) bool { return len(r.Event) > 1<<20 }) {
		return ErrTooLarge
	}
	d := n.w.waitAtGate(ctx, &gate{kind: "append", node: n})
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	switch {
	case n.sealed:
		return ErrFenced
	case d == refused || d == expired || n.w.storeDown && d == ok:
		return ErrUnavailable
	case d == dropped:
		return ErrOutcomeUnknown
	case d == tooLarge:
		return ErrTooLarge
	case d == delayed:
		n.delayed = append(n.delayed, records...)
		return ErrOutcomeUnknown
	}
	n.records = append(append(n.records, n.delayed...), records...)
	n.delayed = nil
	switch d {
	case responseLost:
		return ErrOutcomeUnknown
	case writtenThenCrash:
		runtime.Goexit()
	}
	return nil
}

// Held implements Lease, for an owner that notices at once that a successor has taken over.
func (n *node) Held() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return !n.sealed
}

// AppendOrReplicate implements Log.
func (n *node) AppendOrReplicate(ctx context.Context, records ...Record) error {
	if n.Available() {
		return n.Append(ctx, records...)
	}
	d := n.w.waitAtGate(ctx, &gate{kind: "hold", node: n})
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.sealed {
		return ErrFenced
	}
	if d != ok {
		return ErrUnavailable
	}
	if n.w.storeDown {
		n.held = append(n.held, records...)
		return nil
	}
	n.records = append(append(n.records, n.delayed...), records...)
	n.delayed = nil
	return nil
}

// restoreStore ends the outage. Running owners write the records that peers hold to their logs,
// except the owner that is about to be replaced.
func (w *world) restoreStore(replaced *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown = false
	for _, n := range w.nodes {
		if !n.sealed && !n.crashed.Load() && n != replaced {
			n.records = append(append(n.records, n.delayed...), n.held...)
			n.delayed, n.held = nil, nil
		}
	}
}

// takeOver seals the owner's log and starts a new node that adopts its programs. tailKept indicates
// that the records held by peers survive, delayedWritten that delayed appends are written before
// the seal.
func (w *world) takeOver(tailKept, delayedWritten bool) *node {
	w.mu.Lock()
	old := w.owner()
	old.sealed = true
	if delayedWritten {
		old.records = append(old.records, old.delayed...)
	}
	tail := Tail{Records: old.held, Uncertain: old.recordLost || !tailKept && len(old.held) > 0}
	if !tailKept {
		tail.Records = nil
	}
	w.mu.Unlock()
	n := w.start()
	w.adoptAll(n, old, tail)
	if w.adoptionIncomplete {
		n.unadopted = slices.Concat(old.unadopted, old.records, tail.Records)
	}
	return n
}

// setDecisions replaces the function that decides on gates.
func (w *world) setDecisions(decide func(g *gate) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decideGate = decide
}

// adoptAll lets n adopt all shards of old.
func (w *world) adoptAll(n, old *node, tail Tail) {
	previous := w.decideGate
	w.setDecisions(func(g *gate) string {
		if g.node == n {
			return ok
		}
		return previous(g)
	})
	defer w.setDecisions(previous)
	for shard := range program.ShardCount {
		inShard := func(list []Record) (out []Record) {
			for _, r := range list {
				if r.Program.Shard() == shard {
					out = append(out, r)
				}
			}
			return out
		}
		err := n.svc.Adopt(context.Background(), Adoption{
			Cohort:  old.svc.Cohort(),
			Shard:   shard,
			Records: inShard(slices.Concat(old.records, old.unadopted)),
			Tail:    Tail{Records: inShard(tail.Records), Uncertain: tail.Uncertain},
		})
		if err != nil {
			panic(err)
		}
	}
}

// loseLastRecord removes the log's last record if it is an event and its program has others, and
// reports whether it did.
func (n *node) loseLastRecord() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if len(n.records) == 0 {
		return false
	}
	last := n.records[len(n.records)-1]
	rest := n.records[:len(n.records)-1]
	several := slices.ContainsFunc(rest, func(r Record) bool { return r.Program == last.Program })
	if last.Kind != EventRecord || !several {
		return false
	}
	n.records, n.recordLost = slices.Clone(rest), true
	return true
}

// Report implements Successor.
func (n *node) Report(ctx context.Context, r Report) error {
	n.w.mu.Lock()
	n.w.reportCount++
	n.w.mu.Unlock()
	return n.w.owner().svc.AcceptReport(ctx, r)
}
