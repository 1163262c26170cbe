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

// deathBound is within which a crash is known everywhere: the ring's turn, a
// probe with helpers, the suspicion, and the spread.
const deathBound = 20 * time.Second

// leaveBound is within which a planned stop is known everywhere.
const leaveBound = 3 * time.Second

// An instance crashes. Its ring predecessors fail to reach it, helpers fail
// too, and after the time to refute all others hold it dead; nobody else is
// accused. Its successor can then take over.
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
			is.Equal(len(nd.runner.View().Living("")), len(nodes)-1)
		}
	})
}

// One instance can't reach another although everybody else can: a broken
// link, in one direction. It is one witness and must not get the other killed,
// nor even suspected: helpers reach it and say so.
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

// A process is paused for longer than it takes to be declared dead. When it
// wakes, the answer to its first heartbeat tells it of its death; it refutes
// with a higher incarnation and is live again everywhere.
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
		is.True(nodes[0].eventCount(SelfDead, nodes[0].cohort) > 0) // it learned of its death
		is.True(nodes[0].runner.View().Self.Incarnation > before)
		for _, nd := range nodes {
			is.Equal(nd.stateOf(nodes[0]), Live)
		}
	})
}

// The same pause, but a successor has sealed the process's log meanwhile. The
// instance calls Fence when an append tells it so; it must stay dead, or
// callers would be sent to an instance that refuses every step.
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

// A process is paused until its object has been swept, and a crashed one's has
// been too. The first wakes up and writes its object again, so that newcomers
// find it; the second's is gone, so that objects don't pile up.
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

// A planned stop is announced. Within seconds nobody gives the instance new
// work, although all of its steps still run; at its end it is dead everywhere
// at once, without suspicion, and its object is gone.
func TestPlannedStopIsKnownWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		nodes := net.startFleet(3, 8)
		defer net.stop()
		ctx := context.Background()
		nodes[0].runner.Leave(ctx)
		time.Sleep(leaveBound)
		for _, nd := range nodes {
			is.Equal(nd.stateOf(nodes[0]), Leaving)
		}
		is.NoErr(nodes[0].runner.Depart(ctx))
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

// An instance is killed and started again at once under the same address. The
// new process answers for the old cohort's address, which proves the old one
// gone: its programs are taken over without waiting for a suspicion.
func TestRestartSupersedesTheOldIncarnation(t *testing.T) {
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

// The object API is down when the fleet starts: the addresses from the
// settings are enough, and the instances register once it is back.
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

// The messages that an instance sends do not grow with the fleet: five times
// the instances, the same number of heartbeats a period within a tenth.
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
	is.True(large < 2) // 1 to a successor, 1/2 to a random member, 1/4 across
}
