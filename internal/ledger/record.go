// Package ledger keeps the log of a cohort in the object API.
//
// The log is a row of objects, numbered from one without a gap. Each is
// created only if absent, so that a number is taken exactly once. Only the
// cohort's own incarnation writes records; whoever takes over writes one seal
// entry, after which no record can follow. Fence and record are therefore the
// same object: an owner that was paused finds its next number taken by the
// seal and knows that nothing of its append was written.
package ledger

import (
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// The errors of the log, to be tested with errors.Is.
var (
	// ErrUnavailable says that the object API can't be used and that the
	// records were surely not written and never will be.
	ErrUnavailable = errors.New("ledger: store unavailable, not written")
	// ErrFenced says that a successor sealed the log and that the records
	// were surely not written and never will be.
	ErrFenced = errors.New("ledger: log sealed by a successor, not written")
	// ErrUnsettled says that the records may be in the log, now or later.
	// Nothing may be sent on them; the outcome has to be recorded as not run.
	ErrUnsettled = errors.New("ledger: outcome of append not settled")
	// ErrTooLarge says that a record exceeds MaxRecord and was not written.
	ErrTooLarge = errors.New("ledger: record too large, not written")
	// ErrClosed says that the log was closed before the records were written.
	ErrClosed = errors.New("ledger: closed, not written")
	// ErrCorrupt says that an entry or copy is torn, altered or misplaced.
	ErrCorrupt = errors.New("ledger: corrupt")
)

// entryOverhead bounds in bytes what an entry needs beside its records.
const entryOverhead = 4 << 10

// recordOverhead bounds in bytes what a record needs beside its event and names.
const recordOverhead = 64

// MaxBatch is the largest sum of record sizes in one entry, in bytes, such
// that the entry stays within the object API's value size.
const MaxBatch = store.MaxValue - entryOverhead

// MaxRecord is the largest event in bytes.
const MaxRecord = MaxBatch - 1024

// Kind tells what a record does to the program's earlier records.
type Kind uint8

// The kinds of record.
const (
	// Event adds to the program's records.
	Event Kind = iota
	// Snapshot replaces all earlier records of the program.
	Snapshot
	// Tombstone drops the program: none of its records count, earlier or
	// later. If its append is ErrUnsettled, nothing more may be appended to
	// the program.
	Tombstone
	// adopted ends the adoption of a slice; it belongs to no program.
	adoptionMark
)

// Record is one event of one program, or a snapshot or tombstone of it.
type Record struct {
	Program program.ID
	// Event is the aggregate's event in its own encoding; the ledger does not read it.
	Event []byte
	Kind  Kind
	// Sequence orders the records of a cohort. The log sets it.
	Sequence uint64
	// Adoption is set in the record that ends an adoption.
	Adoption *Adoption
}

// Adoption names a slice of a cohort whose programs were copied into this log.
type Adoption struct {
	Cohort program.Cohort
	Shard  int
	// Ancestors are the cohorts whose same slice came with it.
	Ancestors []program.Cohort
	// Doubted are those of all these cohorts whose slice could not be proven
	// whole: a program of theirs that is not known here may have existed.
	Unproven []program.Cohort
}

// AdoptionRecord returns the record that ends the adoption a.
func AdoptionRecord(a Adoption) Record { return Record{Kind: adoptionMark, Adoption: &a} }

// size bounds the encoded size in bytes.
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

func sizeOf(records []Record) int {
	total := 0
	for _, r := range records {
		total += r.size()
	}
	return total
}
