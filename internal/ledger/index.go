package ledger

import (
	"foxhall/internal/program"
)

// index records which entries of the own log are still needed. Compaction uses it.
type index struct {
	// first is the number of the log's oldest entry, next the number after its last one, and
	// entrySizes the size in bytes of each entry by its number.
	first      uint64
	next       uint64
	entrySizes map[uint64]int
	// totalBytes is the size of all entries, liveBytes that of the records still needed.
	totalBytes int
	liveBytes  int
	programs   map[program.ID]*programIndex
	// adoptions are the adoption records and the numbers of their entries.
	adoptions []adoptionPosition
}

// programIndex is the part of the index for one program.
type programIndex struct {
	// lastSequence is the sequence of the program's last record that was queued.
	lastSequence uint64
	// oldestEntry is the entry of the oldest record still needed; zero if none is in the log.
	oldestEntry uint64
	// liveBytes is the size of the records still needed.
	liveBytes int
}

// adoptionPosition is an adoption record and the number of its entry.
type adoptionPosition struct {
	record Record
	entry  uint64
}

func newIndex() index {
	return index{first: 1, next: 1, entrySizes: map[uint64]int{}, programs: map[program.ID]*programIndex{}}
}

// noteEnqueued is called for each record that is queued.
func (x *index) noteEnqueued(r Record) {
	if r.Kind == adoptionMark {
		return
	}
	p := x.programs[r.Program]
	if p == nil {
		p = &programIndex{}
		x.programs[r.Program] = p
	}
	p.lastSequence = r.Sequence
}

// noteRefused is called for each queued record that will not be written. It removes a program of
// which no record was ever written.
func (x *index) noteRefused(r Record) {
	p := x.programs[r.Program]
	if p != nil && p.oldestEntry == 0 && p.lastSequence == r.Sequence {
		delete(x.programs, r.Program)
	}
}

// noteCommitted is called for each entry that was written. size is its stored size in bytes.
func (x *index) noteCommitted(e Entry, size int) {
	x.next = e.Number + 1
	x.entrySizes[e.Number] = size
	x.totalBytes += size
	for _, r := range e.Records {
		x.addRecord(r, e.Number)
	}
}

// addRecord adds a record that was written into the given entry.
func (x *index) addRecord(r Record, entry uint64) {
	if r.Kind == adoptionMark {
		x.addAdoption(r, entry)
		return
	}
	p := x.programs[r.Program]
	if p == nil {
		// A later record of the program was refused, which removed it from the index.
		p = &programIndex{lastSequence: r.Sequence}
		x.programs[r.Program] = p
	}
	switch {
	case r.Kind == Tombstone:
		x.liveBytes -= p.liveBytes
		p.oldestEntry, p.liveBytes = 0, 0
		if p.lastSequence == r.Sequence {
			delete(x.programs, r.Program)
		}
		return
	case r.Kind == Snapshot:
		x.liveBytes -= p.liveBytes
		p.oldestEntry, p.liveBytes = entry, 0
	case p.oldestEntry == 0:
		p.oldestEntry = entry
	}
	p.liveBytes += r.size()
	x.liveBytes += r.size()
}

// addAdoption adds an adoption record, in place of an earlier one of the same shard.
func (x *index) addAdoption(r Record, entry uint64) {
	for i, a := range x.adoptions {
		if a.record.Adoption.Cohort == r.Adoption.Cohort && a.record.Adoption.Shard == r.Adoption.Shard {
			x.adoptions[i] = adoptionPosition{r, entry}
			return
		}
	}
	x.adoptions = append(x.adoptions, adoptionPosition{r, entry})
}

// programsBefore returns the programs that need an entry before the number, each with the sequence
// of its last queued record.
func (x *index) programsBefore(number uint64) map[program.ID]uint64 {
	found := map[program.ID]uint64{}
	for id, p := range x.programs {
		if p.oldestEntry != 0 && p.oldestEntry < number {
			found[id] = p.lastSequence
		}
	}
	return found
}

// adoptionsBefore returns the adoption records in entries before the number.
func (x *index) adoptionsBefore(number uint64) []Record {
	var found []Record
	for _, a := range x.adoptions {
		if a.entry < number {
			found = append(found, a.record)
		}
	}
	return found
}

// oldestNeeded returns the number of the oldest entry that is still needed, but at most limit.
func (x *index) oldestNeeded(limit uint64) uint64 {
	for _, p := range x.programs {
		if p.oldestEntry != 0 {
			limit = min(limit, p.oldestEntry)
		}
	}
	for _, a := range x.adoptions {
		limit = min(limit, a.entry)
	}
	return limit
}

// dropEntriesBefore removes the entries before the number.
func (x *index) dropEntriesBefore(number uint64) {
	for ; x.first < number; x.first++ {
		x.totalBytes -= x.entrySizes[x.first]
		delete(x.entrySizes, x.first)
	}
}
