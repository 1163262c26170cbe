package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

func replica(id string, incarnation int64, draining bool) routing.Replica {
	return routing.Replica{ID: id, Incarnation: incarnation, Service: "s", Address: "10.0.0.1:80", Slots: 2, Draining: draining}
}

func names(list []routing.Replica) []string {
	var result []string
	for i := range list {
		result = append(result, list[i].Name())
	}
	return result
}

// Guards against refusing all calls for seconds after a store outage: the entries of live replicas
// expired during it, and are written again only after its end. The replicas must stay in use for
// the grace period and be dropped after it.
func TestExpiredReplicasAreUsedWithinTheGracePeriod(t *testing.T) {
	is := is.New(t)
	var l removalHold
	before := []routing.Replica{replica("a", 1, false), replica("b", 1, false)}
	now := l.merge(before, nil, time.Second)
	is.Equal(len(now), 2)
	back := []routing.Replica{replica("a", 1, false)}
	now = l.merge(now, back, time.Second)
	is.Equal(len(now), 2)
	is.Equal(names(l.merge(now, back, 0)), []string{"a@1"})
}

// Guards against calls to a draining replica whose entry is removed within the grace period after a
// store outage. The removal of a draining replica must not be delayed.
func TestRemovalOfDrainingReplicaIsNotDelayed(t *testing.T) {
	is := is.New(t)
	var l removalHold
	before := []routing.Replica{replica("a", 1, true)}
	is.Equal(len(l.merge(before, nil, time.Second)), 0)
}

// A replica restarted under the same id must count as a new upstream: the load and cache known of
// the previous incarnation do not apply to it.
func TestUpstreamsAreNamedByIncarnation(t *testing.T) {
	is := is.New(t)
	engine := routing.Service{Name: "s", Engine: &routing.Engine{CacheTokens: 9}}
	table := routing.NewTable(1, routing.Limits{}, nil, nil, []routing.Service{engine})
	list := upstreamsOf(table, []routing.Replica{replica("a", 1, false), replica("a", 2, false), replica("b", 1, true)})
	is.Equal(len(list), 2)
	is.True(list[0].Name != list[1].Name)
	is.Equal(list[0].Models, []string{"s"})
	is.Equal(routing.ReplicaID(list[1].Name), "a")
}
