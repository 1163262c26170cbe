package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// fakeHolders is a fake of Holders. Each Hold is confirmed by a fixed number of peers.
type fakeHolders struct {
	mu       sync.Mutex
	copies   []Copy
	confirm  int
	released uint64
}

func (f *fakeHolders) Hold(_ context.Context, c Copy) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = append(f.copies, c)
	return f.confirm, nil
}

func (f *fakeHolders) Release(_ context.Context, _ program.Cohort, upTo uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = max(f.released, upTo)
}

// fakeSuccessors is a fake of Successors that records what it is offered.
type fakeSuccessors struct {
	mu    sync.Mutex
	taken []Record
}

func (f *fakeSuccessors) Offer(_ context.Context, _ *Seal, c Copy) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = append(f.taken, c.Records...)
	return nil
}

const testCohort = program.Cohort("sul1.a.one")

// harness is a log over a stand-in store, with fakes of its peers.
type harness struct {
	standIn    *standin.Store
	tracked    *store.Tracked
	log        *Log
	holders    *fakeHolders
	successors *fakeSuccessors
}

// newHarness opens a log over a stand-in store. It must be called in a synctest bubble.
func newHarness(t *testing.T, change func(*Options)) *harness {
	t.Helper()
	r := &harness{standIn: standin.NewStore(), holders: &fakeHolders{confirm: RequiredCopies}, successors: &fakeSuccessors{}}
	r.tracked = store.Track(r.standIn, nil)
	o := Options{Cohort: testCohort, Store: r.tracked, Holders: r.holders, Successors: r.successors, WritesPerSecond: 1000}
	if change != nil {
		change(&o)
	}
	var err error
	r.log, err = Open(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return r
}

func (r *harness) close() {
	r.log.Close()
	r.tracked.Close()
}

// seal seals the log as a successor does and returns the sealed cohort.
func (r *harness) seal(t *testing.T) Cohort {
	t.Helper()
	cohort, err := SealLog(t.Context(), r.standIn, testCohort, Seal{By: "sul1.b.one", At: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	return cohort
}

// recover reads the log as a successor does.
func (r *harness) recover(t *testing.T) *History {
	t.Helper()
	cohort, err := ReadCohort(t.Context(), r.standIn, testCohort)
	if err != nil {
		t.Fatal(err)
	}
	h, err := Recover(t.Context(), r.standIn, cohort, nil)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func event(id program.ID, text string) Record { return Record{Program: id, Event: []byte(text)} }

func texts(records []Record) []string {
	var out []string
	for _, r := range records {
		out = append(out, string(r.Event))
	}
	return out
}

// The store applies the write of an intent, but the response is lost. The log reads the number back
// and finds its own write id. The caller must get nil, and no second entry may be written.
func TestAppendSucceedsAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		r.standIn.SetFaults(standin.StoreFaults{LoseAnswers: 1})
		is.NoErr(r.log.Append(t.Context(), event(id, "intent")))
		r.standIn.SetFaults(standin.StoreFaults{DropWrites: 1})
		is.NoErr(r.log.Append(t.Context(), event(id, "outcome")))
		h := r.recover(t)
		is.Equal(texts(h.Programs[id]), []string{"intent", "outcome"})
	})
}

// The owner is paused, and a successor seals the log. When the owner resumes and appends an intent,
// the number is used by the seal. The caller must get ErrFenced, which correctly means that the step
// was not run, and the record must never appear.
func TestPausedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		is.NoErr(r.log.Append(t.Context(), event(id, "before")))
		cohort := r.seal(t)
		is.Equal(cohort.SealNumber, uint64(2))
		err := r.log.Append(t.Context(), event(id, "after"))
		is.True(errors.Is(err, ErrFenced))
		is.True(!r.log.Available())
		h := r.recover(t)
		is.Equal(texts(h.Programs[id]), []string{"before"})
	})
}

// The store is down for the duration of a step. The first append detects it; the next is refused at
// once, without a call or a wait. Turns are accepted with copies on two peers, and must be in the
// log, in order, once the store is back.
func TestStoreDownDuringStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		r.standIn.SetFaults(standin.StoreFaults{Down: true})
		is.True(errors.Is(r.log.Append(t.Context(), event(id, "x")), ErrUnavailable))
		started := time.Now()
		is.True(errors.Is(r.log.Append(t.Context(), event(id, "y")), ErrUnavailable))
		is.Equal(time.Since(started), time.Duration(0))
		is.NoErr(r.log.AppendOrReplicate(t.Context(), event(id, "turn 1")))
		is.NoErr(r.log.AppendOrReplicate(t.Context(), event(id, "turn 2")))
		is.Equal(len(r.holders.copies), 2)
		r.standIn.SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		is.True(r.log.Available())
		is.NoErr(r.log.Append(t.Context(), event(id, "turn 3")))
		h := r.recover(t)
		is.Equal(texts(h.Programs[id]), []string{"turn 1", "turn 2", "turn 3"})
		synctest.Wait()
		is.Equal(r.holders.released, h.Programs[id][1].Sequence)
	})
}

