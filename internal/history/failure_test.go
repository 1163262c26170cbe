package history

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// testOnFourKeepers runs a test with virtual time on four keepers that are complete.
func testOnFourKeepers(t *testing.T, test func(cl *cluster, fail func(error))) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 4, 1) }, test)
}

// retainTurn runs a turn that continues the previous one, if any, and retains it.
func retainTurn(c *Client, program, turn, previous string) error {
	return retainTurnBefore(c, program, turn, previous, time.Time{})
}

// retainTurnBefore is retainTurn for a caller that waits until the deadline.
func retainTurnBefore(c *Client, program, turn, previous string, deadline time.Time) error {
	ctx := context.Background()
	_, err := c.Reserve(ctx, gateway.Reservation{Program: program, Turn: turn, Previous: previous, MaxOutputTokens: 1, Retention: time.Hour, Deadline: deadline})
	if err != nil {
		return err
	}
	retained := &gateway.Turn{ID: turn, Previous: previous, Input: []byte(turn), Ended: time.Now()}
	return c.Settle(ctx, gateway.Settlement{Program: program, Turn: turn, RetainedTurn: retained, Retention: time.Hour})
}

func (cl *cluster) roleOf(program string) ShardAssignment {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.assignment.Shards[ShardOf(program)]
}

// Guards against the loss of acknowledged turns by a late write of the assignment. The primary of a
// shard proposed other backups, the write was delayed, and the primary lost its disk. Then the write
// took effect and removed the old backups, which have all turns. They must notice that none of the
// new holders has them, and take the shard over.
func TestLateAssignmentByLostPrimaryLosesNoTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		if err := retainTurn(c, "p", "first", ""); err != nil {
			fail(err)
			return
		}
		role := cl.roleOf("p")
		cl.machine(role.Primary).wipe()
		cl.mu.Lock()
		late := ShardAssignment{Previous: []Ensemble{role.Ensemble}}
		late.Epoch, late.Primary, late.Disks = role.Epoch+1, role.Primary, []string{role.diskOf(role.Primary)}
		for _, m := range cl.machines {
			if !role.hasHolder(m.name) {
				late.Backups = append(late.Backups, m.name)
				late.Disks = append(late.Disks, m.process.keeper.disk)
			}
		}
		cl.assignment.Shards[ShardOf("p")] = late
		cl.version++
		cl.mu.Unlock()
		cl.machine(role.Primary).start()
		time.Sleep(2 * forceRecoveryAfter)
		fail(retainTurn(c, "p", "second", "first"))
	})
}

// Guards against an empty disk that counts as complete. A backup lost its disk during a state
// transfer, and the rest of the transfer reached the empty disk. A transfer must name the disk that
// it is for, and a keeper with another disk must refuse it.
func TestTransferForLostDiskDoesNotCompleteNewDisk(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		backup := cl.machine(role.Backups[0])
		ctx := context.Background()
		before, err := backup.process.keeper.Status(ctx, &historypb.StatusRequest{})
		if err != nil {
			fail(err)
			return
		}
		cl.setLinkDown(role.Primary, role.Backups[0], true)
		backup.wipe()
		backup.start()
		k := backup.process.keeper
		last := &historypb.AppendRequest{Slices: []*historypb.SliceAppend{
			{Slice: ShardOf("p"), Epoch: role.Epoch, Complete: true, Disk: before.Disk},
		}}
		// The first call makes the keeper read the assignment; until then it refuses all records.
		for range 2 {
			if _, err := k.Append(ctx, last); err != nil {
				fail(err)
			}
			time.Sleep(mirrorDelay)
		}
		after, err := k.Status(ctx, &historypb.StatusRequest{})
		if err != nil || decodeEpochState(after.Slices[ShardOf("p")]).base > 0 {
			fail(errors.New("an empty disk counts as complete"))
		}
	})
}

// Guards against tokens of a program that are reserved twice. The primary was paused and did not
// notice that it was replaced. Callers that still call it must get no reservation, and the new
// primary must include the reservations of the old one.
func TestReplacedPausedPrimaryReservesNothing(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		ctx := context.Background()
		role := cl.roleOf("p")
		if _, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "one", MaxOutputTokens: 60, Budget: 100}); err != nil {
			fail(err)
			return
		}
		old := cl.machine(role.Primary)
		old.pause()
		time.Sleep(3 * suspectTimeout)
		if _, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "two", MaxOutputTokens: 40, Budget: 100}); err != nil {
			fail(err)
			return
		}
		old.resume()
		response, err := old.process.keeper.Reserve(ctx, &historypb.ReserveRequest{
			Slice: ShardOf("p"), Program: "p", Turn: "three", Most: 40, Budget: 100,
		})
		if err != nil || response.Verdict == historypb.Verdict_DONE {
			fail(ErrNoKeeperResult)
		}
	})
}

