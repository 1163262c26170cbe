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
var silentStoreKinds = append([]string{"store", "store", "store", "cut", "cut", "freeze", "freeze", "wipe", "wipe", "wipesilent", "wipesilent"}, actionKinds...)

// TestSilentStoreMachine is TestKeepersMachine where keepers are frozen, cut off and lose
// their disks while the store is silent.
func TestSilentStoreMachine(t *testing.T) {
	for _, disks := range []int{1, 2} {
		seen := map[string]int{}
		rapid.Check(t, func(rt *rapid.T) {
			plan := drawPlan(rt, silentStoreKinds)
			var failures []string
			synctest.Test(t, func(t *testing.T) { failures = runPlan(t, newWorld(t, 3+disks, disks), plan, seen) })
			if len(failures) > 0 {
				rt.Fatalf("%d disks: %v", disks, failures[:min(3, len(failures))])
			}
		})
		t.Log(seen)
	}
}

// keepWithin fails where a turn is not kept in that time.
func keepWithin(limit time.Duration, c *Client, program, turn, previous string) error {
	began := time.Now()
	if err := keep(c, program, turn, previous); err != nil {
		return err
	}
	if took := time.Since(began); took > limit {
		return errors.Errorf("%s kept after %v", turn, took)
	}
	return nil
}

// Every turn of a slice waits for as long as the store is silent, since one of its
// partners was lost meanwhile and can't be replaced. The others must decide without it.
func TestPartnerIsLostWhileTheStoreIsSilent(t *testing.T) {
	for _, disks := range []int{1, 2} {
		build := func(t *testing.T) *world { return newWorld(t, 3+disks, disks) }
		inWorldOf(t, build, func(w *world, fail func(error)) {
			c := w.client("entry")
			fail(keep(c, "p", "first", ""))
			w.setStore(true)
			role := w.role("p")
			w.machine(role.Backups[len(role.Backups)-1]).stop()
			fail(keepWithin(100*time.Millisecond, c, "p", "second", "first"))
			time.Sleep(5 * time.Second)
			fail(keepWithin(100*time.Millisecond, c, "p", "third", "second"))
			w.setStore(false)
			time.Sleep(settledIn)
			if role := w.role("p"); role.OptionalBackups != maxOptionalBackups {
				fail(errors.Errorf("no spare partner again: %v", role))
			}
			fail(keep(c, "p", "fourth", "third"))
		})
	}
}

// A frozen partner delays every turn of its slices until it is replaced.
func TestFrozenPartnerDelaysNoTurn(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		c := w.client("entry")
		w.machine(w.role("p").Backups[0]).freeze()
		fail(keepWithin(100*time.Millisecond, c, "p", "first", ""))
	})
}

// takenOver writes what a keeper proposes that takes a slice over.
func (w *world) takenOver(program, by string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.assignment.Shards[ShardOf(program)]
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
	w.version++
}

// A turn is lost that its caller saw end. It was on the disks of the primary and of one
// partner when the primary's was lost; the other partner, which lacked it, took the slice
// over. It must fetch it first.
func TestNewPrimaryFetchesWhatItLacks(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		c := w.client("entry")
		role := w.role("p")
		w.cut(role.Primary, role.Backups[0], true)
		fail(keepWithin(100*time.Millisecond, c, "p", "first", ""))
		w.machine(role.Primary).wipe()
		w.takenOver("p", role.Backups[0])
		time.Sleep(settledIn)
		if now := w.role("p"); now.Epoch > role.Epoch+1 && now.Primary != role.Backups[0] {
			fail(errors.Errorf("taken over by another: %v", now))
		}
		fail(keep(c, "p", "second", "first"))
	})
}

// The same where the keeper that took the slice over is lost before it fetched anything.
// Who takes over then must still ask the holders of the last epoch that decided.
func TestNewPrimaryIsLostBeforeItFetched(t *testing.T) {
	build := func(t *testing.T) *world { return newWorld(t, 6, 2) }
	inWorldOf(t, build, func(w *world, fail func(error)) {
		c := w.client("entry")
		role := w.role("p")
		w.cut(role.Primary, role.Backups[0], true)
		fail(keepWithin(100*time.Millisecond, c, "p", "first", ""))
		w.machine(role.Primary).wipe()
		w.machine(role.Backups[1]).wipe()
		w.takenOver("p", role.Backups[1])
		time.Sleep(settledIn)
		fail(keep(c, "p", "second", "first"))
	})
}