// The store goes down after a write was sent and before its response: the write may or may not have
// taken effect. A caller whose deadline passes must get ErrOutcomeUnknown, and nobody may be told
// that the record was not written.
func TestUnknownOutcomeAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		r.standIn.SetFaults(standin.StoreFaults{Delay: time.Second, LoseAnswers: 1})
		go func() {
			time.Sleep(1100 * time.Millisecond)
			r.standIn.SetFaults(standin.StoreFaults{Down: true})
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.True(errors.Is(r.log.Append(ctx, event(id, "intent")), ErrOutcomeUnknown))
		is.True(errors.Is(r.log.Append(t.Context(), event(id, "other")), ErrUnavailable))
		r.standIn.SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		h := r.recover(t)
		is.Equal(texts(h.Programs[id]), []string{"intent"})
	})
}

// The store goes down, turns are held by peers, and a successor seals the log before the owner can
// reach the store again. The held turns were reported to callers as durable, and must be offered to
// the successors.
func TestHeldTurnsAreOfferedAfterASeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		id := program.NewID(testCohort)
		r.standIn.SetFaults(standin.StoreFaults{Down: true})
		is.NoErr(r.log.AppendOrReplicate(t.Context(), event(id, "turn")))
		is.NoErr(r.log.AppendOrReplicate(t.Context(), event(id, "turn 2")))
		r.standIn.SetFaults(standin.StoreFaults{})
		r.seal(t)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(texts(r.successors.taken), []string{"turn", "turn 2"})
		is.True(errors.Is(r.log.Append(t.Context(), event(id, "x")), ErrFenced))
	})
}

// An instance writes a seal entry and dies before it records the seal in the cohort's object. The
// next instance that seals the log must find that seal and not write another after it: the two would
// name different successors, and both would own the programs.
func TestUnrecordedSealIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		is.NoErr(r.log.Append(t.Context(), event(program.NewID(testCohort), "x")))
		var successors [program.ShardCount]program.Cohort
		successors[5] = "sul1.c.one"
		_, number, err := r.log.Seal(t.Context(), successors)
		is.NoErr(err)
		cohort := r.seal(t)
		is.Equal(cohort.SealNumber, number)
		is.Equal(cohort.Seal.Successors, successors)
	})
}

// flickeringStore is a store that can be reported down for a moment while its calls still succeed.
type flickeringStore struct {
	Store
	down atomic.Bool
}

func (s *flickeringStore) Down() bool { return s.down.Load() }

// Turns 2 and 3 are queued when the object API is down for a moment, and turn 4 is held by peers. All
// are reported as durable. If turn 4 were written first, and turns 2 and 3 held in the next outage,
// a successor would take turns 2 and 3 for written, and they would be lost. The log must have turns
// in the order of their sequences.
func TestHeldTurnDoesNotOvertakeQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var blip *flickeringStore
		r := newHarness(t, func(o *Options) {
			blip = &flickeringStore{Store: o.Store}
			o.Store, o.WritesPerSecond = blip, 1
		})
		defer r.close()
		id := program.NewID(testCohort)
		is.NoErr(r.log.Append(t.Context(), event(id, "1")))
		var callers sync.WaitGroup
		for _, turn := range []string{"2", "3", "4"} {
			blip.down.Store(turn == "4")
			callers.Go(func() { is.NoErr(r.log.AppendOrReplicate(t.Context(), event(id, turn))) })
			synctest.Wait()
		}
		blip.down.Store(false)
		callers.Wait()
		time.Sleep(time.Minute)
		is.Equal(texts(r.recover(t).Programs[id]), []string{"1", "2", "3", "4"})
	})
}

// failingReads is a store whose first reads of entries fail.
type failingReads struct {
	store.Client
	failures int
}

func (s *failingReads) Get(ctx context.Context, key store.Key) (store.Object, error) {
	if key.Kind != KindCohort && s.failures > 0 {
		s.failures--
		return store.Object{}, store.ErrUnavailable
	}
	return s.Client.Get(ctx, key)
}

// The object API fails for a moment while a successor, which has set Cohort.Sealing, searches for the
// end of the log. If the search were abandoned, the mark would stay and a living owner could never
// compact its log again. The search must continue.
func TestSealLogRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(t, nil)
		defer r.close()
		is.NoErr(r.log.Append(t.Context(), event(program.NewID(testCohort), "1")))
		sealed, err := SealLog(t.Context(), &failingReads{r.standIn, 2}, testCohort, Seal{By: "sul1.b.one"})
		is.NoErr(err)
		is.Equal(sealed.SealNumber, uint64(2))
	})
}
