package membership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// surveyWidth bounds the concurrent pings of a survey.
const surveyWidth = 32

// Survey pings the members that are not dead and for which ask returns true, and
// returns a view with their current reports. Heartbeats refresh the reports of
// members in other data centres only within about a minute; an operator who
// checks whether an edit is in force everywhere needs the current state. It
// costs one message per member asked.
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
	// Publish a view that contains the reports that arrived.
	r.update(func(table *Table, _ time.Time) { table.changed = true })
	return r.View()
}
