package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// readWindowSize is the number of entries read concurrently. A recovery has at most this many
// entries in memory besides its result.
const readWindowSize = 16

// absentRetries is how often the read of an entry that must exist is repeated before the entry
// counts as missing: the store may respond from an older state.
const absentRetries = 5

// History is the content of a log.
type History struct {
	Cohort Cohort
	// Seal and SealNumber are set if the log is sealed.
	Seal       *Seal
	SealNumber uint64
	// Programs is the records of each program in order, from its last snapshot on. Of a program
	// that ended there is only the tombstone.
	Programs map[program.ID][]Record
	// Adoptions are the adoptions that were completed in this log.
	Adoptions []Adoption
	// Sequence is the highest sequence in the log. A held copy of a record is missing from the log
	// if and only if its sequence is higher.
	Sequence uint64
	// Faults has an error for each entry that is corrupt or missing. If there are any, no program's
	// records are proven complete, since it is unknown whose records are lost.
	Faults []error
	// Entries is the number of entries read.
	Entries int
}

// Recover reads the log of a cohort. The result has the programs for which keep returns true; a nil
// keep accepts all. A corrupt or missing entry is a fault in the result and not an error; an error
// means that the log could not be read.
//
// For a sealed log the caller passes the cohort's object with the seal. Recover does not read it
// again: a response from an older state of the store would point to entries that have been deleted
// since, and the log would appear empty.
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

// ReadCohort reads a cohort's object. If it does not exist, the error is store.ErrNotFound.
func ReadCohort(ctx context.Context, client store.Client, c program.Cohort) (Cohort, error) {
	object, err := client.Get(ctx, CohortKey(c))
	if err != nil {
		return Cohort{}, errors.Wrap(err, string(c))
	}
	return DecodeCohort(object)
}

// entryRead is the outcome of reading one entry number.
type entryRead struct {
	entry  Entry
	absent bool
	fault  error
}

// readWindow reads readWindowSize entries from a number on. In a sealed log the numbers after the
// seal are absent and not read.
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

// readEntry reads one entry number. In a log known to be sealed no number up to the seal may be
// absent; one that stays absent after the retries is a fault.
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

// missingFault returns the fault for an absent number, or nil if the number may be absent.
func missingFault(c Cohort, number uint64) error {
	if c.Seal == nil || number > c.SealNumber {
		return nil
	}
	return errors.Wrapf(ErrCorrupt, "%s: missing", EntryKey(c.Cohort, number))
}

// addWindow adds a window of entries to the history and reports whether the log may continue after
// it.
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

// apply adds one record to the history, unless keep rejects its program or the program has ended.
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
