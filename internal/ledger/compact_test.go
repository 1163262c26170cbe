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

// fakeSnapshots is a fake Snapshotter. The state of each live program is one text.
type fakeSnapshots map[program.ID]string

func (s fakeSnapshots) Snapshot(id program.ID) ([]byte, bool) {
	state, live := s[id]
	return []byte(state), live
}

// A program ends, compaction deletes its first entries, and its log is sealed. The remaining
// entries still have later turns of the program; without a tombstone a successor would restore
// part of it. Recovery must report the program as ended and the live one by its snapshot, and read
// a bounded number of entries.
func TestEndedProgramStaysEndedAfterCompaction(t *testing.T) {
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
		r.seal(t) // otherwise the log may be compacted during the read
		h := r.recover(t)
		is.True(h.Entries <= 20)
		is.Equal(texts(h.Programs[living]), []string{"snapshot"})
		for _, record := range h.Programs[ended] {
			is.True(record.Kind == Tombstone || record.Sequence > h.Programs[ended][0].Sequence)
		}
		is.Equal(h.Programs[ended][0].Kind, Tombstone)
	})
}

// One entry of a sealed log is truncated and another is missing. Recovery must continue and name
// both in its faults, which tell the caller that no history in this log is proven complete.
func TestTruncatedAndMissingEntriesAreReported(t *testing.T) {
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

// An owner is paused until its log is sealed, adopted and deleted, including the seal entry. Its
// next number is free again, and its write succeeds. Without the check of the cohort's object the
// owner would send a step that its successor may run, too.
func TestOwnerPausedUntilItsLogIsDeletedIsFenced(t *testing.T) {
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

// appendingOwner is a fake Snapshotter that appends a turn to the program while its snapshot is
// taken.
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

// A turn is appended after a snapshot is taken and before it is queued. The snapshot would follow
// the turn in the log without covering it, and so hide an acknowledged turn. It must be discarded.
func TestSnapshotOlderThanAppendIsDiscarded(t *testing.T) {
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

// The owner stops as planned while the store is slow, so that its seal is being written. A turn
// accepted now would be held by peers after a seal that states that nothing is left to record, and
// no successor would ask for it. It must be refused.
func TestTurnIsRefusedWhileSealIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		r.standIn.SetFaults(standin.StoreFaults{Delay: 3 * time.Second, LateWrites: true})
		go func() { _, _, _ = r.log.Seal(t.Context(), [program.ShardCount]program.Cohort{}) }()
		time.Sleep(2500 * time.Millisecond)
		err := r.log.AppendOrReplicate(t.Context(), event(program.NewID(testCohort), "turn"))
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(len(r.holders.copies), 0)
		r.standIn.SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		_, number, fenced := r.log.Fenced()
		is.True(fenced)
		is.Equal(number, uint64(1))
	})
}

// The response to the write of a program's first record is lost, and the program's next record is
// refused meanwhile. When the first record turns out to be written, the index must have it again;
// otherwise compaction would delete the entry with the program.
func TestRefusalKeepsRecordInFlightInIndex(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	first, second := Record{Program: "p", Sequence: 1}, Record{Program: "p", Sequence: 2}
	x.noteEnqueued(first)
	x.noteEnqueued(second)
	x.noteRefused(second)
	x.noteCommitted(Entry{Number: 1, Records: []Record{first}}, 100)
	is.Equal(x.oldestNeeded(10), uint64(1))
}
