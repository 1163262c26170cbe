package membership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// surveyWidth bounds the members asked at the same time.
const surveyWidth = 32

// Survey asks the members for which ask is true, and that are not dead, for
// their report and returns the view after. Heartbeats refresh what is known of
// far members only within about a minute; an operator who asks whether an edit
// is in force everywhere needs the present state. It costs one message for each
// member asked.
func (r *Runner) Survey(ctx context.Context, ask func(Member) bool) *View {
	r.mu.Lock()
	members := r.table.otherMembers(func(e *entry) bool { return ask(e.Member) })
	targets := make([]target, 0, len(members))
	for _, e := range members {
		targets = append(targets, targetOf(e))
	}
	r.mu.Unlock()

	var group errgroup.Group
	group.SetLimit(surveyWidth)
	for _, t := range targets {
		group.Go(func() error {
			if err := r.ping(ctx, t); err != nil {
				r.update(func(table *Table, now time.Time) { table.MarkUnreachable(t.cohort, now) })
			}
			return nil
		})
	}
	_ = group.Wait()
	// The reports that arrived are in the table and come into a view now.
	r.update(func(table *Table, _ time.Time) { table.changed = true })
	return r.View()
}
