// Package ledger keeps the log of a cohort in the object API.
//
// The log is a sequence of objects, its entries, numbered from one without gaps. An entry is
// created only if its number is free, so that each number is used exactly once. Only the cohort's
// own incarnation writes records. An instance that takes over writes one seal entry, after which
// no record can follow. The log thus fences its owner without a separate token: an owner that was
// paused finds its next number used by the seal, and knows that no record of its append was
// written.
package ledger

import (
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// Errors of the log, to be tested with errors.Is.
var (
	// ErrUnavailable indicates that the object API can't be used. The records were not written
	// and never will be.
	ErrUnavailable = errors.New("ledger: store unavailable, not written")
	// ErrFenced indicates that the log is sealed. The records were not written and never will be.
	ErrFenced = errors.New("ledger: log sealed by a successor, not written")
	// ErrOutcomeUnknown indicates that it is not known whether the records are in the log or will be
	// later. The caller must not send anything that depends on them, and has to record the
	// outcome as not run.
	ErrOutcomeUnknown = errors.New("ledger: outcome of append unknown")
	// ErrTooLarge indicates that the records of one call exceed MaxBatch and were not written.
	ErrTooLarge = errors.New("ledger: records too large for one entry, not written")
	// ErrClosed indicates that the log was closed before the records were written.
	ErrClosed = errors.New("ledger: closed, not written")
	// ErrCorrupt indicates that an entry or copy is truncated, altered or stored under a wrong key.
	ErrCorrupt = errors.New("ledger: corrupt")
)

// entryOverhead is an upper bound, in bytes, of an entry's encoded size without its records.
const entryOverhead = 4 << 10

// recordOverhead is an upper bound, in bytes, of a record's encoded size without its event and
// names.
const recordOverhead = 64

// MaxBatch is the maximum sum of record sizes in one entry, in bytes. It keeps the entry within
// the object API's maximum value size.
const MaxBatch = store.MaxValue - entryOverhead

// MaxRecord is the maximum size of an event in bytes.
const MaxRecord = MaxBatch - 1024

// Kind is the effect of a record on the program's earlier records.
type Kind uint8

// Kinds of record.
const (
	// Event adds to the program's records.
	Event Kind = iota
	// Snapshot replaces all earlier records of the program.
	Snapshot
	// Tombstone deletes the program: its records are ignored, earlier and later ones. If the
	// append of a tombstone returns ErrOutcomeUnknown, nothing more may be appended to the program.
	Tombstone
	// adoptionMark completes the adoption of a shard. It belongs to no program.
	adoptionMark
)

// Record is an event, a snapshot or a tombstone of one program, or the mark of an adoption.
type Record struct {
	Program program.ID
	// Event is the program's event in its own encoding, which is opaque to this package.
	Event []byte
	Kind  Kind
	// Sequence is the record's position among the cohort's records. The log sets it.
	Sequence uint64
	// Adoption is set only in the record that completes an adoption.
	Adoption *Adoption
}

// Adoption is a shard of a cohort whose programs were copied into this log.
type Adoption struct {
	Cohort program.Cohort
	Shard  int
	// Ancestors are the cohorts whose shard of the same number was adopted together with it.
	Ancestors []program.Cohort
	// Unproven are those of Cohort and Ancestors whose shard could not be proven complete: a
	// program of theirs that is unknown here may have existed.
	Unproven []program.Cohort
}

// AdoptionRecord returns the record that completes the adoption a.
func AdoptionRecord(a Adoption) Record { return Record{Kind: adoptionMark, Adoption: &a} }

// size returns an upper bound of the record's encoded size in bytes.
func (r Record) size() int {
	n := recordOverhead + len(r.Program) + len(r.Event)
	if r.Adoption != nil {
		n += len(r.Adoption.Cohort)
		for _, c := range slices.Concat(r.Adoption.Ancestors, r.Adoption.Unproven) {
			n += len(c) + 4
		}
	}
	return n
}

// sizeOf returns an upper bound of the records' encoded size in bytes.
func sizeOf(records []Record) int {
	total := 0
	for _, r := range records {
		total += r.size()
	}
	return total
}
