package ledger

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/standin"
)

// snapshots is a fake of the owner: a program's state is one text.
type fakeSnapshots map[program.ID]string

func (s fakeSnapshots) Snapshot(id program.ID) ([]byte, bool) {
	state, live := s[id]
	return []byte(state), live
}

// A program ends, its beginning is compacted away, and then its owner dies.
// Entries that are kept still hold later turns of it; without a tombstone the
// successor would bring back half a program. Recovery must show it as ended,
// show the living one by its snapshot, and read a bounded number of entries.
func TestEndedProgramDoesNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		living, ended := program.ID(testCohort+":living"), program.ID(testCohort+":ended")
		states := fakeSnapshots{living: "snapshot"}
		r := newHarness(t, func(o *Options) {
			o.Snapshots = states
			o.Compaction = CompactionOptions{MinEntries: 8, MaxEntries: 16}
		})
		defer r.close()
		is.NoErr(r.log.Append(t.Context(), event(living, "turn")))
		for i := range 200 {
			is.NoErr(r.log.Append(t.Context(), event(ended, fmt.Sprint("turn ", i))))
			time.Sleep(time.Second)
		}
		r.seal(t) // else the log may be compacted under the read
		h := r.recover(t)
		is.True(h.Entries <= 20)
		is.Equal(texts(h.Programs[living]), []string{"snapshot"})
		for _, record := range h.Programs[ended] {
			is.True(record.Kind == Tombstone || record.Sequence > h.Programs[ended][0].Sequence)
		}
		is.Equal(h.Programs[ended][0].Kind, Tombstone)
	})
}

// An entry of a sealed log is torn and another is gone. Recovery goes on, says
// both by name, and the caller knows that no history here is proven whole.
func TestTornAndMissingEntriesAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		for i := range 4 {
			is.NoErr(r.log.Append(t.Context(), event(id, fmt.Sprint(i))))
		}
		r.seal(t)
		object, err := r.standIn.Get(t.Context(), EntryKey(testCohort, 2))
		is.NoErr(err)
		_, err = r.standIn.Put(t.Context(), object.Key, object.Value[:len(object.Value)-3], object.Version)
		is.NoErr(err)
		object, err = r.standIn.Get(t.Context(), EntryKey(testCohort, 3))
		is.NoErr(err)
		is.NoErr(r.standIn.Delete(t.Context(), object.Key, object.Version))
		h := r.recover(t)
		is.Equal(texts(h.Programs[id]), []string{"0", "3"})
		is.Equal(len(h.Faults), 2)
		is.True(strings.Contains(h.Faults[0].Error(), "log/sul1.a.one/000000000002"))
		is.True(strings.Contains(h.Faults[1].Error(), "log/sul1.a.one/000000000003: missing"))
	})
}

// An owner is paused until its log is sealed, adopted and deleted, seal entry
// and all. Its number is free again and its write succeeds. Only the look at
// the cohort's object tells it; without, it would send a step that its
// successor may run too.
func TestOwnerPausedPastTheDeletionOfItsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		is.NoErr(r.log.Append(t.Context(), event(program.NewID(testCohort), "x")))
		cohort := r.seal(t)
		is.NoErr(DeleteEntries(t.Context(), r.standIn, testCohort, 1, cohort.SealNumber+1))
		is.NoErr(deleteEntry(t.Context(), r.standIn, CohortKey(testCohort)))
		time.Sleep(2 * proofMaxAge)
		err := r.log.Append(t.Context(), event(program.NewID(testCohort), "y"))
		is.Equal(err, ErrFenced)
	})
}

// appendingOwner appends a turn of the program while its snapshot is taken.
type appendingOwner struct {
	log  *Log
	text string
}

func (o *appendingOwner) Snapshot(id program.ID) ([]byte, bool) {
	state := o.text
	o.text += "+"
	if err := o.log.Append(o.log.ctx, event(id, "+")); err != nil {
		return nil, true
	}
	return []byte(state), true
}

// A turn is appended between the moment a snapshot is taken and the moment it
// is queued. The snapshot stands behind the turn in the log and does not hold
// it, so it would hide an acknowledged turn. It must be thrown away.
func TestSnapshotOvertakenByAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := &appendingOwner{text: "0"}
		r := newHarness(t, func(o *Options) {
			o.Snapshots = owner
			o.Compaction = CompactionOptions{MinEntries: 4, MaxEntries: 8}
		})
		defer r.close()
		owner.log = r.log
		id := program.NewID(testCohort)
		for range 30 {
			is.NoErr(r.log.Append(t.Context(), event(id, ".")))
			time.Sleep(time.Second)
		}
		r.seal(t)
		h := r.recover(t)
		is.Equal(h.Programs[id][0].Kind, Event) // no snapshot of it was taken
		is.True(len(h.Programs[id]) > 30)
	})
}

// The owner stops as planned while the store is slow: its seal is on its way.
// A turn that came now would be held by peers behind a seal that promises that
// nothing is left, and nobody would ask them for it. It is refused instead.
func TestNothingIsHeldBehindTheOwnSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		r.standIn.SetFaults(standin.StoreFaults{Delay: 3 * time.Second, LateWrites: true})
		go func() { _, _, _ = r.log.Seal(t.Context(), [program.ShardCount]program.Cohort{}) }()
		time.Sleep(2500 * time.Millisecond)
		err := r.log.AppendOrHold(t.Context(), event(program.NewID(testCohort), "turn"))
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(len(r.holders.copies), 0)
		r.standIn.SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		_, number, fenced := r.log.Fenced()
		is.True(fenced)
		is.Equal(number, uint64(1))
	})
}

// A program's first record is being written and its answer is lost; its next
// record is refused meanwhile. When the first turns out to be written, the
// compaction has to know of it, or it would delete the entry with the program.
func TestRefusalDoesNotForgetARecordUnderWay(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	first, second := Record{Program: "p", Sequence: 1}, Record{Program: "p", Sequence: 2}
	x.noteEnqueued(first)
	x.noteEnqueued(second)
	x.noteRefused(second)
	x.noteCommitted(Entry{Number: 1, Records: []Record{first}}, 100)
	is.Equal(x.oldestNeeded(10), uint64(1))
}
