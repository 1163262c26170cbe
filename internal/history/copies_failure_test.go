package history

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// settleSized settles a turn with an input of the size, in bytes, that is retained for the time.
func settleSized(c *Client, program, turn, previous string, size int, retention time.Duration) error {
	ctx := context.Background()
	if _, err := c.Reserve(ctx, gateway.Reservation{Program: program, Turn: turn, Previous: previous, MaxOutputTokens: 1, Retention: retention}); err != nil {
		return err
	}
	retained := &gateway.Turn{ID: turn, Previous: previous, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
	return c.Settle(ctx, gateway.Settlement{Program: program, Turn: turn, RetainedTurn: retained, Retention: retention})
}

// Guards against small ensembles that acknowledge nothing any more: one retained turn is larger than an object of the
// store, and is written with the others as the copies are replaced.
func TestTurnLargerThanACopyStopsNoOthers(t *testing.T) {
	build := func(t *testing.T) *cluster { return newTenKeeperCluster(t, 2) }
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		c := cl.client(entryIn(north))
		fail(settleSized(c, "p", "huge", "", maxObjectBytes, time.Hour))
		cl.shrinkTo(2)
		for i := range 2 * (minCopiesRewritten / (200 << 10)) {
			_ = settleSized(c, "p", fmt.Sprintf("large-%d", i), "", 200<<10, time.Second)
			if i%32 == 0 {
				fail(retainTurn(c, "p", fmt.Sprintf("small-%d", i), ""))
			}
		}
		time.Sleep(convergenceTime)
		fail(retainTurn(c, "p", "last", ""))
	})
}

// Guards against acknowledged turns that are on disks which nobody asks: the last two keepers lose contact many times,
// which no complete backup ends as there are too few, and then lose their disks.
func TestHoldersBeforeManySmallEnsemblesAreNotForgotten(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
		for range maxPreviousEnsembles/2 + 1 {
			rest[1].stop()
			time.Sleep(2 * soleHolderTime)
			rest[1].start()
			time.Sleep(2 * soleHolderTime)
		}
		for _, m := range rest {
			m.wipe()
		}
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(2 * recoveryBound)
		cl.checkTurns(acknowledged, fail)
	})
}

// takeOverWithoutFetch stops the primary of the program's shard, and has another holder named as the primary that reaches
// none of the others. It stops them all, and returns the others.
func takeOverWithoutFetch(cl *cluster, program string) (others []*machine) {
	role := cl.roleOf(program)
	cl.machine(role.Primary).stop()
	time.Sleep(suspectTimeout / 2)
	for _, a := range role.Backups {
		for _, b := range role.Backups {
			if a != b {
				cl.setLinkDown(a, b, true)
			}
		}
	}
	for cl.roleOf(program).Primary == role.Primary {
		time.Sleep(messageDelay)
	}
	successor := cl.machine(cl.roleOf(program).Primary)
	successor.stop()
	for _, name := range role.holders() {
		if name != successor.name {
			others = append(others, cl.machine(name))
		}
	}
	for _, m := range others {
		m.stop()
	}
	for _, a := range role.Backups {
		for _, b := range role.Backups {
			cl.setLinkDown(a, b, false)
		}
	}
	return others
}

// Guards against a lost turn that is answered as unknown: more disks are lost than may be, after a successor was named and
// before it has fetched what they have.
func TestTurnsLostBeforeTheirSuccessorFetchesAreNotAnsweredAsUnknown(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client("entry"), "p", "first", ""))
		for _, m := range takeOverWithoutFetch(cl, "p") {
			m.wipe()
		}
		for _, m := range cl.machines {
			m.restart()
		}
		unknown := 0
		for began := time.Now(); time.Since(began) < defaultRetention; time.Sleep(time.Second) {
			if err := continueAs(cl, "never", lostRetention); errors.Is(err, gateway.ErrNoSuchTurn) {
				unknown++
			}
		}
		if unknown > 0 {
			fail(errors.Errorf("%d times an unknown turn was answered as such while acknowledged ones may be lost: %v", unknown, cl.roleOf("p")))
		}
	})
}

