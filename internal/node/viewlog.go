package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
	"foxhall/internal/origin"
)

// viewCheckInterval is how often the age of the view of the replicas is checked for the log.
const viewCheckInterval = 200 * time.Millisecond

// viewAges tells when the view of the replicas becomes out of date, and when it is current again.
type viewAges struct {
	// currentAt is when the view was last found current; zero before the first time.
	currentAt time.Time
	outOfDate bool
}

// update records the age of the view. It reports whether the view became out of date or current again, and since when it
// was not current.
func (v *viewAges) update(age time.Duration, now time.Time) (changed bool, since time.Time) {
	outOfDate := age > origin.MaxViewAge
	since = v.currentAt
	if !outOfDate {
		v.currentAt = now.Add(-age)
	}
	changed = outOfDate != v.outOfDate && !since.IsZero()
	if changed {
		v.outOfDate = outOfDate
	}
	return changed, since
}

// logViewAge logs since when this instance is out of step with the store, and how many streams it refused for that.
func (n *Node) logViewAge(ctx context.Context) {
	ticker := time.NewTicker(viewCheckInterval)
	defer ticker.Stop()
	ages, refused := viewAges{}, n.origins.Unproven()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		changed, since := ages.update(n.mirror.Age(mirror.Replicas, now), now)
		switch {
		case !changed:
		case ages.outOfDate:
			refused = n.origins.Unproven()
			n.logger.WithField("view_age_ms", now.Sub(since).Milliseconds()).Warn("list of replicas out of date; resumed streams without a record are refused")
		default:
			n.logger.WithField("out_of_date_ms", now.Sub(since).Milliseconds()).WithField("refused", n.origins.Unproven()-refused).Info("list of replicas current again")
		}
	}
}
