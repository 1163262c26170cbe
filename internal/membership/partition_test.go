package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A network partition separates two data centres for ten minutes. All members
// of each become unresponsive for the other at once. Neither may declare a
// death, or it would take over programs that still run. After the partition ends,
// all members are live and reachable again.
func TestPartitionBetweenDataCentresCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 4)
		defer net.stop()
		for _, a := range nodes[:4] {
			for _, b := range nodes[4:] {
				net.cutBothWays(a.address, b.address)
			}
		}
		time.Sleep(10 * time.Minute)
		for _, centre := range nodes[0].runner.View().DataCentres() {
			is.Equal(centre.Reachable, centre.Name == "dc0")
		}
		net.heal()
		time.Sleep(30 * time.Second)
		for _, nd := range nodes {
			for _, centre := range nd.runner.View().DataCentres() {
				is.True(centre.Reachable)
			}
			is.Equal(len(nd.runner.View().Available("")), len(nodes))
			nd.checkNoneDeclaredDead(is, nodes)
		}
	})
}

// A network partition separates two of the eight instances of a data centre
// from the other six. The two agree that six are unresponsive and could take
// over their programs; they must detect their isolation instead. The six declare
// the two dead, and after the partition ends all are live.
func TestMinorityDetectsItsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 8)
		defer net.stop()
		for _, a := range nodes[:2] {
			a.runner.SetReport(Report{Size: 1}) // the two can't reach the store either
			for _, b := range nodes[2:] {
				net.cutBothWays(a.address, b.address)
			}
		}
		time.Sleep(5 * time.Minute)
		for _, a := range nodes[:2] {
			is.True(a.runner.View().Isolated)
			is.True(!a.runner.View().IsContender("leases", len(nodes)))
			a.checkNoneDeclaredDead(is, nodes[2:])
		}
		for _, b := range nodes[2:] {
			is.True(!b.runner.View().Isolated)
			is.Equal(b.stateOf(nodes[0]), Dead)
		}
		net.heal()
		time.Sleep(3 * time.Minute)
		for _, nd := range nodes {
			is.True(!nd.runner.View().Isolated)
			is.Equal(len(nd.runner.View().Available("")), len(nodes))
		}
	})
}

// The same partition, but the minority reaches the object API and the platform's
// list, which contains all instances. After IsolationHold it could take over six
// instances that still run; since they are on the list, it must not.
func TestMinorityThatReachesTheStoreNeedsThePlatformList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 8)
		defer net.stop()
		list := map[string]bool{}
		for _, nd := range nodes {
			list[nd.address] = false
		}
		for _, a := range nodes[:2] {
			a.runner.ObserveList(list)
			for _, b := range nodes[2:] {
				net.cutBothWays(a.address, b.address)
			}
		}
		time.Sleep(10 * time.Minute)
		for _, a := range nodes[:2] {
			a.checkNoneDeclaredDead(is, nodes[2:])
		}
	})
}

// A network partition separates nine of the thirty instances of a data centre, a
// rack. They decide from a sample smaller than the data centre, and nine are
// enough to be witnesses for each other; they must still detect their isolation
// before they declare any death. The others declare the nine dead.
func TestPartitionedRackOfALargeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 30)
		defer net.stop()
		rack, rest := nodes[:9], nodes[9:]
		for _, a := range rack {
			a.runner.SetReport(Report{Size: 1}) // the rack can't reach the store either
			for _, b := range rest {
				net.cutBothWays(a.address, b.address)
			}
		}
		time.Sleep(3 * time.Minute)
		for _, a := range rack {
			is.True(a.runner.View().Isolated)
			a.checkNoneDeclaredDead(is, rest)
		}
		for _, b := range rest {
			is.Equal(len(b.runner.View().Available("")), len(rest))
		}
	})
}

// Nine of the thirty instances of a data centre crash at once, as when a rack
// loses power. Only some of the helpers that the survivors ask respond; the
// survivors must not consider themselves isolated, and declare all nine dead.
func TestCrashedRackOfALargeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 30)
		defer net.stop()
		rack, rest := nodes[:9], nodes[9:]
		for _, nd := range rack {
			nd.kill()
		}
		time.Sleep(2 * deathBound)
		for _, b := range rest {
			is.Equal(len(b.runner.View().Available("")), len(rest))
			b.checkNoneDeclaredDead(is, rest)
		}
	})
}

// Three of the five instances of the only data centre crash at once. The
// survivors are a minority and defer actions, but they reach the object API:
// after IsolationHold they declare the deaths, so that programs are taken over.
func TestSurvivorsOfAMajorityLossDeclareItAfterIsolationHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 5)
		defer net.stop()
		for _, nd := range nodes[:3] {
			nd.kill()
		}
		time.Sleep(DefaultTiming().IsolationHold / 2)
		is.True(nodes[3].runner.View().Isolated)
		is.True(nodes[3].stateOf(nodes[0]) != Dead)
		time.Sleep(2 * DefaultTiming().IsolationHold)
		for _, nd := range nodes[:3] {
			is.Equal(nodes[3].stateOf(nd), Dead)
			is.Equal(nodes[4].stateOf(nd), Dead)
		}
	})
}

// A network partition separates four instances into two pairs that both reach
// the object API. After IsolationHold, each pair declares the other dead. After
// the partition ends, dead members are not among the regular probe targets; the
// pairs rejoin through the occasional probe of a dead member.
func TestHalvesThatDeclaredEachOtherDeadRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 4)
		defer net.stop()
		for _, a := range nodes[:2] {
			for _, b := range nodes[2:] {
				net.cutBothWays(a.address, b.address)
			}
		}
		time.Sleep(3 * time.Minute)
		is.Equal(nodes[0].stateOf(nodes[2]), Dead)
		is.Equal(nodes[2].stateOf(nodes[0]), Dead)
		net.heal()
		time.Sleep(3 * time.Minute)
		for _, nd := range nodes {
			is.Equal(len(nd.runner.View().Available("")), len(nodes))
		}
	})
}

// One of the two instances of a data centre crashes. The survivor has lost
// contact with half of its data centre, but witnesses in other data centres
// confirm the death, so that it is not delayed.
func TestDeathInADataCentreOfTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(3, 2)
		defer net.stop()
		nodes[0].kill()
		time.Sleep(deathBound)
		for _, nd := range nodes[1:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
		}
	})
}

// All instances of a data centre crash. The missing contact alone could be a
// network partition and causes no death. Once it has lasted for LostAfter and the
// platform's list lacks the addresses, the others declare the members dead.
func TestLostDataCentreNeedsThePlatformList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 3)
		defer net.stop()
		list := map[string]bool{}
		for i, nd := range nodes {
			if i < 3 {
				nd.kill()
			} else {
				list[nd.address] = false
			}
		}
		time.Sleep(3 * time.Minute)
		is.True(nodes[3].stateOf(nodes[0]) != Dead)
		for _, nd := range nodes[3:] {
			nd.runner.ObserveList(list)
		}
		time.Sleep(10 * time.Second)
		for _, nd := range nodes[3:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
			is.Equal(len(nd.runner.View().Available("")), 3)
		}
	})
}
