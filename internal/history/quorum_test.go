package history

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

// silentStoreKinds lose keepers while the store is silent more often than other faults.
var storeOutageKinds = append([]string{"store", "store", "store", "cut", "cut", "freeze", "freeze", "wipe", "wipe", "wipesilent", "wipesilent"}, actionKinds...)

// TestSilentStoreMachine is TestKeepersMachine where keepers are frozen, cut off and lose
// their disks while the store is silent.
func TestRandomFaultsDuringStoreOutages(t *testing.T) {
	for _, diskFailures := range []int{1, 2} {
		eventCounts := map[string]int{}
		rapid.Check(t, func(rt *rapid.T) {
			plan := drawPlan(rt, storeOutageKinds)
			var failures []string
			synctest.Test(t, func(t *testing.T) {
				failures = runPlan(t, newCluster(t, 3+diskFailures, diskFailures), plan, eventCounts)
			})
			if len(failures) > 0 {
				rt.Fatalf("%d disks: %v", diskFailures, failures[:min(3, len(failures))])
			}
		})
		t.Log(eventCounts)
	}
}

// keepWithin fails where a turn is not kept in that time.
func retainTurnWithin(limit time.Duration, c *Client, program, turn, previous string) error {
	start := time.Now()
	if err := retainTurn(c, program, turn, previous); err != nil {
		return err
	}
	if took := time.Since(start); took > limit {
		return errors.Errorf("%s kept after %v", turn, took)
	}
	return nil
}

// Every turn of a slice waits for as long as the store is silent, since one of its
// partners was lost meanwhile and can't be replaced. The others must decide without it.
func TestBackupLossDuringStoreOutageDelaysNoTurn(t *testing.T) {
	for _, diskFailures := range []int{1, 2} {
		build := func(t *testing.T) *cluster { return newCluster(t, 3+diskFailures, diskFailures) }
		testOnCluster(t, build, func(cl *cluster, fail func(error)) {
			c := cl.client("entry")
			fail(retainTurn(c, "p", "first", ""))
			cl.setStoreUnavailable(true)
			role := cl.roleOf("p")
			cl.machine(role.Backups[len(role.Backups)-1]).stop()
			fail(retainTurnWithin(100*time.Millisecond, c, "p", "second", "first"))
			time.Sleep(5 * time.Second)
			fail(retainTurnWithin(100*time.Millisecond, c, "p", "third", "second"))
			cl.setStoreUnavailable(false)
			time.Sleep(convergenceTime)
			if role := cl.roleOf("p"); role.OptionalBackups != maxOptionalBackups {
				fail(errors.Errorf("no spare partner again: %v", role))
			}
			fail(retainTurn(c, "p", "fourth", "third"))
		})
	}
}

// A frozen partner delays every turn of its slices until it is replaced.
func TestPausedBackupDelaysNoTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		cl.machine(cl.roleOf("p").Backups[0]).pause()
		fail(retainTurnWithin(100*time.Millisecond, c, "p", "first", ""))
	})
}

// takenOver writes what a keeper proposes that takes a slice over.
func (cl *cluster) writeTakeOver(program, by string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	r := &cl.assignment.Shards[ShardOf(program)]
	next := ShardAssignment{Previous: r.ensembles()}
	next.Epoch, next.Primary, next.OptionalBackups = r.Epoch+1, by, r.OptionalBackups
	next.Disks = []string{r.diskOf(by)}
	for _, name := range r.holders() {
		if name != by {
			next.Backups = append(next.Backups, name)
			next.Disks = append(next.Disks, r.diskOf(name))
		}
	}
	*r = next
	cl.version++
}

// A turn is lost that its caller saw end. It was on the disks of the primary and of one
// partner when the primary's was lost; the other partner, which lacked it, took the slice
// over. It must fetch it first.
func TestNewPrimaryFetchesMissingRecords(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		role := cl.roleOf("p")
		cl.setLinkDown(role.Primary, role.Backups[0], true)
		fail(retainTurnWithin(100*time.Millisecond, c, "p", "first", ""))
		cl.machine(role.Primary).wipe()
		cl.writeTakeOver("p", role.Backups[0])
		time.Sleep(convergenceTime)
		if now := cl.roleOf("p"); now.Epoch > role.Epoch+1 && now.Primary != role.Backups[0] {
			fail(errors.Errorf("taken over by another: %v", now))
		}
		fail(retainTurn(c, "p", "second", "first"))
	})
}

