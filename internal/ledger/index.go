package ledger

import (
	"foxhall/internal/program"
)

// index knows which entries of the own log are still needed, for compaction.
type index struct {
	first uint64
	next  uint64
	sizes map[uint64]int
	// total and live are the bytes of all entries and of the records needed.
	total    int
	live     int
	programs map[program.ID]*programIndex
	// adoptions are the adoption records and the entries that hold them.
	adoptions []placedAdoption
}

// programIndex is what compaction knows of one program.
type programIndex struct {
	// last is the sequence of the last record that was queued.
	last uint64
	// base is the entry of the oldest record needed; zero if none is in the log.
	base uint64
	// bytes is the size of the records needed.
	bytes int
}

type placedAdoption struct {
	record Record
	entry  uint64
}

func newIndex() index {
	return index{first: 1, next: 1, sizes: map[uint64]int{}, programs: map[program.ID]*programIndex{}}
}

func (x *index) enqueued(r Record) {
	if r.Kind == adopted {
		return
	}
	p := x.programs[r.Program]
	if p == nil {
		p = &programIndex{}
		x.programs[r.Program] = p
	}
	p.last = r.Sequence
}

// refused forgets a program of which nothing was ever written.
func (x *index) refused(r Record) {
	p := x.programs[r.Program]
	if p != nil && p.base == 0 && p.last == r.Sequence {
		delete(x.programs, r.Program)
	}
}

func (x *index) committed(e Entry, size int) {
	x.next = e.Number + 1
	x.sizes[e.Number] = size
	x.total += size
	for _, r := range e.Records {
		x.place(r, e.Number)
	}
}

func (x *index) place(r Record, entry uint64) {
	if r.Kind == adopted {
		x.placeAdoption(r, entry)
		return
	}
	p := x.programs[r.Program]
	if p == nil {
		// A later record of it was refused and took its place in the index along.
		p = &programIndex{last: r.Sequence}
		x.programs[r.Program] = p
	}
	switch {
	case r.Kind == Tombstone:
		x.live -= p.bytes
		p.base, p.bytes = 0, 0
		if p.last == r.Sequence {
			delete(x.programs, r.Program)
		}
		return
	case r.Kind == Snapshot:
		x.live -= p.bytes
		p.base, p.bytes = entry, 0
	case p.base == 0:
		p.base = entry
	}
	p.bytes += r.size()
	x.live += r.size()
}

func (x *index) placeAdoption(r Record, entry uint64) {
	for i, a := range x.adoptions {
		if a.record.Adoption.Cohort == r.Adoption.Cohort && a.record.Adoption.Shard == r.Adoption.Shard {
			x.adoptions[i] = placedAdoption{r, entry}
			return
		}
	}
	x.adoptions = append(x.adoptions, placedAdoption{r, entry})
}

// basedBefore returns the programs that need an entry before the number, and
// the last sequence queued for each.
func (x *index) basedBefore(number uint64) map[program.ID]uint64 {
	found := map[program.ID]uint64{}
	for id, p := range x.programs {
		if p.base != 0 && p.base < number {
			found[id] = p.last
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
func (x *index) needed(limit uint64) uint64 {
	for _, p := range x.programs {
		if p.base != 0 {
			limit = min(limit, p.base)
		}
	}
	for _, a := range x.adoptions {
		limit = min(limit, a.entry)
	}
	return limit
}

// dropBefore forgets the entries before the number.
func (x *index) dropBefore(number uint64) {
	for ; x.first < number; x.first++ {
		x.total -= x.sizes[x.first]
		delete(x.sizes, x.first)
	}
}
