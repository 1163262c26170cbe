package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/ledger/ledgerpb"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// The object kinds of cohorts.
const (
	// KindCohort holds cohorts with a log: living ones, and sealed ones
	// until all their slices are adopted.
	KindCohort = "cohort"
	// KindCohortMoved keeps the seal of cohorts without a log, from which
	// the owners of their surviving programs are found.
	KindCohortMoved = "cohort-moved"
)

// Cohort is the object that points into a cohort's log.
type Cohort struct {
	Cohort  program.Cohort
	Address string
	// First is the number of the oldest entry still needed.
	First uint64
	// Sealing is set before somebody searches the log's end to seal it. From
	// then on First does not move. Without it the owner's compaction could
	// delete entries under the search, which would take the gap for the end.
	Sealing bool
	// Seal is set some time after the log was sealed.
	Seal       *Seal
	SealNumber uint64
	// Adopted has bit s set once slice s was adopted by its successor.
	Adopted uint64
	// AdoptedAt is when the last slice was adopted.
	AdoptedAt time.Time
}

// AllAdopted is the value of Cohort.Adopted once no slice is left.
const AllAdopted = ^uint64(0)

// CohortKey returns the key of a cohort's object.
func CohortKey(c program.Cohort) store.Key { return store.Key{Kind: KindCohort, Name: string(c)} }

// MovedKey returns the key under which a cohort's seal outlives its log.
func MovedKey(c program.Cohort) store.Key {
	return store.Key{Kind: KindCohortMoved, Name: string(c)}
}

// EncodeCohort returns the cohort as it is stored.
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

// DecodeCohort reads a stored cohort. Its errors are ErrCorrupt with the object's name.
func DecodeCohort(object store.Object) (Cohort, error) {
	message := &ledgerpb.Cohort{}
	if err := decodeEnvelope(object.Value, message); err != nil {
		return Cohort{}, errors.Wrap(err, object.Key.String())
	}
	if message.Cohort != object.Key.Name {
		return Cohort{}, errors.Wrapf(ErrCorrupt, "%s: holds cohort %q", object.Key, message.Cohort)
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

// UpdateCohort changes a cohort's object by conditional update. change is
// called again after a conflict or a lost answer and returns false when it
// finds nothing left to change. An absent object is store.ErrNotFound.
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

// CreateCohort creates the object of a new cohort. It is idempotent: an object
// that is already there is left alone.
func CreateCohort(ctx context.Context, client store.Client, c Cohort) error {
	_, err := client.Put(ctx, CohortKey(c.Cohort), EncodeCohort(c), 0)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, string(c.Cohort))
}