// The same where the keeper that took the slice over is lost before it fetched anything.
// Who takes over then must still ask the holders of the last epoch that decided.
func TestNewPrimaryLossBeforeRecoveryLosesNoTurn(t *testing.T) {
	build := func(t *testing.T) *cluster { return newCluster(t, 6, 2) }
	testOnCluster(t, build, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		role := cl.roleOf("p")
		cl.setLinkDown(role.Primary, role.Backups[0], true)
		fail(retainTurnWithin(100*time.Millisecond, c, "p", "first", ""))
		cl.machine(role.Primary).wipe()
		cl.machine(role.Backups[1]).wipe()
		cl.writeTakeOver("p", role.Backups[1])
		time.Sleep(convergenceTime)
		fail(retainTurn(c, "p", "second", "first"))
	})
}

// A turn is lost that its caller saw end. A holder lost its disk, and its word, that it
// has nothing, counted for what was on that disk.
func TestHolderWithReplacedDiskIsNotIntact(t *testing.T) {
	is := is.New(t)
	e := Ensemble{Epoch: 7, Primary: "a", Backups: []string{"b", "c"}, Disks: []string{"a1", "b1", "c1"}, OptionalBackups: 1}
	is.True(e.isIntact("b", "b1", 0))
	is.True(!e.isIntact("b", "b2", 7))
	is.True(!e.isIntact("d", "", 7))
	is.True(!e.isRecoveryQuorum([]string{"b"}))
	is.True(e.isRecoveryQuorum([]string{"b", "c"}))
	is.True(e.isRecoveryQuorum([]string{"a"}))
	e.Disks, e.OptionalBackups = nil, 0
	is.True(e.isIntact("b", "b2", 6))
	is.True(!e.isIntact("b", "b2", 5))
	is.True(!e.isIntact("b", "b2", 0))
}

// A turn is lost that its caller saw end. A disk was lost and its keeper is back with an
// empty one under the same name, while the store is silent; the primary counted it as the
// one that it was.
func TestKeeperWithNewDiskRefusesRecordsForOldDisk(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		backup := cl.machine(role.Backups[0])
		cl.setStoreUnavailable(true)
		backup.wipe()
		backup.start()
		k := backup.process.keeper
		k.verified = true
		response, err := k.Append(context.Background(), &historypb.AppendRequest{Slices: []*historypb.SliceAppend{
			{Slice: ShardOf("p"), Epoch: role.Epoch, Disk: role.diskOf(backup.name)},
		}})
		if err != nil || len(response.Refused) != 1 {
			fail(errors.Errorf("taken: %v, %v", response, err))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(convergenceTime)
		if now := cl.roleOf("p"); now.diskOf(backup.name) == role.diskOf(backup.name) || !cl.fullyReplicated() {
			fail(errors.Errorf("not made good: %v", now))
		}
	})
}

// Slices stop with one data centre: two of three holders stand in it, and what they
// decided the third one need not have.
func TestOptionalBackupNeedsHoldersOutsideEachDataCentre(t *testing.T) {
	holdersIn := func(dataCentres ...string) []Candidate {
		var list []Candidate
		for i, dc := range dataCentres {
			name := string(rune('a' + i))
			list = append(list, Candidate{Name: name, DataCentre: dc, Disk: name + "1"})
		}
		return list
	}
	is := is.New(t)
	is.True(allowsOptionalBackup(holdersIn(east, west, north)))
	is.True(allowsOptionalBackup(holdersIn(east, east, west, north)))
	is.True(allowsOptionalBackup(holdersIn(east, east, west, west)))
	is.True(!allowsOptionalBackup(holdersIn(east, east, west)))
	is.True(!allowsOptionalBackup(holdersIn(east, west)))
	is.True(!allowsOptionalBackup(append(holdersIn(east, west), Candidate{Name: "c", DataCentre: north})))
}