// A turn is lost that its caller saw end. A holder lost its disk, and its word, that it
// has nothing, counted for what was on that disk.
func TestHolderWithANewDiskIsNoSource(t *testing.T) {
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
func TestKeeperWithANewDiskTakesNoRecordsForTheOld(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		role := w.role("p")
		partner := w.machine(role.Backups[0])
		w.setStore(true)
		partner.wipe()
		partner.start()
		k := partner.process.keeper
		k.verified = true
		response, err := k.Append(context.Background(), &historypb.AppendRequest{Slices: []*historypb.SliceAppend{
			{Slice: ShardOf("p"), Epoch: role.Epoch, Disk: role.diskOf(partner.name)},
		}})
		if err != nil || len(response.Refused) != 1 {
			fail(errors.Errorf("taken: %v, %v", response, err))
		}
		w.setStore(false)
		time.Sleep(settledIn)
		if now := w.role("p"); now.diskOf(partner.name) == role.diskOf(partner.name) || !w.whole() {
			fail(errors.Errorf("not made good: %v", now))
		}
	})
}

// Slices stop with one data centre: two of three holders stand in it, and what they
// decided the third one need not have.
func TestSpareNeedsHoldersBeyondEachDataCentre(t *testing.T) {
	in := func(centres ...string) []Candidate {
		var list []Candidate
		for i, dc := range centres {
			name := string(rune('a' + i))
			list = append(list, Candidate{Name: name, DataCentre: dc, Disk: name + "1"})
		}
		return list
	}
	is := is.New(t)
	is.True(allowsOptionalBackup(in(east, west, north)))
	is.True(allowsOptionalBackup(in(east, east, west, north)))
	is.True(allowsOptionalBackup(in(east, east, west, west)))
	is.True(!allowsOptionalBackup(in(east, east, west)))
	is.True(!allowsOptionalBackup(in(east, west)))
	is.True(!allowsOptionalBackup(append(in(east, west), Candidate{Name: "c", DataCentre: north})))
}

// Holders of slices change for nothing, each time a keeper looks. What was chosen once must
// be chosen again, in fleets of any shape.
func TestChoicesAreStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		disksLost := rapid.IntRange(1, 3).Draw(rt, "disks lost")
		keepers := rapid.SliceOfN(rapid.IntRange(0, 4), 2, 24).Draw(rt, "data centres")
		var list []Candidate
		for i, dc := range keepers {
			name := string(rune('a' + i))
			list = append(list, Candidate{Name: name, DataCentre: string(rune('A' + dc)), Disk: name + "1"})
		}
		a, ok := InitialAssignment(list, disksLost)
		if !ok {
			rt.Fatal("not assigned")
		}
		for s := range a.Shards {
			r := &a.Shards[s]
			c := backupSelector{assignment: &a, keepers: list, maxDiskFailures: disksLost, shardsHeld: map[string]int{}}
			for i := range a.Shards {
				c.countHolders(&a.Shards[i])
			}
			primary := list[slices.IndexFunc(list, func(k Candidate) bool { return k.Name == r.Primary })]
			again := newEnsemble(r.Epoch, primary, c.selectBackups(s, primary), disksLost)
			if !again.sameReplicaSet(&r.Ensemble) {
				rt.Fatalf("slice %d: %v, then %v", s, r.Ensemble, again)
			}
			if want := min(disksLost, len(list)-1); len(r.Backups) < want || len(r.Backups) > disksLost+1 {
				rt.Fatalf("slice %d has %d partners", s, len(r.Backups))
			}
		}
	})
}

