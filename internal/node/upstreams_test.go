package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

func replica(id string, born int64, draining bool) routing.Replica {
	return routing.Replica{ID: id, Incarnation: born, Service: "s", Address: "10.0.0.1:80", Slots: 2, Draining: draining}
}

func names(list []routing.Replica) []string {
	var out []string
	for i := range list {
		out = append(out, list[i].Name())
	}
	return out
}

// All calls are refused for seconds: the store was away, the entries of living
// replicas lapsed meanwhile, and are only written again after its return. They
// must be used until then, and be taken for gone when the time is over.
func TestLapsedReplicasAreUsedUntilTheyMayBeBack(t *testing.T) {
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

// A leaving replica gets calls after the bound: it said so, and its entry is
// removed while the store is unsettled. Only one that did not leave may be held.
func TestLeavingReplicaIsNotHeld(t *testing.T) {
	is := is.New(t)
	var l removalHold
	before := []routing.Replica{replica("a", 1, true)}
	is.Equal(len(l.merge(before, nil, time.Second)), 0)
}

// A replica that started again under its id must not pass for the one before:
// what is known of that one's load and cache is wrong of it.
func TestUpstreamsAreNamedByTheirStart(t *testing.T) {
	is := is.New(t)
	engine := routing.Service{Name: "s", Engine: &routing.Engine{CacheTokens: 9}}
	table := routing.NewTable(1, routing.Limits{}, nil, nil, []routing.Service{engine})
	list := upstreamsOf(table, []routing.Replica{replica("a", 1, false), replica("a", 2, false), replica("b", 1, true)})
	is.Equal(len(list), 2)
	is.True(list[0].Name != list[1].Name)
	is.Equal(list[0].Models, []string{"s"})
	is.Equal(routing.ReplicaID(list[1].Name), "a")
}
