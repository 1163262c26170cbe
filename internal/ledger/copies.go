package ledger

import (
	"cmp"
	"iter"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"foxhall/internal/ledger/ledgerpb"
	"foxhall/internal/program"
)

// ErrFull says that a holder has no room; nothing was held.
var ErrHeldLimit = errors.New("ledger: no room for held copies")

// HeldCopies are the records that this instance holds for other cohorts while
// the object API is down. They are kept in memory and, where the instance has a
// data folder, also there, so that they survive its restart.
type HeldCopies struct {
	disk     *copyFolder
	maxBytes int

	mu      sync.Mutex
	size    int
	cohorts map[program.Cohort][]Record
}

// defaultHeldBytes bounds what an instance holds for others: at 62 turns a
// second and 4 KB each for two peers that is over two minutes for one owner.
const defaultMaxHeldBytes = 64 << 20

// OpenHeldCopies returns the copies that this instance holds, with those in
// the folder, if it is not empty. limit is in bytes; 0 stands for 64 MiB.
// Files that are torn are left where they are and named in the error, which
// comes beside a usable HeldCopies.
func OpenHeldCopies(folder string, limit int) (*HeldCopies, error) {
	if limit == 0 {
		limit = defaultMaxHeldBytes
	}
	h := &HeldCopies{maxBytes: limit, cohorts: map[program.Cohort][]Record{}}
	if folder == "" {
		return h, nil
	}
	disk, copies, err := openCopyFolder(folder)
	if disk == nil {
		return h, err
	}
	h.disk = disk
	for _, c := range copies {
		h.merge(c)
	}
	return h, err
}

// Hold keeps the copy and returns nil once it is kept: on disk, where there is one.
func (h *HeldCopies) Hold(c Copy) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.size+sizeOf(c.Records) > h.maxBytes {
		return ErrHeldLimit
	}
	if h.disk != nil {
		if err := h.disk.write(c); err != nil {
			return err
		}
	}
	h.merge(c)
	return nil
}

// add merges the copy's records; one that is held already is left out.
func (h *HeldCopies) merge(c Copy) {
	for _, r := range c.Records {
		records := h.cohorts[c.Cohort]
		at, exists := slices.BinarySearchFunc(records, r.Sequence, bySequence)
		if exists {
			continue
		}
		h.cohorts[c.Cohort] = slices.Insert(records, at, r)
		h.size += r.size()
	}
}

func bySequence(r Record, sequence uint64) int { return cmp.Compare(r.Sequence, sequence) }

// Held returns what is held for the cohort, in the order of sequences.
func (h *HeldCopies) Held(c program.Cohort) Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Copy{Cohort: c, Records: slices.Clone(h.cohorts[c])}
}

// Parts returns the same cut into parts of the size of an entry.
func (h *HeldCopies) Parts(c program.Cohort) iter.Seq[Copy] { return splitCopy(h.Held(c)) }

// Cohorts returns the cohorts for which something is held.
func (h *HeldCopies) Cohorts() []program.Cohort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var cohorts []program.Cohort
	for c := range h.cohorts {
		cohorts = append(cohorts, c)
	}
	slices.Sort(cohorts)
	return cohorts
}

// Release forgets the cohort's records up to and with the sequence.
func (h *HeldCopies) Release(c program.Cohort, upTo uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := h.cohorts[c]
	kept := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Sequence <= upTo })
	h.size += sizeOf(kept) - sizeOf(records)
	h.cohorts[c] = kept
	if len(kept) == 0 {
		delete(h.cohorts, c)
	}
	if h.disk == nil {
		return nil
	}
	return h.disk.release(c, upTo)
}

// Size returns the bytes held.
func (h *HeldCopies) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size
}

// EncodeCopy returns the copy with a checksum, for the wire and the disk.
func EncodeCopy(c Copy) []byte {
	return encodeEnvelope(&ledgerpb.Copy{Cohort: string(c.Cohort), Records: recordsToPB(c.Records)})
}

// DecodeCopy reads an encoded copy. Its errors are ErrCorrupt.
func DecodeCopy(data []byte) (Copy, error) {
	message := &ledgerpb.Copy{}
	if err := decodeEnvelope(data, message); err != nil {
		return Copy{}, err
	}
	records, err := recordsFromPB(message.Records)
	return Copy{Cohort: program.Cohort(message.Cohort), Records: records}, err
}