// Holders of slices change for nothing, each time a keeper looks. What was chosen once must
// be chosen again, in fleets of any shape.
func TestBackupSelectionIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxDiskFailures := rapid.IntRange(1, 3).Draw(rt, "disks lost")
		keepers := rapid.SliceOfN(rapid.IntRange(0, 4), 2, 24).Draw(rt, "data centres")
		var list []Candidate
		for i, dc := range keepers {
			name := string(rune('a' + i))
			list = append(list, Candidate{Name: name, DataCentre: string(rune('A' + dc)), Disk: name + "1"})
		}
		a, ok := InitialAssignment(list, maxDiskFailures)
		if !ok {
			rt.Fatal("not assigned")
		}
		for s := range a.Shards {
			r := &a.Shards[s]
			c := backupSelector{assignment: &a, keepers: list, maxDiskFailures: maxDiskFailures, shardsHeld: map[string]int{}}
			for i := range a.Shards {
				c.countHolders(&a.Shards[i])
			}
			primary := list[slices.IndexFunc(list, func(k Candidate) bool { return k.Name == r.Primary })]
			again := newEnsemble(r.Epoch, primary, c.selectBackups(s, primary), maxDiskFailures)
			if !again.sameReplicaSet(&r.Ensemble) {
				rt.Fatalf("slice %d: %v, then %v", s, r.Ensemble, again)
			}
			if want := min(maxDiskFailures, len(list)-1); len(r.Backups) < want || len(r.Backups) > maxDiskFailures+1 {
				rt.Fatalf("slice %d has %d partners", s, len(r.Backups))
			}
		}
	})
}

// A program's tokens are handed out twice. A primary lost the last change of an account
// with its power, before its own disk had it, but not before a partner's had; the next
// change got the same version, and the partner took it for the one that it had.
func TestRestartedPrimaryUsesNewAccountVersions(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		c := cl.client("entry")
		ctx := context.Background()
		reserve := func(turn string) error {
			_, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: turn, MaxOutputTokens: 10, Budget: 100, Retention: time.Hour})
			return err
		}
		fail(reserve("one"))
		primary := cl.machine(role.Primary).process.keeper
		lost := primary.shards[ShardOf("p")].state.accounts["p"].Version + 1
		cl.machine(role.Primary).stop()
		for _, name := range role.Backups {
			s := cl.machine(name).process.keeper.shards[ShardOf("p")]
			s.state.accounts["p"] = &historypb.Account{Program: "p", Version: lost, TouchedUnixMs: time.Now().UnixMilli(), RetentionMs: time.Hour.Milliseconds()}
		}
		cl.machine(role.Primary).start()
		time.Sleep(200 * time.Millisecond)
		fail(reserve("two"))
		for _, name := range role.Backups {
			k := cl.machine(name).process.keeper
			k.mu.Lock()
			a := k.shards[ShardOf("p")].state.accounts["p"]
			k.mu.Unlock()
			if !slices.ContainsFunc(a.Open, func(o *historypb.OpenTurn) bool { return o.Id == "two" }) {
				fail(errors.Errorf("%s acknowledged a turn and has %v", name, a))
			}
		}
	})
}

// An upgrade loses slices: the assignment and the marks on the disks are of the form
// before. They must be carried over, and what was kept be found.
func TestAssignmentOfFormat1IsMigrated(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		role := cl.roleOf("p")
		for _, m := range cl.machines {
			m.stop()
		}
		// As if all had been written by the version before: two holders, no disks' names.
		format1 := ShardAssignment{Ensemble: Ensemble{Epoch: 40, Primary: role.Primary, Backups: role.Backups[:1]}}
		for _, name := range format1.holders() {
			l, err := openLog(cl.machine(name).dir, func(*historypb.Record) {})
			fail(err)
			var framed []byte
			for _, r := range []*historypb.Record{
				turnRecord(ShardOf("p"), &historypb.Turn{Id: "first", EndedUnixMs: time.Now().UnixMilli(), RetentionMs: time.Hour.Milliseconds()}),
				{Slice: ShardOf("p"), Body: &historypb.Record_Mark{Mark: &historypb.Mark{Epoch: 40, Synced: true}}},
			} {
				framed, err = appendFrame(framed, r)
				fail(err)
			}
			fail(l.write(framed))
			fail(l.close())
		}
		cl.mu.Lock()
		cl.assignment.Shards[ShardOf("p")] = format1
		cl.version++
		cl.mu.Unlock()
		for _, m := range cl.machines {
			m.start()
		}
		time.Sleep(convergenceTime)
		fail(retainTurn(c, "p", "second", "first"))
		if now := cl.roleOf("p"); now.OptionalBackups != maxOptionalBackups || len(now.Disks) != len(now.Backups)+1 {
			fail(errors.Errorf("not of the new form: %v", now))
		}
	})
}

