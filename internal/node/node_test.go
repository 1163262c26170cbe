package node

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/cache"
	"foxhall/internal/gateway"
	"foxhall/internal/mirror"
	"foxhall/internal/peerload/peerloadpb"
	"foxhall/internal/routing"
	"foxhall/internal/scheduler"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
)

// stubReplicas sends nothing.
type stubReplicas struct{ gateway.Replicas }

func (stubReplicas) RetainTargets(func(gateway.Target) (int, bool)) {}

func (stubReplicas) Connections(string, string, int) (idle, free bool) { return false, true }

// newTestNode returns a node that does not run, with an adapter that decodes store entries as JSON
// of the routing types.
func newTestNode(t *testing.T) *Node {
	t.Helper()
	return newTestNodeWith(t, func(*Settings) {})
}

// newTestNodeWith is newTestNode with changed settings.
func newTestNodeWith(t *testing.T, change func(*Settings)) *Node {
	t.Helper()
	adapter := Adapter{
		Replicas: stubReplicas{},
		Table: func([]byte) (*routing.Table, error) {
			route := routing.Route{Host: "h", Prefix: "/", Services: []routing.WeightedService{{Service: "s", Weight: 1}}}
			return routing.NewTable(1, routing.Limits{}, nil, []routing.Route{route}, []routing.Service{{Name: "s"}}), nil
		},
		Replica: func(id string, data []byte) (routing.Replica, bool) {
			r := routing.Replica{ID: id}
			return r, json.Unmarshal(data, &r) == nil
		},
		Problem: func(_ string, data []byte) error { return json.Unmarshal(data, &routing.Replica{}) },
		Callers: func(*gateway.Gateway, func() bool) http.Handler { return http.NotFoundHandler() },
	}
	s := Settings{Instance: "me", IP: "10.0.0.1", DataCentre: "a", CallersAddress: "10.0.0.1:1", PeerPort: 7}
	change(&s)
	n, err := New(s, adapter, &log.Logger{Handler: discard.Default}, metrics.NewRegistry())
	is.New(t).NoErr(err)
	n.mirror.Apply(mirror.Delta{Kind: mirror.Config, Full: true, AsOf: 1, Entries: []mirror.Entry{{Name: mirror.ConfigName, Revision: 1}}})
	return n
}

// setReplicas brings replicas into force as listed by the store at a version.
func (n *Node) setReplicas(t *testing.T, version store.Version, replicas ...routing.Replica) {
	t.Helper()
	d := mirror.Delta{Kind: mirror.Replicas, Full: true, AsOf: version}
	for _, r := range replicas {
		value, err := json.Marshal(r)
		is.New(t).NoErr(err)
		d.Entries = append(d.Entries, mirror.Entry{Name: r.ID, Revision: version, Value: value})
	}
	n.mirror.Apply(d)
	n.refresh()
}

// nextReplica returns the replica chosen for the next call, or "" if the call is refused.
func (n *Node) nextReplica(t *testing.T) string {
	t.Helper()
	sched := scheduler.New(scheduler.Settings{DataCentre: "a"}, n.upstream, cache.New(cache.Options{MaxBlocks: 16}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	grant, refusal := sched.Acquire(ctx, scheduler.Request{Service: "s", Program: "p"})
	if refusal != nil {
		return ""
	}
	defer grant.Done(scheduler.Feedback{Cancelled: true})
	return grant.Upstream
}

// A call sent to a replica that has long been draining is truncated when the replica exits. A
// replica must get no calls from the refresh on in which it is draining, its entry is missing, or
// its entry can't be decoded. A restart under the same id counts as another replica.
func TestDrainingReplicasGetNoCalls(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	r := routing.Replica{ID: "r", Incarnation: 1, Service: "s", Address: "10.0.0.9:80", DataCentre: "a", Slots: 2}
	n.setReplicas(t, 2, r)
	is.Equal(n.nextReplica(t), "r@1")

	draining := r
	draining.Draining = true
	n.setReplicas(t, 3, draining)
	is.Equal(n.nextReplica(t), "")

	restarted := r
	restarted.Incarnation = 2
	n.setReplicas(t, 4, restarted)
	is.Equal(n.nextReplica(t), "r@2")
	n.setReplicas(t, 5)
	is.Equal(n.nextReplica(t), "")

	n.setReplicas(t, 6, restarted)
	is.Equal(n.nextReplica(t), "r@2")
	n.mirror.Apply(mirror.Delta{Kind: mirror.Replicas, From: 6, AsOf: 7, Entries: []mirror.Entry{{Name: "r", Revision: 7, Value: []byte("{")}}})
	n.refresh()
	is.Equal(n.nextReplica(t), "")
}

// Guards against load control that is in force without being asked for, or that is asked for and reaches
// only some of the parts: its metrics must be there, and a lower load of another instance must lead to a
// scan of the queues.
func TestLoadControlIsInForceOnlyOnRequest(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newTestNodeWith(t, func(s *Settings) { s.LoadControl = loadControl })
			n.setReplicas(t, 2, routing.Replica{ID: "r", Incarnation: 1, Service: "s", Address: "10.0.0.9:80", DataCentre: "a", Slots: 2})
			for _, calls := range []uint32{2, 1} {
				n.load.RecordLoad(&peerloadpb.Load{From: "other", Upstreams: []uint64{upstream.NameHash("r@1")}, Calls: []uint32{calls}, Backlog: []uint32{0}}, time.Now())
			}
			time.Sleep(time.Second)
			rescans, found := n.registry.Get("scheduler.queue.rescans").(metrics.Counter)
			is.Equal(found, loadControl)
			is.True(!loadControl || rescans.Count() == 1)
			is.Equal(n.registry.Get("scheduler.queue.waiting") != nil, loadControl)
		})
	}
}