// Guards against the refusal of a caller during a network partition although the other keepers can
// serve it. The caller reaches the shard's primary, which is isolated from the other keepers and
// responds with ISOLATED. The caller must call the backups, of which one takes over, before it
// accepts that.
func TestCallerOfIsolatedPrimaryReachesItsSuccessor(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		cl.isolateMachine(role.Primary)
		time.Sleep(2 * suspectTimeout)
		// The entry does not know the new assignment yet either.
		c := NewClient(&entry{cluster: cl, name: "entry"}, role.forAllShards, cl.logger("entry"))
		fail(retainTurn(c, "p", "first", ""))
	})
}

// isolateMachine isolates a machine from the others and from the store. Entries still reach it.
func (cl *cluster) isolateMachine(name string) {
	for _, m := range cl.machines {
		if m.name != name {
			cl.setLinkDown(name, m.name, true)
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeUnreachableFrom = name
}

// forAllShards returns an assignment that gives each shard the same role.
func (r ShardAssignment) forAllShards() (Assignment, bool) {
	var a Assignment
	for s := range a.Shards {
		a.Shards[s] = r
	}
	return a, true
}

// Guards against a caller that waits until its timeout although no keeper can serve it: its data
// centre is isolated with one keeper, the primary. It must be refused at once.
func TestCallerIsolatedWithPrimaryFailsFast(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		cl.isolateMachine(role.Primary)
		time.Sleep(2 * suspectTimeout)
		c := NewClient(&entry{cluster: cl, name: "entry", onlyKeeper: role.Primary}, role.forAllShards, cl.logger("entry"))
		start := time.Now()
		_, err := c.Reserve(context.Background(), gateway.Reservation{Program: "p", Turn: "t", MaxOutputTokens: 1})
		if !errors.Is(err, gateway.ErrIsolated) || time.Since(start) > 10*messageDelay {
			fail(errors.Errorf("got %v after %v, want ErrIsolated at once", err, time.Since(start)))
		}
	})
}

// The same where the reachable keeper is a backup, which redirects the caller to the unreachable
// primary again and again. An instance that knows that it is isolated must take that as a refusal,
// also when it looks up a turn of another program.
func TestCallerIsolatedWithBackupFailsFast(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		cl.isolateMachine(role.Backups[0])
		time.Sleep(2 * suspectTimeout)
		c := NewClient(&entry{cluster: cl, name: "entry", onlyKeeper: role.Backups[0], isolated: true}, role.forAllShards, cl.logger("entry"))
		start := time.Now()
		_, err := c.Reserve(context.Background(), gateway.Reservation{Program: "p", Turn: "t", MaxOutputTokens: 1})
		if !errors.Is(err, gateway.ErrIsolated) {
			fail(errors.Errorf("reserve: got %v, want ErrIsolated", err))
		}
		if _, err = c.findChain(context.Background(), "", "elsewhere"); !errors.Is(err, gateway.ErrIsolated) {
			fail(errors.Errorf("find: got %v, want ErrIsolated", err))
		}
		if took := time.Since(start); took > 10*messageDelay {
			fail(errors.Errorf("refused only after %v", took))
		}
	})
}

// Guards against an outage for programs in an isolated data centre whose turns need not be retained.
// The allowance that their entry drew before must cover them. Once it is used up they must be
// refused, since the budget may be spent elsewhere.
func TestAllowanceCoversTurnsWhileKeepersAreUnreachable(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		runTurn := func(n int) error {
			id := string(rune('a' + n))
			ctx := context.Background()
			r := gateway.Reservation{Program: "p", Turn: id, MaxOutputTokens: 100, Budget: 2400, Retention: time.Minute}
			if _, err := c.Reserve(ctx, r); err != nil {
				return err
			}
			return c.Settle(ctx, gateway.Settlement{Program: "p", Turn: id, OutputTokens: 25, Retention: time.Minute})
		}
		if err := runTurn(0); err != nil {
			fail(err)
			return
		}
		time.Sleep(100 * messageDelay)
		for _, m := range cl.machines {
			cl.setLinkDown("entry", m.name, true)
		}
		served := 1
		for runTurn(served) == nil {
			served++
		}
		// The allowance is 300 tokens, and a turn begins while at least 100 of them are left.
		if served != 10 {
			fail(errors.Errorf("%d turns served, want 10", served))
		}
	})
}

