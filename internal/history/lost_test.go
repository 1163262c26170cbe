package history

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// lostRetention is the retention of the turn that is lost. No keeper that is left retains another one for so long.
const lostRetention = 3 * defaultRetention

// continueAs looks a turn up by a call of a route with the retention.
func continueAs(cl *cluster, turn string, retention time.Duration) error {
	_, err := cl.client("entry").Reserve(context.Background(), gateway.Reservation{
		Program: "heir", Turn: "heir", Previous: turn, MaxOutputTokens: 1, Retention: retention,
	})
	return err
}

// Guards against a turn that was acknowledged and is answered as unknown: more disks are lost than may be, among them all
// that had the turn. Turns that never were are answered as unknown again once all that was lost would have expired.
func TestTurnsLostWithTheirDisksAreNotAnsweredAsUnknown(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client("entry"), "p", "first", ""))
		role := cl.roleOf("p")
		for _, name := range role.holders() {
			cl.machine(name).wipe()
		}
		for _, m := range cl.machines {
			m.restart()
		}
		for began := time.Now(); time.Since(began) < lostRetention; time.Sleep(time.Second) {
			if err := continueAs(cl, "first", lostRetention); err == nil || errors.Is(err, gateway.ErrNoSuchTurn) {
				fail(errors.Errorf("a lost turn %v after the loss: got %v, want a refusal for now", time.Since(began), err))
			}
		}
		fail(retainTurn(cl.client("entry"), "p", "second", ""))
		fail(findTurn(cl, "second"))
		time.Sleep(forceRecoveryAfter + retentionMargin + convergenceTime)
		if err := continueAs(cl, "first", lostRetention); !errors.Is(err, gateway.ErrNoSuchTurn) {
			fail(errors.Errorf("a turn that expired: got %v, want %v", err, gateway.ErrNoSuchTurn))
		}
	})
}

// Guards against acknowledged turns that are out of reach on a disk that nobody asks: the holders of a shard change many
// times before any backup is filled, and then the primary loses its disk.
func TestHoldersBeforeManyReassignmentsAreNotForgotten(t *testing.T) {
	build := func(t *testing.T) *cluster { return newTenKeeperCluster(t, 2) }
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client("entry"), "p", "first", ""))
		cl.mu.Lock()
		cl.failsAppend = func(r *historypb.AppendRequest) bool {
			return slices.ContainsFunc(r.Slices, func(s *historypb.SliceAppend) bool { return s.Complete })
		}
		cl.mu.Unlock()
		const changes = 16
		first := cl.roleOf("p")
		for range changes {
			role := cl.roleOf("p")
			lost := cl.machine(role.Backups[0])
			lost.stop()
			time.Sleep(soleHolderTime)
			lost.start()
		}
		role := cl.roleOf("p")
		if len(role.Previous) == 0 || role.Previous[0].Epoch != first.Epoch {
			fail(errors.Errorf("the first ensemble %v is not among the earlier ones: %v", first, role.Previous))
		}
		cl.machine(role.Primary).wipe()
		cl.machine(role.Backups[0]).wipe()
		cl.mu.Lock()
		cl.failsAppend = nil
		cl.mu.Unlock()
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(recoveryBound)
		fail(findTurn(cl, "first"))
		if role := cl.roleOf("p"); role.LostAtUnixMs > 0 {
			fail(errors.New("the shard goes on as if changes were lost"))
		}
	})
}

// Guards against turns that are left on no more disks than may be lost: the disk of a retiring keeper is removed once it
// reports that it is drained.
func TestRetiringKeeperIsNotDrainedBesideASmallEnsemble(t *testing.T) {
	testShrunken(t, 3, 2, func(cl *cluster, acknowledged []string, rest []*machine, fail func(error)) {
		retiring := rest[0]
		cl.setRetiring(retiring.name)
		time.Sleep(convergenceTime)
		if retiring.process.keeper.Drained() {
			fail(errors.Errorf("%s drained; shard assigned to %v", retiring.name, cl.roleOf("p0")))
		}
		for _, m := range cl.machines {
			m.restart()
		}
		time.Sleep(2 * convergenceTime)
		if !retiring.process.keeper.Drained() {
			fail(errors.Errorf("%s not drained; shard assigned to %v", retiring.name, cl.roleOf("p0")))
		}
		retiring.wipe()
		cl.checkTurns(acknowledged, fail)
	})
}
