package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"foxhall/internal/peer/peerpb"
)

// convergenceBound is the time within which all views agree after the last
// fault: survivors of a majority loss first wait for IsolationHold, then probes,
// suspicion and dissemination follow, and members that were wrongly declared
// dead are probed again only every deadProbePeriods.
const convergenceBound = 6 * time.Minute

// fault is one step of a randomly generated sequence of faults.
type fault struct {
	kind string
	a, b int
	wait time.Duration
}

func drawFaults(rt *rapid.T, nodes int) []fault {
	kinds := []string{"kill", "restart", "leave", "pause", "cut", "cut both", "isolate", "partition", "loss", "heal", "store"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			a:    rapid.IntRange(0, nodes-1).Draw(rt, "a"),
			b:    rapid.IntRange(0, nodes-1).Draw(rt, "b"),
			wait: time.Duration(rapid.IntRange(0, 90).Draw(rt, "seconds")) * time.Second,
		}
	}), 1, 8).Draw(rt, "faults")
}

// oracle is the state to which the views must converge: which processes run.
type oracle struct {
	net     *network
	newest  []*node // the newest process at each address
	running []bool
	ended   []*node
}

func (o *oracle) apply(f fault) {
	a, b := o.newest[f.a], o.newest[f.b]
	switch f.kind {
	case "kill":
		if o.running[f.a] && o.runningIn(a) > 1 {
			a.kill()
			o.running[f.a] = false
			o.ended = append(o.ended, a)
		}
	case "restart":
		if o.running[f.a] {
			a.kill()
			o.ended = append(o.ended, a)
		}
		o.newest[f.a] = o.net.start(a.cohort.DataCentre(), a.runner.View().Self.Instance(), len(o.ended)+2)
		o.running[f.a] = true
	case "leave":
		if o.running[f.a] && o.runningIn(a) > 1 {
			o.leave(a)
			o.running[f.a] = false
			o.ended = append(o.ended, a)
		}
	case "pause":
		a.pause()
	case "cut":
		o.net.mu.Lock()
		o.net.cut(a.address, b.address)
		o.net.mu.Unlock()
	case "cut both":
		o.net.cutBothWays(a.address, b.address)
	case "isolate":
		for _, other := range o.newest {
			o.net.cutBothWays(a.address, other.address)
		}
	case "partition":
		for _, x := range o.newest {
			for _, y := range o.newest {
				if x.cohort.DataCentre() == a.cohort.DataCentre() && y.cohort.DataCentre() != a.cohort.DataCentre() {
					o.net.cutBothWays(x.address, y.address)
				}
			}
		}
	case "loss":
		o.net.mu.Lock()
		o.net.loss = 0.2
		o.net.mu.Unlock()
	case "store":
		o.net.setStoreDown(f.b%2 == 0)
	case "heal":
		o.net.heal()
	}
}

func (o *oracle) leave(nd *node) {
	if nd.pauseEnd() != nil {
		nd.kill()
		return
	}
	nd.runner.AnnounceStop(context.Background())
	_ = nd.runner.AnnounceEnd(context.Background())
	nd.kill()
}

func (o *oracle) runningIn(nd *node) int {
	running := 0
	for i, other := range o.newest {
		if o.running[i] && other.cohort.DataCentre() == nd.cohort.DataCentre() {
			running++
		}
	}
	return running
}

// check compares the view of every running process with the oracle.
func (o *oracle) check() error {
	for i, nd := range o.newest {
		if !o.running[i] {
			continue
		}
		view := nd.runner.View()
		if view.Isolated {
			return fmt.Errorf("%s considers itself isolated", nd.cohort)
		}
		for j, other := range o.newest {
			if want, got := Live, nd.stateOf(other); o.running[j] && got != want {
				return fmt.Errorf("%s has running process %s as %v, want live", nd.cohort, other.cohort, got)
			}
			m, _ := view.Member(other.cohort)
			if o.running[j] && m.Incarnation != other.runner.View().Self.Incarnation {
				return fmt.Errorf("%s has an outdated incarnation of %s", nd.cohort, other.cohort)
			}
		}
		for _, ended := range o.ended {
			if got := nd.stateOf(ended); got != Dead {
				return fmt.Errorf("%s has ended process %s as %v, want dead", nd.cohort, ended.cohort, got)
			}
		}
	}
	return nil
}

// Crashes, restarts, planned stops, pauses, message loss, broken links in one or
// both directions, network partitions and outages of the object API occur in any
// order. After all faults have ended, every running instance is live in every
// view, with its own incarnation, and every ended one is dead.
func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		centres := rapid.IntRange(1, 3).Draw(rt, "centres")
		size := rapid.IntRange(2, 4).Draw(rt, "size")
		faults := drawFaults(rt, centres*size)
		var failure error
		synctest.Test(t, func(*testing.T) {
			net := newNetwork()
			defer net.stop()
			o := &oracle{net: net, newest: net.startFleet(centres, size)}
			o.running = make([]bool, len(o.newest))
			for i := range o.running {
				o.running[i] = true
			}
			for _, f := range faults {
				o.apply(f)
				time.Sleep(f.wait)
			}
			net.heal()
			net.setStoreDown(false)
			time.Sleep(convergenceBound)
			failure = o.check()
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// FuzzRecords merges the records of arbitrary heartbeats. Whatever they contain,
// this instance stays live in its own table, and a view contains every member.
func FuzzRecords(f *testing.F) {
	seed, _ := proto.Marshal(pingToWire(Ping{
		Sender:  Record{Cohort: "a.b.c", State: Live},
		Target:  "a.i.1",
		Records: []Record{{Cohort: "a.i.1", State: Dead}, {Cohort: "a.d.e", State: Suspect}},
	}))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var request peerpb.PingRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		now := time.Unix(1000, 0)
		table := NewTable("a.i.1", "127.0.0.1:1", Report{}, DefaultTiming(), now)
		table.Announce(Live, now)
		for _, r := range fromWireAll(request.GetRecords()) {
			table.Merge(r, now)
			table.RecordContact(r.Cohort, now)
		}
		table.Tick(now.Add(time.Hour))
		if table.Self().State != Live {
			t.Fatalf("own state is %v, want live", table.Self().State)
		}
		if view := table.View(now); len(view.Members()) != len(table.entries) {
			t.Fatal("view lacks a member of the table")
		}
	})
}
