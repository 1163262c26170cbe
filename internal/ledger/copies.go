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

// ErrHeldLimit indicates that held copies have reached their maximum size. The copy was not taken.
var ErrHeldLimit = errors.New("ledger: held copies at their maximum size")

// HeldCopies is the set of records that this instance holds for other cohorts while the object API
// is down. They are kept in memory and, if the instance has a data folder, also on disk, so that
// they survive a restart.
type HeldCopies struct {
	disk     *copyFolder
	maxBytes int

	mu      sync.Mutex
	size    int
	cohorts map[program.Cohort][]Record
}

// defaultMaxHeldBytes is the default maximum size of the copies held for others, in bytes. It has
// room for over two minutes of one owner's turns, at 62 per second of 4 KB each and two copies of
// each.
const defaultMaxHeldBytes = 64 << 20

// OpenHeldCopies returns the copies that this instance holds, including those in the folder, unless
// its name is empty. limit is in bytes; 0 selects 64 MiB. Files that can't be decoded are not
// changed. The error names them, and the HeldCopies is usable all the same.
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

// Hold stores the copy and returns nil once it is stored, on disk if there is a data folder.
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

// merge adds the copy's records to those held. Records that are held already are skipped.
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

// Held returns the records held for the cohort, ordered by sequence.
func (h *HeldCopies) Held(c program.Cohort) Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Copy{Cohort: c, Records: slices.Clone(h.cohorts[c])}
}

// Batches returns the records held for the cohort, split into parts that each fit into an entry.
func (h *HeldCopies) Batches(c program.Cohort) iter.Seq[Copy] { return splitCopy(h.Held(c)) }

// Cohorts returns the cohorts for which records are held, sorted by name.
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

// Release drops the cohort's records up to and including the sequence.
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

// Size returns the size of the held records in bytes.
func (h *HeldCopies) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size
}

// EncodeCopy returns the copy with a checksum, as it is sent to peers and stored on disk.
func EncodeCopy(c Copy) []byte {
	return encodeEnvelope(&ledgerpb.Copy{Cohort: string(c.Cohort), Records: recordsToPB(c.Records)})
}

// DecodeCopy decodes a copy. Errors are ErrCorrupt.
func DecodeCopy(data []byte) (Copy, error) {
	message := &ledgerpb.Copy{}
	if err := decodeEnvelope(data, message); err != nil {
		return Copy{}, err
	}
	records, err := recordsFromPB(message.Records)
	return Copy{Cohort: program.Cohort(message.Cohort), Records: records}, err
}
