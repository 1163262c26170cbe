package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// readAhead is the number of entries read at the same time. It bounds the
// memory of a recovery to readAhead values.
const readWindowSize = 16

// missingRetries is how often an entry that must be there is read again
// before it counts as missing: the store may answer from an older state.
const absentRetries = 5

// History is what a log holds.
type History struct {
	Cohort Cohort
	// Seal and SealNumber are set if the log is sealed.
	Seal       *Seal
	SealNumber uint64
	// Programs holds the records of each program in order, from its last
	// snapshot on. Of a program that ended only the tombstone is left.
	Programs map[program.ID][]Record
	// Adoptions are those that were completed in this log.
	Adoptions []Adoption
	// Sequence is the highest sequence in the log. A held copy of a record is
	// missing from the log exactly if its sequence is higher.
	Sequence uint64
	// Faults name the entries that are corrupt or missing. If there are any,
	// no program's records are proven whole, as nobody knows whose are lost.
	Faults []error
	// Entries is the number of entries read.
	Entries int
}

// Recover reads the log of a cohort and keeps the programs that keep accepts;
// nil accepts all. A corrupt or missing entry is no error but a fault of the
// history; an error says that the log could not be read.
//
// For a sealed log the caller passes the object that tells of the seal. It is
// not read here again: an answer from an older state of the store would point
// at entries that were deleted since, and the log would look empty.
func Recover(ctx context.Context, client store.Client, c Cohort, keep func(program.ID) bool) (*History, error) {
	h := &History{Cohort: c, Programs: map[program.ID][]Record{}}
	for from := c.First; ; from += readWindowSize {
		window, err := readWindow(ctx, client, c, from)
		if err != nil {
			return nil, err
		}
		if !h.addWindow(window, keep) {
			return h, nil
		}
	}
}

// ReadCohort reads a cohort's object.
func ReadCohort(ctx context.Context, client store.Client, c program.Cohort) (Cohort, error) {
	object, err := client.Get(ctx, CohortKey(c))
	if err != nil {
		return Cohort{}, errors.Wrap(err, string(c))
	}
	return DecodeCohort(object)
}

// slot is the outcome of reading one number.
type entryRead struct {
	entry  Entry
	absent bool
	fault  error
}

func readWindow(ctx context.Context, client store.Client, c Cohort, from uint64) ([]entryRead, error) {
	window := make([]entryRead, readWindowSize)
	group, ctx := errgroup.WithContext(ctx)
	for i := range window {
		number := from + uint64(i)
		if c.Seal != nil && number > c.SealNumber {
			window[i].absent = true
			continue
		}
		group.Go(func() error {
			var err error
			window[i], err = readEntry(ctx, client, c, number)
			return err
		})
	}
	return window, group.Wait()
}

// readSlot reads one number. In a log known to be sealed no number below the
// seal may be absent; one that stays absent is a fault.
func readEntry(ctx context.Context, client store.Client, c Cohort, number uint64) (entryRead, error) {
	key := EntryKey(c.Cohort, number)
	for attempt := 0; ; attempt++ {
		object, err := client.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) && c.Seal != nil && attempt < absentRetries {
			time.Sleep(retryDelay)
			continue
		}
		if errors.Is(err, store.ErrNotFound) {
			return entryRead{absent: true, fault: missingFault(c, number)}, nil
		}
		if err != nil {
			return entryRead{}, errors.Wrap(err, key.String())
		}
		entry, err := DecodeEntry(object.Value, c.Cohort, number)
		return entryRead{entry: entry, fault: err}, nil
	}
}

func missingFault(c Cohort, number uint64) error {
	if c.Seal == nil || number > c.SealNumber {
		return nil
	}
	return errors.Wrapf(ErrCorrupt, "%s: missing", EntryKey(c.Cohort, number))
}

// take adds a window to the history and reports whether the log goes on after it.
func (h *History) addWindow(window []entryRead, keep func(program.ID) bool) bool {
	for _, s := range window {
		if s.fault != nil {
			h.Faults = append(h.Faults, s.fault)
			continue
		}
		if s.absent {
			return false
		}
		h.Entries++
		if s.entry.Seal != nil {
			h.Seal, h.SealNumber = s.entry.Seal, s.entry.Number
			return false
		}
		for _, r := range s.entry.Records {
			h.apply(r, keep)
		}
	}
	return true
}

// apply adds one record.
func (h *History) apply(r Record, keep func(program.ID) bool) {
	h.Sequence = max(h.Sequence, r.Sequence)
	if r.Kind == adoptionMark {
		h.Adoptions = append(h.Adoptions, *r.Adoption)
		return
	}
	if keep != nil && !keep(r.Program) {
		return
	}
	if earlier := h.Programs[r.Program]; len(earlier) > 0 && earlier[0].Kind == Tombstone {
		return
	}
	if r.Kind == Event {
		h.Programs[r.Program] = append(h.Programs[r.Program], r)
		return
	}
	h.Programs[r.Program] = []Record{r}
}