// Guards against changes that time out after the store has returned: what was tried again during its outage is copied once
// for each try, and delays the rest.
func TestChangesTriedAgainDuringAStoreOutageDelayNone(t *testing.T) {
	const (
		programs = 300
		size     = 15 << 10
		outage   = 12 * time.Second
		bound    = 2 * time.Second
	)
	testShrunken(t, 2, 2, func(cl *cluster, _ []string, _ []*machine, fail func(error)) {
		c, ctx := cl.client(entryIn(north)), context.Background()
		for p := range programs {
			name := fmt.Sprintf("busy-%d", p)
			_, err := c.Reserve(ctx, gateway.Reservation{Program: name, Turn: name, MaxOutputTokens: 1, Retention: time.Hour})
			fail(err)
		}
		cl.setStoreUnavailable(true)
		var calls sync.WaitGroup
		var failed atomic.Int64
		for p := range programs {
			calls.Go(func() {
				name := fmt.Sprintf("busy-%d", p)
				retained := &gateway.Turn{ID: name, Input: bytes.Repeat([]byte("x"), size), Ended: time.Now()}
				if c.Settle(ctx, gateway.Settlement{Program: name, Turn: name, RetainedTurn: retained, Retention: time.Hour}) != nil {
					failed.Add(1)
				}
			})
		}
		time.Sleep(outage)
		waiting := 0
		for _, m := range cl.machines[8:] {
			k := m.process.keeper
			k.mu.Lock()
			waiting += len(k.copier.pending)
			k.mu.Unlock()
		}
		cl.setStoreUnavailable(false)
		began := time.Now()
		calls.Wait()
		took := time.Since(began)
		t.Logf("%d changes wait for copies at the end of the outage; the last of %d is acknowledged %v after it, %d are not", waiting, programs, took, failed.Load())
		if took > bound || failed.Load() > 0 {
			fail(errors.Errorf("settled %v after the end of the outage, want %v; %d not settled", took, bound, failed.Load()))
		}
	})
}

// Guards against shards that are out of service while one of their holders does not reach the store: the other one does.
func TestSmallEnsembleWhosePrimaryDoesNotReachTheStoreServes(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, _ []string, rest []*machine, fail func(error)) {
		cl.setStoreUnreachableFrom(rest[0].name)
		time.Sleep(convergenceTime)
		for p := range 6 {
			program := fmt.Sprintf("p%d", p)
			fail(errors.Wrapf(retainTurn(cl.client(entryIn(north)), program, program+"-late", ""), "primary %s", cl.roleOf(program).Primary))
		}
	})
}

// Guards against calls that time out while copies are replaced: much is retained from before, and the store takes 20 ms.
func TestReplacingCopiesDelaysNoTurn(t *testing.T) {
	const retained = 480
	build := func(t *testing.T) *cluster {
		cl := newTenKeeperCluster(t, 2)
		cl.storeDelay = 16 * time.Millisecond
		return cl
	}
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		c := cl.client(entryIn(north))
		for i := range retained {
			program := fmt.Sprintf("old-%d", i)
			fail(settleSized(c, program, program, "", 200<<10, time.Hour))
		}
		cl.shrinkTo(2)
		var longest time.Duration
		for i := range 4 * (minCopiesRewritten / (200 << 10)) {
			name, began := fmt.Sprintf("new-%d", i), time.Now()
			fail(settleSized(c, name, name, "", 200<<10, time.Second))
			longest = max(longest, time.Since(began))
		}
		t.Logf("longest turn %v", longest)
		if longest > callTimeout {
			fail(errors.Errorf("a turn took %v", longest))
		}
	})
}