// A program's tokens are handed out twice. A primary lost the last change of an account
// with its power, before its own disk had it, but not before a partner's had; the next
// change got the same version, and the partner took it for the one that it had.
func TestRestartedPrimaryNumbersItsChangesAnew(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		role := w.role("p")
		c := w.client("entry")
		ctx := context.Background()
		reserve := func(turn string) error {
			_, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: turn, MaxOutputTokens: 10, Budget: 100, Retention: time.Hour})
			return err
		}
		fail(reserve("one"))
		primary := w.machine(role.Primary).process.keeper
		lost := primary.shards[ShardOf("p")].state.accounts["p"].Version + 1
		w.machine(role.Primary).stop()
		for _, name := range role.Backups {
			s := w.machine(name).process.keeper.shards[ShardOf("p")]
			s.state.accounts["p"] = &historypb.Account{Program: "p", Version: lost, TouchedUnixMs: time.Now().UnixMilli(), RetentionMs: time.Hour.Milliseconds()}
		}
		w.machine(role.Primary).start()
		time.Sleep(200 * time.Millisecond)
		fail(reserve("two"))
		for _, name := range role.Backups {
			k := w.machine(name).process.keeper
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
func TestAssignmentOfTheFormBeforeIsCarriedOver(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		c := w.client("entry")
		role := w.role("p")
		for _, m := range w.machines {
			m.stop()
		}
		// As if all had been written by the version before: two holders, no disks' names.
		before := ShardAssignment{Ensemble: Ensemble{Epoch: 40, Primary: role.Primary, Backups: role.Backups[:1]}}
		for _, name := range before.holders() {
			l, err := openLog(w.machine(name).folder, func(*historypb.Record) {})
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
		w.mu.Lock()
		w.assignment.Shards[ShardOf("p")] = before
		w.version++
		w.mu.Unlock()
		for _, m := range w.machines {
			m.start()
		}
		time.Sleep(settledIn)
		fail(keep(c, "p", "second", "first"))
		if now := w.role("p"); now.OptionalBackups != maxOptionalBackups || len(now.Disks) != len(now.Backups)+1 {
			fail(errors.Errorf("not of the new form: %v", now))
		}
	})
}

// A keeper of the version before takes a slice over without what it lacks. While holders
// do not say that they know better, decisions must be on all disks.
func TestHoldersOfTheVersionBeforeHaveAllDecisions(t *testing.T) {
	is := is.New(t)
	k := &Keeper{settings: Settings{Name: "a", DataCentre: east, Keepers: func() []Candidate {
		return []Candidate{{Name: "a", DataCentre: east}, {Name: "b", DataCentre: west}, {Name: "c", DataCentre: north}}
	}}, disk: "a1"}
	opinions := map[string]assessment{"b": {live: true, disk: "b1"}, "c": {live: true, disk: "c1", supportsOptionalBackups: true}}
	list := k.candidates(opinions)
	is.Equal(newEnsemble(2, list[0], list[1:], 1).OptionalBackups, 0)
	opinions["b"] = assessment{live: true, disk: "b1", supportsOptionalBackups: true}
	list = k.candidates(opinions)
	is.Equal(newEnsemble(2, list[0], list[1:], 1).OptionalBackups, 1)
}

// An assignment of a later version is misread and written over. It must be refused, with
// its form named.
func TestAssignmentOfAnUnknownFormIsRefused(t *testing.T) {
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
		w := newWorld(t, 3, 1)
		w.readError = err3
		w.startAll()
		time.Sleep(2 * settledIn)
		if w.version != store.Version(0) {
			t.Errorf("written over: version %d", w.version)
		}
		w.stopAll()
		time.Sleep(releaseTimeout)
	})
}

// err3 is what reading an assignment of form 3 ends with.
var err3 = func() error { _, err := DecodeAssignment([]byte(`{"form":3}`)); return err }()

// A turn is lost that its caller saw end. A keeper gave a new primary what it had and went
// on acknowledging for the one before, also after a loss of its power.
func TestFetchedKeeperRefusesThePrimaryBefore(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		role := w.role("p")
		slice, holder := ShardOf("p"), w.machine(role.Backups[0])
		w.cut(role.Primary, holder.name, true)
		ctx := context.Background()
		fetched, err := holder.process.keeper.Fetch(ctx, &historypb.FetchRequest{Slice: slice, Epoch: role.Epoch + 1, Disk: role.diskOf(holder.name)})
		fail(err)
		if fetched.Refused {
			fail(errors.New("not fetched"))
		}
		refuses := func() {
			late := &historypb.SliceAppend{Slice: slice, Epoch: role.Epoch, Disk: role.diskOf(holder.name)}
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
func TestFetchIsRefusedByAnotherDiskAndALaterEpoch(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		role := w.role("p")
		k := w.machine(role.Backups[0]).process.keeper
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
func TestSliceGoesOnWithoutHoldersThatAreGoneForGood(t *testing.T) {
	inWorld(t, func(w *world, fail func(error)) {
		c := w.client("entry")
		fail(keep(c, "p", "first", ""))
		role := w.role("p")
		w.machine(role.Backups[0]).stop()
		w.machine(role.Primary).wipe()
		w.machine(role.Primary).start()
		time.Sleep(defaultRetention / 2)
		if err := keep(c, "p", "too-early", ""); err == nil {
			fail(errors.New("decided without a holder that may be back"))
		}
		time.Sleep(defaultRetention)
		fail(keep(c, "p", "second", "first"))
	})
}
