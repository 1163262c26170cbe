package node

import (
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/mirror"
)

// unusableEntries logs and counts the entries of replicas that name none to use, once for each change.
type unusableEntries struct {
	problem func(id string, data []byte) error
	logger  log.Interface
	count   metrics.Gauge
	// since is when each of them became unusable.
	since map[string]time.Time
}

func newUnusableEntries(problem func(id string, data []byte) error, logger log.Interface, registry metrics.Registry) *unusableEntries {
	return &unusableEntries{problem: problem, logger: logger, count: metrics.GetOrRegisterGauge("replicas.unusable", registry), since: map[string]time.Time{}}
}

// observe takes note of changed entries, those of them that could not be decoded, and those that were removed.
func (u *unusableEntries) observe(changed, undecoded []mirror.Entry, removed []string, now time.Time) {
	if len(undecoded) == 0 && len(u.since) == 0 {
		return
	}
	unusable := map[string]bool{}
	for _, e := range undecoded {
		unusable[e.Name] = true
		u.begin(e, now)
	}
	for _, e := range changed {
		if !unusable[e.Name] {
			u.end(e.Name, "usable", now)
		}
	}
	for _, name := range removed {
		u.end(name, "removed", now)
	}
	u.count.Update(int64(len(u.since)))
}

func (u *unusableEntries) begin(e mirror.Entry, now time.Time) {
	if _, known := u.since[e.Name]; !known {
		u.since[e.Name] = now
	}
	u.logger.WithField("replica", e.Name).WithField("revision", uint64(e.Revision)).WithField("bytes", len(e.Value)).
		WithField("problem", u.problem(e.Name, e.Value).Error()).WithField("unusable_ms", now.Sub(u.since[e.Name]).Milliseconds()).
		Warn("entry of a replica is unusable")
}

func (u *unusableEntries) end(name, state string, now time.Time) {
	since, known := u.since[name]
	if !known {
		return
	}
	delete(u.since, name)
	u.logger.WithField("replica", name).WithField("state", state).WithField("unusable_ms", now.Sub(since).Milliseconds()).
		Info("entry of a replica no longer unusable")
}
