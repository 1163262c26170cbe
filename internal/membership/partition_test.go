package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A data centre is cut off from the others for ten minutes. Both sides see
// the other fall silent at once; neither may declare a single death, or each
// would take over programs that run on. After healing all is as before.
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
			is.Equal(len(nd.runner.View().Living("")), len(nodes))
			nd.checkNoneDeclaredDead(is, nodes)
		}
	})
}

// Two of eight instances of a data centre are cut off from the six, and from
// the other data centre. They agree with each other that six are silent, and
// would take over their programs; they must find themselves isolated instead.
// The six declare the two dead, and after healing all are live.
func TestMinorityDetectsItsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 8)
		defer net.stop()
		for _, a := range nodes[:2] {
			a.runner.SetReport(Report{Size: 1}) // the store is beyond the cut too
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
			is.Equal(len(nd.runner.View().Living("")), len(nodes))
		}
	})
}

// The same cut, but the minority alone reaches the object API and the
// platform's list, which holds all. After holding back it would take over six
// instances that run on; the list, which has not lost them, must keep it from that.
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

// Nine of thirty instances of a data centre, a rack's worth, are cut off. The
// sample by which they judge is smaller than the data centre, and nine are
// enough to be each other's witnesses; they must still find themselves isolated
// before they declare anybody dead. The others declare the nine.
func TestPartitionedRackOfALargeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(1, 30)
		defer net.stop()
		rack, rest := nodes[:9], nodes[9:]
		for _, a := range rack {
			a.runner.SetReport(Report{Size: 1}) // the store is beyond the cut too
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
			is.Equal(len(b.runner.View().Living("")), len(rest))
		}
	})
}

// Nine of thirty instances of a data centre crash at once, as a rack without
// power. Those left find only some of the helpers they ask; they must not take
// that for their own isolation, and declare all nine.
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
			is.Equal(len(b.runner.View().Living("")), len(rest))
			b.checkNoneDeclaredDead(is, rest)
		}
	})
}

// Three of five instances of the only data centre die at once. The survivors
// are a minority and hold back, but they still reach the object API: after
// IsolationHold they declare the deaths, so that programs are taken over.
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

// Four instances are cut into two pairs that both reach the object API. After
// holding back, each pair declares the other dead. Once the cut heals, nobody
// probes the dead in turn; only the occasional attempt on a dead member
// reunites the pairs.
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
			is.Equal(len(nd.runner.View().Living("")), len(nodes))
		}
	})
}

// A data centre has two instances and one crashes. The survivor has lost half
// of its data centre, but witnesses of the other data centres confirm the
// death, so it is not held up.
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

// A data centre burns down. Its silence alone could be a partition and kills
// nobody; once the platform's list no longer holds its addresses either, and
// the silence has lasted, the others declare its members dead.
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
			is.Equal(len(nd.runner.View().Living("")), 3)
		}
	})
}
