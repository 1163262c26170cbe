package ledger

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// SealLog ends a cohort's log with the seal, unless another seal came first,
// and returns the cohort with the seal that holds. Of any number of callers
// exactly one wins, since all create the same entry. It does not stop at a
// living owner: deciding that the owner is dead is the caller's part, and a
// wrong decision costs a hand-over, not a record.
func SealLog(ctx context.Context, client store.Client, c program.Cohort, seal Seal) (Cohort, error) {
	cohort, err := markSealing(ctx, client, c)
	if err != nil || cohort.Seal != nil {
		return cohort, err
	}
	number, err := findEnd(ctx, client, cohort)
	if err != nil {
		return Cohort{}, err
	}
	// Begin with the last entry seen: it may be a seal that its writer did not
	// live to record, and a second seal after it would name other successors.
	entry := Entry{Cohort: c, Number: max(number-1, cohort.First), WriteID: newWriteID(), Seal: &seal}
	for {
		existing, err := sealAt(ctx, client, entry)
		if err != nil {
			return Cohort{}, err
		}
		if existing != nil {
			return RecordSeal(ctx, client, c, existing, entry.Number)
		}
		entry.Number++
	}
}

// markSealing fixes the first entry of the log.
func markSealing(ctx context.Context, client store.Client, c program.Cohort) (Cohort, error) {
	var marked Cohort
	err := UpdateCohort(ctx, client, c, func(current *Cohort) bool {
		change := !current.Sealing && current.Seal == nil
		current.Sealing = true
		marked = *current
		return change
	})
	return marked, err
}

// RecordSeal copies a log's seal into the cohort's object. An object that is
// gone is store.ErrNotFound: the log was adopted and deleted meanwhile.
func RecordSeal(ctx context.Context, client store.Client, c program.Cohort, seal *Seal, number uint64) (Cohort, error) {
	var recorded Cohort
	err := UpdateCohort(ctx, client, c, func(current *Cohort) bool {
		change := current.Seal == nil
		if change {
			current.Seal, current.SealNumber = seal, number
		}
		recorded = *current
		return change
	})
	return recorded, err
}

// sealAt tries to put the seal under the entry's number and returns the seal
// that stands there, or nil if the number holds records.
func sealAt(ctx context.Context, client store.Client, entry Entry) (*Seal, error) {
	key := EntryKey(entry.Cohort, entry.Number)
	value := EncodeEntry(entry)
	var found *Seal
	err := store.Retry(ctx, func() error {
		_, err := client.Put(ctx, key, value, 0)
		if err == nil {
			found = entry.Seal
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		object, err := client.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			// An older state of the store: the number is taken.
			return store.ErrUnknown
		}
		if err != nil {
			return err
		}
		decoded, _ := DecodeEntry(object.Value, entry.Cohort, entry.Number)
		found = decoded.Seal
		return nil
	})
	return found, errors.Wrap(err, key.String())
}

// findEnd returns the number after the last entry that it can see. The log has
// no gap, so that a search by doubling and halving finds it in about
// 2·log2(length) reads.
func findEnd(ctx context.Context, client store.Client, c Cohort) (uint64, error) {
	step := uint64(1)
	low := c.First
	for {
		exists, err := entryExists(ctx, client, c.Cohort, c.First+step-1)
		if err != nil {
			return 0, err
		}
		if !exists {
			break
		}
		low = c.First + step
		step *= 2
	}
	var failed error
	span := int(c.First + step - 1 - low)
	offset := sort.Search(span, func(i int) bool {
		exists, err := entryExists(ctx, client, c.Cohort, low+uint64(i))
		if err != nil {
			failed = err
		}
		return !exists
	})
	return low + uint64(offset), failed
}

// entryExists tries again in an outage: a search that is given up leaves the
// log marked as about to be sealed, which stops the compaction of its owner.
func entryExists(ctx context.Context, client store.Client, c program.Cohort, number uint64) (bool, error) {
	key := EntryKey(c, number)
	exists := false
	err := store.Retry(ctx, func() error {
		_, err := client.Get(ctx, key)
		exists = err == nil
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return err
	})
	return exists, errors.Wrap(err, key.String())
}
