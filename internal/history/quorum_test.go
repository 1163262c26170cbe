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

// storeOutageKinds are actionKinds with more outages of the store, and more losses of keepers and
// disks during them.
var storeOutageKinds = append([]string{"store", "store", "store", "cut", "cut", "freeze", "freeze", "wipe", "wipe", "wipesilent", "wipesilent"}, actionKinds...)

// TestRandomFaultsDuringStoreOutages is TestRandomFaults where keepers are paused, lose links and
// lose their disks while the store is unavailable.
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
				rt.Fatalf("%d disk failures at once: %v", diskFailures, failures[:min(3, len(failures))])
			}
		})
		t.Log(eventCounts)
	}
}

// retainTurnWithin is retainTurn with an error if that takes longer than the limit.
func retainTurnWithin(limit time.Duration, c *Client, program, turn, previous string) error {
	start := time.Now()
	if err := retainTurn(c, program, turn, previous); err != nil {
		return err
	}
	if took := time.Since(start); took > limit {
		return errors.Errorf("turn %s retained only after %v", turn, took)
	}
	return nil
}

// Guards against turns that wait for the end of a store outage because a backup of their shard was
// lost, which can't be replaced during the outage. The other holders must commit without it.
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
				fail(errors.Errorf("no optional backup again: %v", role))
			}
			fail(retainTurn(c, "p", "fourth", "third"))
		})
	}
}

// Guards against a paused backup that delays every turn of its shards until it is replaced.
func TestPausedBackupDelaysNoTurn(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		cl.machine(cl.roleOf("p").Backups[0]).pause()
		fail(retainTurnWithin(100*time.Millisecond, c, "p", "first", ""))
	})
}

// writeTakeOver writes the assignment with which a holder takes over the shard of a program.
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

// Guards against the loss of an acknowledged turn. It was on the disks of the primary and of one
// backup when the primary's disk was lost. The other backup, which lacks it, took the shard over. It
// must fetch the turn before it serves.
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
			fail(errors.Errorf("shard taken over by another keeper: %v", now))
		}
		fail(retainTurn(c, "p", "second", "first"))
	})
}

// The same where the keeper that took the shard over is lost before it fetched anything. The next
// primary must fetch from the holders of the last epoch in which changes were committed.
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

// Guards against the loss of an acknowledged turn. A holder lost its disk, and its response that it
// has no records counted as the contents of the lost disk. Such a holder must not count as intact.
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

// Guards against the loss of an acknowledged turn. A keeper lost its disk and returned under the
// same name with an empty one while the store was unavailable, and the primary counted this disk as
// the old one. The keeper must refuse records for the old disk, and the new disk must be assigned
// once the store is available.
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
			fail(errors.Errorf("records for the old disk not refused: %v, %v", response, err))
		}
		cl.setStoreUnavailable(false)
		time.Sleep(convergenceTime)
		if now := cl.roleOf("p"); now.diskOf(backup.name) == role.diskOf(backup.name) || !cl.fullyReplicated() {
			fail(errors.Errorf("not fully replicated on the new disk: %v", now))
		}
	})
}

// Guards against shards that become unavailable with one data centre: two of three holders are in
// it, and the third one may lack changes that these two committed.
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

// Guards against needless reassignments at each reconciliation. The selection for an existing
// assignment must return the same holders, for any number of keepers and data centres.
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
			rt.Fatal("no initial assignment")
		}
		for s := range a.Shards {
			r := &a.Shards[s]
			c := backupSelector{assignment: &a, keepers: list, maxDiskFailures: maxDiskFailures, shardsHeld: map[string]int{}}
			for i := range a.Shards {
				c.countHolders(&a.Shards[i])
			}
			primary := list[slices.IndexFunc(list, func(k Candidate) bool { return k.Name == r.Primary })]
			reselected := newEnsemble(r.Epoch, primary, c.selectBackups(s, primary), maxDiskFailures)
			if !reselected.sameReplicaSet(&r.Ensemble) {
				rt.Fatalf("shard %d: selected %v, then %v", s, r.Ensemble, reselected)
			}
			if want := min(maxDiskFailures, len(list)-1); len(r.Backups) < want || len(r.Backups) > maxDiskFailures+1 {
				rt.Fatalf("shard %d has %d backups", s, len(r.Backups))
			}
		}
	})
}