// Guards against needless reassignments, during which turns wait, after a keeper was paused for two
// seconds. It received nothing during the pause, and all other keepers would seem unresponsive. It
// must count none of them as unresponsive before it can have received their status again.
func TestNoKeeperIsUnresponsiveAfterOwnPause(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		k := cl.machines[0].process.keeper
		k.mu.Lock()
		for _, v := range k.views {
			v.lastContact = v.lastContact.Add(-2 * time.Second)
		}
		// Entries have responded throughout.
		k.witnessContact = contactPeriod{since: time.Now().Add(-2 * time.Second), last: time.Now()}
		allIneligible := len(k.views) > 0
		for _, o := range k.assessPeers(time.Now()) {
			allIneligible = allIneligible && o.ineligible
		}
		k.mu.Unlock()
		if !allIneligible {
			fail(errors.New("before the reset, some keepers are not counted as unresponsive"))
		}
		k.ResetAfterPause()
		k.mu.Lock()
		defer k.mu.Unlock()
		for name, o := range k.assessPeers(time.Now()) {
			if o.ineligible {
				fail(errors.Errorf("after the reset, %s counts as unresponsive", name))
			}
		}
	})
}

// Guards against the loss of turns when a second disk fails before the records of the first are
// replicated again. A disk with the turns of a hundred programs is lost. All holders of each shard
// must be complete again within 4.4 s, the shortest time that operators of present sites ask for,
// which includes the start of the new process.
func TestShardsOfLostDiskAreReplicatedAgainInTime(t *testing.T) {
	const timeLimit = 4400 * time.Millisecond
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		input := bytes.Repeat([]byte("x"), 16<<10)
		for n := range 100 {
			program := "p" + strconv.Itoa(n)
			reservation := gateway.Reservation{Program: program, Turn: program + "-1", MaxOutputTokens: 1, Retention: time.Hour}
			if _, err := c.Reserve(context.Background(), reservation); err != nil {
				fail(err)
			}
			retained := &gateway.Turn{ID: program + "-1", Input: input, Ended: time.Now()}
			if err := c.Settle(context.Background(), gateway.Settlement{Program: program, Turn: retained.ID, RetainedTurn: retained, Retention: time.Hour}); err != nil {
				fail(err)
			}
		}
		lost := cl.machines[0]
		lost.wipe()
		lost.start()
		start := time.Now()
		for !cl.fullyReplicated() {
			time.Sleep(messageDelay)
			if time.Since(start) > timeLimit {
				fail(errors.Errorf("shards not fully replicated after %v", time.Since(start)))
				return
			}
		}
		t.Logf("shards fully replicated again after %v", time.Since(start))
	})
}

// fullyReplicated reports whether all holders of each shard are complete.
func (cl *cluster) fullyReplicated() bool {
	cl.mu.Lock()
	roles := cl.assignment.Shards
	cl.mu.Unlock()
	for s, role := range roles {
		for _, name := range role.holders() {
			k := cl.machine(name).process.keeper
			k.mu.Lock()
			complete := k.shards[s].epochState.isComplete(role.Epoch)
			k.mu.Unlock()
			if !complete {
				return false
			}
		}
	}
	return true
}

// Guards against overload of the store as it returns from an outage. During the outage, all keepers
// that lost a backup would call it ten times a second or more. They must back off, and still
// reassign the shards soon after its return.
func TestKeepersBackOffFromUnavailableStore(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		cl.setStoreUnavailable(true)
		cl.machines[0].stop()
		cl.mu.Lock()
		before := cl.storeCalls
		cl.mu.Unlock()
		time.Sleep(5 * time.Second)
		cl.mu.Lock()
		calls := cl.storeCalls - before
		cl.mu.Unlock()
		t.Logf("%d store calls in 5 s by three keepers", calls)
		if calls > 60 {
			fail(errors.Errorf("%d store calls in 5 s, want at most 60", calls))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(time.Second)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for s, role := range cl.assignment.Shards {
			if role.Primary == cl.machines[0].name || role.hasBackup(cl.machines[0].name) {
				fail(errors.Errorf("shard %d is still held by the lost keeper", s))
				return
			}
		}
	})
}