// A keeper of the version before takes a slice over without what it lacks. While holders
// do not say that they know better, decisions must be on all disks.
func TestNoOptionalBackupAmongKeepersOfOlderVersion(t *testing.T) {
	is := is.New(t)
	k := &Keeper{settings: Settings{Name: "a", DataCentre: east, Keepers: func() []Candidate {
		return []Candidate{{Name: "a", DataCentre: east}, {Name: "b", DataCentre: west}, {Name: "c", DataCentre: north}}
	}}, disk: "a1"}
	assessments := map[string]assessment{"b": {live: true, disk: "b1"}, "c": {live: true, disk: "c1", supportsOptionalBackups: true}}
	candidates := k.candidates(assessments)
	is.Equal(newEnsemble(2, candidates[0], candidates[1:], 1).OptionalBackups, 0)
	assessments["b"] = assessment{live: true, disk: "b1", supportsOptionalBackups: true}
	candidates = k.candidates(assessments)
	is.Equal(newEnsemble(2, candidates[0], candidates[1:], 1).OptionalBackups, 1)
}

// An assignment of a later version is misread and written over. It must be refused, with
// its form named.
func TestAssignmentOfUnknownFormatIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := DecodeAssignment([]byte(`{"form":3,"slices":[]}`))
	is.True(errors.Is(err, ErrUnknownFormat))
	is.Equal(err.Error(), "form 3, known up to 2: history: assignment of an unknown form")
	var a Assignment
	data, err := a.Encode()
	is.NoErr(err)
	_, err = DecodeAssignment(data)
	is.NoErr(err)
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 1)
		cl.readError = errFormat3
		cl.startAll()
		time.Sleep(2 * convergenceTime)
		if cl.version != store.Version(0) {
			t.Errorf("written over: version %d", cl.version)
		}
		cl.stopAll()
		time.Sleep(releaseTimeout)
	})
}

// err3 is what reading an assignment of form 3 ends with.
var errFormat3 = func() error { _, err := DecodeAssignment([]byte(`{"form":3}`)); return err }()

// A turn is lost that its caller saw end. A keeper gave a new primary what it had and went
// on acknowledging for the one before, also after a loss of its power.
func TestKeeperRefusesPreviousPrimaryAfterFetch(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		shardID, holder := ShardOf("p"), cl.machine(role.Backups[0])
		cl.setLinkDown(role.Primary, holder.name, true)
		ctx := context.Background()
		fetched, err := holder.process.keeper.Fetch(ctx, &historypb.FetchRequest{Slice: shardID, Epoch: role.Epoch + 1, Disk: role.diskOf(holder.name)})
		fail(err)
		if fetched.Refused {
			fail(errors.New("not fetched"))
		}
		refuses := func() {
			late := &historypb.SliceAppend{Slice: shardID, Epoch: role.Epoch, Disk: role.diskOf(holder.name)}
			response, err := holder.process.keeper.Append(ctx, &historypb.AppendRequest{Slices: []*historypb.SliceAppend{late}})
			fail(err)
			if len(response.Refused) != 1 {
				fail(errors.New("acknowledged for the primary before"))
			}
		}
		refuses()
		holder.powerOff(0)
		holder.restart()
		refuses()
	})
}

// A keeper answers for a disk that it has no longer, or for an epoch that is over.
func TestFetchIsRefusedForOtherDiskOrEarlierEpoch(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		k := cl.machine(role.Backups[0]).process.keeper
		for _, r := range []*historypb.FetchRequest{
			{Slice: ShardOf("p"), Epoch: role.Epoch + 1, Disk: "another"},
			{Slice: ShardOf("p"), Epoch: role.Epoch - 1, Disk: k.disk},
			{Slice: ShardCount, Epoch: role.Epoch + 1, Disk: k.disk},
		} {
			if response, err := k.Fetch(context.Background(), r); err != nil || !response.Refused {
				fail(errors.Errorf("%v: %v, %v", r, response, err))
			}
		}
	})
}

// A slice is never served again: one of its holders was taken away for good while another
// lost its disk, which is more than may be lost. The third must go on with what it has, but
// not before those that are silent could be back with decisions that are still kept.
func TestForcedRecoveryWaitsForRetentionOfLostHolders(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurn(c, "p", "first", ""))
		role := cl.roleOf("p")
		cl.machine(role.Backups[0]).stop()
		cl.machine(role.Primary).wipe()
		cl.machine(role.Primary).start()
		time.Sleep(defaultRetention / 2)
		if err := retainTurn(c, "p", "too-early", ""); err == nil {
			fail(errors.New("decided without a holder that may be back"))
		}
		time.Sleep(defaultRetention)
		fail(retainTurn(c, "p", "second", "first"))
	})
}
