package ledger

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// SealLog seals a cohort's log, unless it is sealed already, and returns the cohort with the seal
// in effect. Of several concurrent callers exactly one succeeds, since all create the same entry.
// SealLog does not check whether the owner is alive. The caller decides that the owner is dead; a
// wrong decision costs a hand-over but loses no record.
func SealLog(ctx context.Context, client store.Client, c program.Cohort, seal Seal) (Cohort, error) {
	cohort, err := markSealing(ctx, client, c)
	if err != nil || cohort.Seal != nil {
		return cohort, err
	}
	number, err := findEnd(ctx, client, cohort)
	if err != nil {
		return Cohort{}, err
	}
	// Begin with the last entry found. It may be a seal whose writer died before recording it in
	// the cohort's object, and a second seal after it would name other successors.
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

// markSealing sets Cohort.Sealing, which keeps Cohort.First from changing.
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

// RecordSeal copies a log's seal into the cohort's object, unless the object has a seal. If the
// log was adopted and deleted meanwhile, the error is store.ErrNotFound.
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

// sealAt attempts to create the seal under the entry's number. It returns the seal that is stored
// there, or nil if the number has an entry with records.
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
			// The response is from an older state of the store, since the number is in use.
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

// findEnd returns the number after the last entry that it finds. The log has no gaps, so an
// exponential search takes about 2·log2(length) reads.
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

// entryExists reports whether the entry exists. It retries during an outage: an abandoned search
// would leave the log marked with Cohort.Sealing, which stops its owner's compaction.
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