// Guards against a conversation that can't be continued by another program while few holders are left, since it is larger
// than a copy: no turn of it is.
func TestChainLargerThanACopyIsCarried(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, _ []string, _ []*machine, fail func(error)) {
		c, ctx := cl.client(entryIn(north)), context.Background()
		previous := ""
		for i := range 5 {
			turn := fmt.Sprintf("long-%d", i)
			fail(settleSized(c, "p", turn, previous, 200<<10, time.Hour))
			previous = turn
		}
		reserved, err := c.Reserve(ctx, gateway.Reservation{Program: "heir", Turn: "heir", Previous: previous, MaxOutputTokens: 1, Retention: time.Hour})
		fail(err)
		turn := &gateway.Turn{ID: "heir", Previous: previous, Ended: time.Now()}
		fail(c.Settle(ctx, gateway.Settlement{Program: "heir", Turn: "heir", RetainedTurn: turn, Chain: reserved.Chain, Retention: time.Hour}))
	})
}

// Guards against turns lost with the copies of an earlier process: the last keepers restart on their disks, go on, and
// then lose them.
func TestCopiesBeforeARestartOnTheSameDiskCount(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
		for round := range 3 {
			for _, m := range rest {
				m.powerOff(0)
				m.start()
			}
			time.Sleep(convergenceTime)
			for p := range 6 {
				program := fmt.Sprintf("p%d", p)
				turn := fmt.Sprintf("%s-restart-%d", program, round)
				fail(retainTurn(cl.client(entryIn(north)), program, turn, ""))
				acknowledged = append(acknowledged, turn)
			}
		}
		for _, m := range rest {
			m.wipe()
		}
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(recoveryBound)
		cl.checkTurns(acknowledged, fail)
	})
}

// Guards against turns lost with a successor: it dies while it recovers a small ensemble from the store, or just after
// it began to serve, as do the successors after it. No disk but the last holders' is lost.
func TestSuccessorsThatDieDuringRecoveryLoseNoTurn(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
		for _, m := range rest {
			m.wipe()
		}
		others := cl.machines[:8]
		for _, m := range others {
			m.restart()
		}
		for i := range 12 {
			time.Sleep(startupGrace + time.Duration(i)*70*time.Millisecond)
			dead := cl.machine(cl.roleOf("p0").Primary)
			if slices.Contains(others, dead) {
				dead.stop()
				time.Sleep(suspectTimeout)
				dead.restart()
			}
		}
		time.Sleep(2 * recoveryBound)
		cl.checkTurns(acknowledged, fail)
	})
}

// Guards against an acknowledged turn whose chain is lost: it continues one whose caller gave up while the store did not
// answer, and which is in no copy.
func TestTurnWhoseCallerGaveUpIsCopiedForThoseThatContinueIt(t *testing.T) {
	testShrunken(t, 2, 2, func(cl *cluster, _ []string, rest []*machine, fail func(error)) {
		c, ctx := cl.client(entryIn(north)), context.Background()
		_, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "given-up", MaxOutputTokens: 1, Retention: time.Hour})
		fail(err)
		cl.setStoreUnavailable(true)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		go func() {
			_, _ = c.Reserve(short, gateway.Reservation{Program: "p", Turn: "before", MaxOutputTokens: 1, Retention: time.Hour})
		}()
		time.Sleep(copyInterval)
		turn := &gateway.Turn{ID: "given-up", Input: []byte("given-up"), Ended: time.Now()}
		if c.Settle(short, gateway.Settlement{Program: "p", Turn: "given-up", RetainedTurn: turn, Retention: time.Hour}) == nil {
			fail(errors.New("settled without the store"))
		}
		time.Sleep(2 * commitTimeout)
		cl.setStoreUnavailable(false)
		fail(retainTurn(c, "p", "next", "given-up"))
		for _, m := range rest {
			m.wipe()
		}
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(recoveryBound)
		fail(findTurn(cl, "next"))
	})
}
