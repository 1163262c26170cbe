package ledger

import (
	"foxhall/internal/program"
)

// index knows which entries of the own log are still needed, for compaction.
type index struct {
	first      uint64
	next       uint64
	entrySizes map[uint64]int
	// total and live are the bytes of all entries and of the records needed.
	totalBytes int
	liveBytes  int
	programs   map[program.ID]*programIndex
	// adoptions are the adoption records and the entries that hold them.
	adoptions []adoptionPosition
}

// programIndex is what compaction knows of one program.
type programIndex struct {
	// last is the sequence of the last record that was queued.
	lastSequence uint64
	// base is the entry of the oldest record needed; zero if none is in the log.
	oldestEntry uint64
	// bytes is the size of the records needed.
	liveBytes int
}

type adoptionPosition struct {
	record Record
	entry  uint64
}

func newIndex() index {
	return index{first: 1, next: 1, entrySizes: map[uint64]int{}, programs: map[program.ID]*programIndex{}}
}

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

// refused forgets a program of which nothing was ever written.
func (x *index) noteRefused(r Record) {
	p := x.programs[r.Program]
	if p != nil && p.oldestEntry == 0 && p.lastSequence == r.Sequence {
		delete(x.programs, r.Program)
	}
}

func (x *index) noteCommitted(e Entry, size int) {
	x.next = e.Number + 1
	x.entrySizes[e.Number] = size
	x.totalBytes += size
	for _, r := range e.Records {
		x.addRecord(r, e.Number)
	}
}

func (x *index) addRecord(r Record, entry uint64) {
	if r.Kind == adoptionMark {
		x.addAdoption(r, entry)
		return
	}
	p := x.programs[r.Program]
	if p == nil {
		// A later record of it was refused and took its place in the index along.
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

func (x *index) addAdoption(r Record, entry uint64) {
	for i, a := range x.adoptions {
		if a.record.Adoption.Cohort == r.Adoption.Cohort && a.record.Adoption.Shard == r.Adoption.Shard {
			x.adoptions[i] = adoptionPosition{r, entry}
			return
		}
	}
	x.adoptions = append(x.adoptions, adoptionPosition{r, entry})
}

// basedBefore returns the programs that need an entry before the number, and
// the last sequence queued for each.
func (x *index) programsBefore(number uint64) map[program.ID]uint64 {
	found := map[program.ID]uint64{}
	for id, p := range x.programs {
		if p.oldestEntry != 0 && p.oldestEntry < number {
			found[id] = p.lastSequence
		}
	}
	return found
}

// adoptionsBefore returns the adoption records that stand before the number.
func (x *index) adoptionsBefore(number uint64) []Record {
	var found []Record
	for _, a := range x.adoptions {
		if a.entry < number {
			found = append(found, a.record)
		}
	}
	return found
}

// needed returns the oldest entry that something needs, but at most limit.
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

// dropBefore forgets the entries before the number.
func (x *index) dropEntriesBefore(number uint64) {
	for ; x.first < number; x.first++ {
		x.totalBytes -= x.entrySizes[x.first]
		delete(x.entrySizes, x.first)
	}
}
