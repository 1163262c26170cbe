package node

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/mirror"
)

// Guards against an odd entry that nobody can find: each change of it is logged once, with its name, revision
// and problem, and so is its end; the number of such entries is a metric.
func TestUnusableEntriesAreReported(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	lines := memory.New()
	n.unusable.logger = &log.Logger{Handler: lines}
	apply := func(d mirror.Delta) {
		d.Kind = mirror.Replicas
		n.mirror.Apply(d)
		n.refresh()
		n.refresh()
	}
	count := metrics.GetOrRegisterGauge("replicas.unusable", n.registry)
	good := put(replica("a", 1, false))
	good.Revision = 5
	apply(mirror.Delta{Full: true, AsOf: 5, Entries: []mirror.Entry{good, {Name: "b", Revision: 4, Value: []byte("{")}}})
	is.Equal(count.Value(), int64(1))
	apply(mirror.Delta{From: 5, AsOf: 6, Entries: []mirror.Entry{{Name: "a", Revision: 6}}})
	is.Equal(count.Value(), int64(2))
	good.Revision = 7
	apply(mirror.Delta{From: 6, AsOf: 7, Entries: []mirror.Entry{good}})
	apply(mirror.Delta{From: 7, AsOf: 8, Removed: []mirror.Entry{{Name: "b", Revision: 8}}})
	is.Equal(count.Value(), int64(0))
	var told []any
	for _, e := range lines.Entries {
		told = append(told, e.Fields["replica"], e.Fields["problem"], e.Fields["revision"], e.Fields["state"])
	}
	const problem = "unexpected end of JSON input"
	is.Equal(told, []any{"b", problem, uint64(4), nil, "a", problem, uint64(6), nil, "a", nil, nil, "usable", "b", nil, nil, "removed"})
}
