package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// deathBound is the time within which all instances know of a crash: the next
// probe on the ring, the indirect probes, the suspect timeout and dissemination.
const deathBound = 20 * time.Second

// leaveBound is the time within which all instances know of a planned stop.
const leaveBound = 3 * time.Second

// An instance crashes. Its ring predecessors and the helpers fail to reach it,
// and after the suspect timeout all others declare it dead, and no other member.
// Its successor can then take over.
func TestCrashIsDeclaredWithinBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(3, 3)
		defer net.stop()
		nodes[0].kill()
		time.Sleep(deathBound)
		for _, nd := range nodes[1:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
			is.Equal(len(nd.runner.View().Available("")), len(nodes)-1)
		}
	})
}

// A link is broken in one direction: one instance can't reach another that all
// others reach. One witness must cause neither a death nor a suspicion, since
// the helpers reach the member.
func TestOneBrokenLinkCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 4)
		defer net.stop()
		net.mu.Lock()
		net.cut(nodes[0].address, nodes[1].address)
		net.mu.Unlock()
		time.Sleep(10 * time.Minute)
		for _, nd := range nodes {
			is.Equal(nd.eventCount(DeclaredDead, nodes[1].cohort), 0)
			is.Equal(nd.eventCount(Suspected, nodes[1].cohort), 0)
			is.Equal(nd.stateOf(nodes[1]), Live)
		}
	})
}

// A process is paused until it is declared dead. After the pause, the response
// to its first heartbeat contains its death; it refutes with a higher
// incarnation and is live again on all instances.
func TestPausedProcessRefutesItsDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 4)
		defer net.stop()
		before := nodes[0].runner.View().Self.Incarnation
		nodes[0].pause()
		time.Sleep(deathBound)
		is.Equal(nodes[1].stateOf(nodes[0]), Dead)
		nodes[0].resume()
		time.Sleep(deathBound)
		is.True(nodes[0].eventCount(OwnDeathRefuted, nodes[0].cohort) > 0) // it learned of its death
		is.True(nodes[0].runner.View().Self.Incarnation > before)
		for _, nd := range nodes {
			is.Equal(nd.stateOf(nodes[0]), Live)
		}
	})
}

// A process is paused until it is declared dead and a successor has sealed its
// log. The instance calls Fence when an append fails for that reason. It must
// stay dead; otherwise callers would be sent to an instance that rejects every
// step.
func TestFencedProcessStaysDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 4)
		defer net.stop()
		nodes[0].pause()
		time.Sleep(deathBound)
		nodes[0].runner.Fence()
		nodes[0].resume()
		time.Sleep(2 * time.Minute)
		is.True(nodes[0].runner.View().Fenced)
		for _, nd := range nodes[1:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
		}
	})
}

// One process crashes and another is paused, both until their objects have been
// deleted. The paused one resumes and writes its object again, so that joining
// instances find it. That of the crashed one stays deleted, so that objects do
// not accumulate.
func TestInstanceObjectsMatchRunningProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		net := newNetwork()
		nodes := net.startFleet(1, 5)
		defer net.stop()
		nodes[0].kill()
		nodes[1].pause()
		time.Sleep(4 * listInterval)
		for _, nd := range nodes[:2] {
			_, err := net.objects.Get(ctx, storeKey(nd.cohort))
			is.True(errors.Is(err, store.ErrNotFound))
		}
		nodes[1].resume()
		time.Sleep(2 * listInterval)
		_, err := net.objects.Get(ctx, storeKey(nodes[1].cohort))
		is.NoErr(err)
		is.Equal(nodes[2].stateOf(nodes[1]), Live)
	})
}

// A planned stop is announced. Within leaveBound no instance gives it new work,
// although its steps still run. Within leaveBound of its end it is dead on all
// instances, without suspicion, and its object is deleted.
func TestPlannedStopIsKnownWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(3, 8)
		defer net.stop()
		ctx := context.Background()
		nodes[0].runner.AnnounceStop(ctx)
		time.Sleep(leaveBound)
		for _, nd := range nodes {
			is.Equal(nd.stateOf(nodes[0]), Leaving)
		}
		is.NoErr(nodes[0].runner.AnnounceEnd(ctx))
		nodes[0].kill()
		time.Sleep(leaveBound)
		for _, nd := range nodes[1:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
			is.Equal(nd.eventCount(Suspected, nodes[0].cohort), 0)
		}
		_, err := net.objects.Get(ctx, storeKey(nodes[0].cohort))
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// An instance is killed and immediately restarted at the same address. A
// response of the new process at the old cohort's address proves that the old
// process has ended: it is declared dead without a suspicion, so that its
// programs are taken over sooner.
func TestRestartSupersedesTheOldProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(2, 4)
		defer net.stop()
		nodes[0].kill()
		again := net.start("dc0", "i0", 2)
		time.Sleep(deathBound)
		for _, nd := range nodes[1:] {
			is.Equal(nd.stateOf(nodes[0]), Dead)
			is.Equal(nd.stateOf(again), Live)
		}
	})
}

// The object API is down when an instance starts: the seed addresses from the
// settings suffice to join, and the instance registers once the API is back.
func TestFleetFormsFromSeedsWithTheStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		defer net.stop()
		first := net.start("dc0", "i0", 1)
		time.Sleep(time.Second)
		net.setStoreDown(true)
		second := net.startSeeded("dc1", "i0", 1, first.address)
		time.Sleep(10 * time.Second)
		is.Equal(first.stateOf(second), Live)
		is.Equal(second.stateOf(first), Live)
		net.setStoreDown(false)
		time.Sleep(2 * time.Minute)
		_, err := net.objects.Get(context.Background(), storeKey(second.cohort))
		is.NoErr(err)
	})
}

// The number of messages that an instance sends does not grow with the fleet:
// with five times the instances it grows by less than a tenth per period.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	perPeriod := func(size int) float64 {
		var rate float64
		synctest.Test(t, func(*testing.T) {
			net := newNetwork()
			nodes := net.startFleet(2, size)
			defer net.stop()
			before := net.totalMessages()
			time.Sleep(time.Minute)
			rate = float64(net.totalMessages()-before) / float64(len(nodes)) / 60
		})
		return rate
	}
	is := is.New(t)
	small, large := perPeriod(4), perPeriod(20)
	is.True(large < 1.1*small)
	is.True(large < 2) // 1 to a successor, 1/2 to a random member, 1/4 to another data centre
}
