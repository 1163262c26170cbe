package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/ledger/ledgerpb"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// Object kinds of cohorts.
const (
	// KindCohort is the kind of cohorts that have a log: those of living instances, and sealed
	// ones until all their shards are adopted.
	KindCohort = "cohort"
	// KindCohortMoved is the kind of cohorts whose log was adopted and deleted. The object keeps
	// the seal, from which the owners of the cohort's programs are found.
	KindCohortMoved = "cohort-moved"
)

// Cohort is the stored object of a cohort. It says where the cohort's log begins and ends.
type Cohort struct {
	Cohort  program.Cohort
	Address string
	// First is the number of the oldest entry that is still needed.
	First uint64
	// Sealing is set before an instance searches for the end of the log to seal it. From then on
	// First does not change: otherwise the owner's compaction could delete entries during the
	// search, and the search would mistake the gap for the end of the log.
	Sealing bool
	// Seal is a copy of the log's seal. It is set some time after the seal entry was written.
	Seal *Seal
	// SealNumber is the number of the seal entry.
	SealNumber uint64
	// Adopted is a bit set: bit s is set once shard s was adopted by its successor.
	Adopted uint64
	// AdoptedAt is when the last shard was adopted.
	AdoptedAt time.Time
}

// AllAdopted is the value of Cohort.Adopted once every shard is adopted.
const AllAdopted = ^uint64(0)

// CohortKey returns the key of a cohort's object.
func CohortKey(c program.Cohort) store.Key { return store.Key{Kind: KindCohort, Name: string(c)} }

// MovedKey returns the key of the object that keeps a cohort's seal after its log is deleted.
func MovedKey(c program.Cohort) store.Key {
	return store.Key{Kind: KindCohortMoved, Name: string(c)}
}

// EncodeCohort returns the cohort in its stored form.
func EncodeCohort(c Cohort) []byte {
	message := &ledgerpb.Cohort{
		Cohort: string(c.Cohort), Address: c.Address, First: c.First,
		SealNumber: c.SealNumber, Adopted: c.Adopted, Sealing: c.Sealing,
	}
	if c.Seal != nil {
		message.Seal = sealToPB(c.Seal)
	}
	if !c.AdoptedAt.IsZero() {
		message.AdoptedAtUnixMs = c.AdoptedAt.UnixMilli()
	}
	return encodeEnvelope(message)
}

// DecodeCohort decodes a stored cohort. Errors are ErrCorrupt, wrapped with the object's key.
func DecodeCohort(object store.Object) (Cohort, error) {
	message := &ledgerpb.Cohort{}
	if err := decodeEnvelope(object.Value, message); err != nil {
		return Cohort{}, errors.Wrap(err, object.Key.String())
	}
	if message.Cohort != object.Key.Name {
		return Cohort{}, errors.Wrapf(ErrCorrupt, "%s: expected this cohort, found %q", object.Key, message.Cohort)
	}
	c := Cohort{
		Cohort: program.Cohort(message.Cohort), Address: message.Address, First: message.First,
		SealNumber: message.SealNumber, Adopted: message.Adopted, Sealing: message.Sealing,
	}
	if message.AdoptedAtUnixMs != 0 {
		c.AdoptedAt = time.UnixMilli(message.AdoptedAtUnixMs)
	}
	if message.Seal == nil {
		return c, nil
	}
	var err error
	c.Seal, err = sealFromPB(message.Seal)
	return c, errors.Wrap(err, object.Key.String())
}

// UpdateCohort changes a cohort's object by conditional update. change returns false if there is
// nothing to change; it is called again after a conflict or a lost response. If the object does
// not exist, the error is store.ErrNotFound.
func UpdateCohort(ctx context.Context, client store.Client, c program.Cohort, change func(*Cohort) bool) error {
	err := store.Update(ctx, client, CohortKey(c), func(object store.Object) ([]byte, bool, error) {
		if object.Version == 0 {
			return nil, false, store.ErrNotFound
		}
		current, err := DecodeCohort(object)
		if err != nil || !change(&current) {
			return nil, false, err
		}
		return EncodeCohort(current), true, nil
	})
	return errors.Wrap(err, string(c))
}

// CreateCohort creates the object of a new cohort. It is idempotent: an existing object is not
// changed.
func CreateCohort(ctx context.Context, client store.Client, c Cohort) error {
	_, err := client.Put(ctx, CohortKey(c.Cohort), EncodeCohort(c), 0)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, string(c.Cohort))
}