// Guards against tokens of a program that are reserved twice. A primary lost power when the last
// change of an account was on a backup's disk but not yet on its own. If the next change got the
// same version, the backup would take it for the change that it has, and acknowledge it without
// storing it.
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
		lostVersion := primary.shards[ShardOf("p")].state.accounts["p"].Version + 1
		cl.machine(role.Primary).stop()
		for _, name := range role.Backups {
			s := cl.machine(name).process.keeper.shards[ShardOf("p")]
			s.state.accounts["p"] = &historypb.Account{Program: "p", Version: lostVersion, TouchedUnixMs: time.Now().UnixMilli(), RetentionMs: time.Hour.Milliseconds()}
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
				fail(errors.Errorf("keeper %s acknowledged a turn but its account is %v", name, a))
			}
		}
	})
}

// Guards against an upgrade that loses shards. The assignment and the epoch states on the disks are
// of format version 1. They must be migrated, and the retained turns must be found.
func TestAssignmentOfFormat1IsMigrated(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		role := cl.roleOf("p")
		for _, m := range cl.machines {
			m.stop()
		}
		// As the previous version wrote it: two holders, and no names of disks.
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
			fail(errors.Errorf("assignment not migrated to format version 2: %v", now))
		}
	})
}

// Guards against a keeper of the previous version that takes a shard over without fetching what it
// lacks. As long as a holder does not report that it supports optional backups, changes must be on
// all disks.
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

// Guards against an assignment of a later format version that is misread and overwritten. It must
// be refused with an error that names its format version.
func TestAssignmentOfUnknownFormatIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := DecodeAssignment([]byte(`{"form":3,"slices":[]}`))
	is.True(errors.Is(err, ErrUnknownFormat))
	is.Equal(err.Error(), "found format version 3, expected 2 or lower: history: assignment of an unknown format version")
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
			t.Errorf("assignment overwritten: version %d", cl.version)
		}
		cl.stopAll()
		time.Sleep(releaseTimeout)
	})
}

// errFormat3 is the error of reading an assignment of format version 3.
var errFormat3 = func() error { _, err := DecodeAssignment([]byte(`{"form":3}`)); return err }()

// Guards against the loss of an acknowledged turn. After a new primary has fetched the records of a
// keeper, the keeper must not acknowledge changes of the previous primary, also after a power
// failure.
func TestKeeperRefusesPreviousPrimaryAfterFetch(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		role := cl.roleOf("p")
		shardID, holder := ShardOf("p"), cl.machine(role.Backups[0])
		cl.setLinkDown(role.Primary, holder.name, true)
		ctx := context.Background()
		fetched, err := holder.process.keeper.Fetch(ctx, &historypb.FetchRequest{Slice: shardID, Epoch: role.Epoch + 1, Disk: role.diskOf(holder.name)})
		fail(err)
		if fetched.Refused {
			fail(errors.New("fetch refused"))
		}
		expectRefusal := func() {
			late := &historypb.SliceAppend{Slice: shardID, Epoch: role.Epoch, Disk: role.diskOf(holder.name)}
			response, err := holder.process.keeper.Append(ctx, &historypb.AppendRequest{Slices: []*historypb.SliceAppend{late}})
			fail(err)
			if len(response.Refused) != 1 {
				fail(errors.New("append of the previous primary not refused"))
			}
		}
		expectRefusal()
		holder.powerOff(0)
		holder.restart()
		expectRefusal()
	})
}

// Guards against a keeper that serves a fetch for a disk that it does not have any more, for an
// epoch that is over, or for a shard that does not exist.
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
				fail(errors.Errorf("fetch %v not refused: %v, %v", r, response, err))
			}
		}
	})
}

// Guards against a shard that is never served again. One of its holders was removed for good while
// another lost its disk, which is more than the number of disks that may fail. The third must
// continue with the records that it has, but only after the retention of the removed holder's
// records: until then, that one may return with committed changes.
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
			fail(errors.New("a change was committed without a holder that may return"))
		}
		time.Sleep(defaultRetention)
		fail(retainTurn(c, "p", "second", "first"))
	})
}
