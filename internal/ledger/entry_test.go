package ledger

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

func sampleEntry() Entry {
	seal := &Seal{By: "sul1.b.one", At: time.UnixMilli(5)}
	for i := range seal.Successors {
		seal.Successors[i] = program.Cohort([]string{"sul1.b.one", "sul1.c.one"}[i%2])
	}
	return Entry{
		Cohort: testCohort, Number: 7, WriteID: []byte("0123456789abcdef"), Seal: seal,
		Records: []Record{
			{Program: "sul1.a.one:x", Event: []byte("turn"), Sequence: 3},
			{Program: "sul1.a.one:y", Kind: Tombstone, Sequence: 4},
			{Kind: adoptionMark, Sequence: 5, Adoption: &Adoption{Cohort: "sul1.z.one", Shard: 9, Ancestors: []program.Cohort{"sul1.q.one"}}},
		},
	}
}

// FuzzDecodeEntry checks that decoding any stored bytes does not panic, and that an accepted entry
// encodes to an entry that decodes to the same.
func FuzzDecodeEntry(f *testing.F) {
	encoded := EncodeEntry(sampleEntry())
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := DecodeEntry(value, testCohort, 7)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		again, err := DecodeEntry(EncodeEntry(entry), testCohort, 7)
		if err != nil || !bytes.Equal(EncodeEntry(again), EncodeEntry(entry)) {
			t.Fatalf("entry differs after encoding and decoding it again: %v", err)
		}
	})
}

// A disk or the store alters or truncates an entry. A bit flipped anywhere and a truncation anywhere
// must be refused with an error that names the entry.
func TestAlteredEntryIsRefused(t *testing.T) {
	is := is.New(t)
	encoded := EncodeEntry(sampleEntry())
	for i := range encoded {
		altered := bytes.Clone(encoded)
		altered[i] ^= 1 << (i % 8)
		_, err := DecodeEntry(altered, testCohort, 7)
		is.True(errors.Is(err, ErrCorrupt))
		_, err = DecodeEntry(encoded[:i], testCohort, 7)
		is.True(errors.Is(err, ErrCorrupt))
		is.True(strings.Contains(err.Error(), "log/sul1.a.one/000000000007"))
	}
	_, err := DecodeEntry(encoded, testCohort, 8)
	is.True(errors.Is(err, ErrCorrupt)) // undamaged, but under another number
}

// storeCall is one call to the object API as the log uses it: a creation if the object is absent,
// or, with an empty write, a read.
type storeCall struct {
	write string
}

// storeResult is the result of a storeCall.
type storeResult struct {
	value string
	err   error
}

// createIfAbsentModel is the sequential specification of create-if-absent. After a lost response
// both outcomes are possible.
var createIfAbsentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, call, result := state.(string), input.(storeCall), output.(storeResult)
		switch {
		case call.write == "" && now == result.value:
			return []any{now}
		case call.write == "":
			return nil
		case errors.Is(result.err, store.ErrUnknown) && now == "":
			return []any{now, call.write}
		case errors.Is(result.err, store.ErrUnknown):
			return []any{now}
		case errors.Is(result.err, store.ErrConflict) && now != "":
			return []any{now}
		case result.err == nil && now == "":
			return []any{call.write}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Several instances race to create the same entries while responses are lost and writes dropped. The
// history of all calls must be linearisable against create-if-absent: no number is ever used twice.
func TestEntryCreationIsLinearisable(t *testing.T) {
	is := is.New(t)
	standIn := standin.NewStore()
	standIn.SetFaults(standin.StoreFaults{LoseAnswers: 8, DropWrites: 8, Delay: 100 * time.Microsecond})
	for number := range uint64(12) {
		is.True(porcupine.CheckOperations(createIfAbsentModel.ToModel(), raceCreations(t, standIn, EntryKey(testCohort, number+1))))
	}
}

// raceCreations has five clients create and read the object concurrently and returns their calls.
func raceCreations(t *testing.T, standIn *standin.Store, key store.Key) []porcupine.Operation {
	var mu sync.Mutex
	var operations []porcupine.Operation
	var clients sync.WaitGroup
	started := time.Now()
	for client := range 5 {
		random := rand.New(rand.NewPCG(1, uint64(client)))
		clients.Go(func() {
			for i := range 4 {
				op := porcupine.Operation{ClientId: client, Call: int64(time.Since(started))}
				if random.IntN(2) == 0 {
					op.Input = storeCall{write: fmt.Sprintf("%d/%d", client, i)}
					_, err := standIn.Put(t.Context(), key, []byte(op.Input.(storeCall).write), 0)
					op.Output = storeResult{err: err}
				} else {
					op.Input = storeCall{}
					object, _ := standIn.Get(t.Context(), key)
					op.Output = storeResult{value: string(object.Value)}
				}
				op.Return = int64(time.Since(started))
				mu.Lock()
				operations = append(operations, op)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return operations
}

// Copies held for others must survive the holder's restart on its data folder. A truncated file
// must be named in the error and the others loaded.
func TestHeldCopiesSurviveRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	h, err := OpenHeldCopies(folder, 0)
	is.NoErr(err)
	for i := range uint64(3) {
		is.NoErr(h.Hold(Copy{Cohort: testCohort, Records: []Record{{Program: "sul1.a.one:x", Event: []byte("turn"), Sequence: i + 1}}}))
	}
	is.NoErr(h.Release(testCohort, 1))
	is.NoErr(h.disk.write(Copy{Cohort: "sul1.z.one", Records: []Record{{Sequence: 4}}}))
	is.NoErr(writeSynced(h.disk.files["sul1.z.one"][0].name, []byte("torn")))

	again, err := OpenHeldCopies(folder, 0)
	is.True(errors.Is(err, ErrCorrupt))
	is.True(strings.Contains(err.Error(), "sul1.z.one-000000000004-000000000004.held"))
	is.Equal(len(again.Held(testCohort).Records), 2)
	is.Equal(again.Held(testCohort).Records[0].Sequence, uint64(2))
	is.Equal(again.Cohorts(), []program.Cohort{testCohort})
	full, err := OpenHeldCopies("", 100)
	is.NoErr(err)
	err = full.Hold(Copy{Cohort: testCohort, Records: []Record{{Event: make([]byte, 200)}}})
	is.True(errors.Is(err, ErrHeldLimit))
}

// An owner has turns 5 to 7 held again after a peer's failure. The earlier, slow call with turn 5
// alone arrives last. Under the same file name it would replace the larger file, and turns 6 and 7
// would be lost at the holder's restart.
func TestLateHoldDoesNotReplaceLargerCopy(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	h, err := OpenHeldCopies(folder, 0)
	is.NoErr(err)
	is.NoErr(h.Hold(Copy{Cohort: testCohort, Records: []Record{{Sequence: 5}, {Sequence: 6}, {Sequence: 7}}}))
	is.NoErr(h.Hold(Copy{Cohort: testCohort, Records: []Record{{Sequence: 5}}}))
	again, err := OpenHeldCopies(folder, 0)
	is.NoErr(err)
	is.Equal(len(again.Held(testCohort).Records), 3)
}