// Guards against a shard that moves to an isolated data centre. A backup that had just become
// complete received the primary's last status before the primary's own epoch state was on its disk.
// Then the backup was isolated, and repeatedly took the old status as a sign that the primary had
// lost its disk. An incomplete primary must count as failed only after newer statuses of it.
func TestOldStatusOfPrimaryIsNoFailure(t *testing.T) {
	is := is.New(t)
	s := &shard{id: 1, role: ShardAssignment{Ensemble: Ensemble{Epoch: 3}}}
	status := assessment{live: true, lastContact: time.Now()}
	status.epochStates[1] = epochState{promised: 2, base: 2}
	is.True(!s.primaryIncomplete(status))
	is.True(!s.primaryIncomplete(status))
	status.lastContact = status.lastContact.Add(incompleteRounds * statusPollInterval)
	is.True(!s.primaryIncomplete(status))
	status.lastContact = status.lastContact.Add(statusPollInterval)
	is.True(s.primaryIncomplete(status))
}

// Guards against tokens of a program that are reserved twice. A primary wrote a change that its
// backup never received, and was replaced. What the new primary acknowledged must replace that
// change on the old one's disk, also where each is the next version of the same account.
func TestAccountVersionOfLaterEpochWins(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	old, next := newState(), newState()
	old.primaryEpoch, next.primaryEpoch = 1, 2
	reserve := func(s *state, turn string) *historypb.Account {
		_, account := s.reserve(&historypb.ReserveRequest{Program: "p", Turn: turn, Most: 10, Budget: 100}, now)
		return account
	}
	reserve(old, "never acknowledged")
	old.apply(accountRecord(0, reserve(next, "acknowledged")))
	is.Equal(old.accounts["p"].Open[0].Id, "acknowledged")
}

// Guards against the loss of an acknowledged turn. The primary had it only on its own disk when it
// was killed. After the restart the caller settled the turn again, which was acknowledged by a
// backup that still lacked it. A repeated settlement must return the records again.
func TestRepeatedSettlementReturnsItsRecords(t *testing.T) {
	is := is.New(t)
	s, backup := newState(), newState()
	settle := &historypb.SettleRequest{Program: "p", Turn: "t", Made: 3, Kept: &historypb.Turn{Id: "t"}}
	s.settle(settle, time.Now())
	for _, r := range s.settle(settle, time.Now()) {
		backup.apply(r)
	}
	is.Equal(backup.accounts["p"].Spent, int64(3))
	_, ok := backup.chain(nil, "t")
	is.True(ok)
}

// Guards against an outage for all turns when one data centre is isolated although a keeper is
// outside of it. That keeper had been lost for a while, and its shards stayed with the other two
// keepers, both in one data centre. After its return the shards must be spread again.
func TestShardsAreSpreadAfterDataCentreReturns(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client(entryIn(north)), "p", "first", ""))
		cl.machine("c").wipe()
		time.Sleep(convergenceTime)
		cl.machine("c").start()
		time.Sleep(convergenceTime)
		for s, role := range cl.currentAssignment().Shards {
			if role.Primary != "c" && !role.hasBackup("c") || len(role.Backups) != 1 {
				fail(errors.Errorf("shard %d is held by %v, want keeper c and one other", s, role.holders()))
				return
			}
		}
		cl.setDataCentreIsolated(east, true)
		time.Sleep(soleHolderTime)
		fail(retainTurn(cl.client(entryIn(north)), "p", "second", "first"))
	})
}

// Guards against the loss of an acknowledged turn. A backup is to be drained, the primary of its
// shard chooses another backup, and is lost for good during the state transfer to that one. The
// draining keeper must remain a holder until the new backup is complete.
func TestPrimaryLossDuringBackupReplacementLosesNoTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurn(c, "p", "first", ""))
		role := cl.roleOf("p")
		cl.setRetiring(role.Backups[0])
		for cl.roleOf("p").Epoch == role.Epoch {
			time.Sleep(messageDelay)
		}
		cl.machine(role.Primary).wipe()
		time.Sleep(convergenceTime)
		fail(retainTurn(c, "p", "second", "first"))
	})
}

// Guards against a pause that is noticed while the first assignment is being made, and read half: run with the
// race detector.
func TestPauseDuringBootstrap(t *testing.T) {
	testOnThreeKeepers(t, 1, func(cl *cluster, fail func(error)) {
		cl.stopAll()
		cl.startAll()
		for range 50 {
			for _, m := range cl.machines {
				m.process.keeper.ResetAfterPause()
			}
			time.Sleep(reconcileInterval / 4)
		}
	})
}
