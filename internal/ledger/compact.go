package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// CompactionOptions configures when a log is compacted. A zero value selects the default.
type CompactionOptions struct {
	// MinEntries is the length in entries below which a log is not compacted. Default 64.
	MinEntries int
	// MaxEntries is the length in entries above which a log of small entries is copied into
	// fuller ones. It bounds the number of reads of a recovery. Default 1024.
	MaxEntries int
}

const (
	defaultMinEntries = 64
	defaultMaxEntries = 1024
	// compactionInterval is the minimum time between two compactions. If the head of a log can't
	// be deleted because one of its programs is busy, it keeps the log from copying the other
	// programs forward at each commit.
	compactionInterval = 2 * time.Second
)

func (o CompactionOptions) withDefaults() CompactionOptions {
	if o.MinEntries == 0 {
		o.MinEntries = defaultMinEntries
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = defaultMaxEntries
	}
	return o
}

// isDue reports whether compaction is worth its writes: less than half of the log's bytes are still
// needed, or the log is long and its entries are on average less than half full.
func (o CompactionOptions) isDue(x *index) bool {
	entries := int(x.next - x.first)
	if entries < o.MinEntries {
		return false
	}
	return 2*x.liveBytes < x.totalBytes || entries > o.MaxEntries && x.totalBytes/entries < store.MaxValue/2
}

// compactLoop compacts the log whenever compaction is due, until the log is closed.
func (l *Log) compactLoop() {
	for {
		select {
		case <-l.compactWake:
		case <-l.ctx.Done():
			return
		}
		if err := l.compactOnce(l.ctx); err != nil && l.ctx.Err() == nil {
			l.log.WithError(err).Warn("compaction failed; retrying after a later commit")
		}
		l.pause(compactionInterval)
	}
}

// compactOnce deletes up to half of the log's entries. It appends a snapshot or tombstone for each
// program that still needs one of them, advances Cohort.First in the cohort's object, and deletes
// the entries before it. A crash between any two of these steps leaves a log that recovers to the
// same state.
func (l *Log) compactOnce(ctx context.Context) error {
	l.mu.Lock()
	due := l.options.Compaction.isDue(&l.index) && !l.fenced
	first, next := l.index.first, l.index.next
	limit := first + (next-first)/2
	programs := l.index.programsBefore(limit)
	adoptions := l.index.adoptionsBefore(limit)
	l.mu.Unlock()
	if !due {
		return nil
	}
	if err := l.copyForward(ctx, programs, adoptions); err != nil {
		return err
	}
	l.mu.Lock()
	limit = l.index.oldestNeeded(limit)
	l.mu.Unlock()
	if limit <= first {
		return nil
	}
	return l.truncateHead(ctx, first, limit)
}

// copyForward appends a snapshot or tombstone of each program, and the adoption records. programs
// has the sequence of each program's last queued record.
func (l *Log) copyForward(ctx context.Context, programs map[program.ID]uint64, adoptions []Record) error {
	var pending []*request
	for id, lastSequence := range programs {
		r := l.queueSnapshot(id, lastSequence)
		if r != nil {
			pending = append(pending, r)
		}
	}
	for _, adoption := range adoptions {
		r := &request{records: []Record{adoption}, size: adoption.size(), outcome: make(chan error, 1)}
		if err := l.enqueue(r); err != nil {
			return err
		}
		pending = append(pending, r)
	}
	for _, r := range pending {
		select {
		case err := <-r.outcome:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// queueSnapshot queues a snapshot or tombstone of the program, unless a record of the program was
// queued after lastSequence: the snapshot might not cover that record and would hide it. Such a
// program is left for the next compaction; the result is then nil.
func (l *Log) queueSnapshot(id program.ID, lastSequence uint64) *request {
	event, live := l.options.Snapshots.Snapshot(id)
	record := Record{Program: id, Event: event, Kind: Snapshot}
	switch {
	case !live:
		record = Record{Program: id, Kind: Tombstone}
	case event == nil || record.size() > MaxBatch:
		return nil
	}
	r := &request{records: []Record{record}, size: record.size(), outcome: make(chan error, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.index.programs[id]
	if p == nil || p.lastSequence != lastSequence || l.admit(r) != nil {
		return nil
	}
	l.push(r)
	return r
}

// truncateHead advances Cohort.First from first to limit and deletes the entries before it, unless
// a seal was begun.
func (l *Log) truncateHead(ctx context.Context, first, limit uint64) error {
	sealed := false
	err := UpdateCohort(ctx, l.options.Store, l.options.Cohort, func(c *Cohort) bool {
		sealed = c.Sealing || c.Seal != nil
		if sealed || c.First >= limit {
			return false
		}
		c.First = limit
		return true
	})
	if err != nil || sealed {
		return err
	}
	l.mu.Lock()
	l.index.dropEntriesBefore(limit)
	l.meters.compacted.Inc(int64(limit - first))
	l.mu.Unlock()
	l.log.WithFields(log.Fields{"from": first, "to": limit}).Info("log compacted")
	return DeleteEntries(ctx, l.options.Store, l.options.Cohort, first, limit)
}

// DeleteEntries deletes the entries from first up to but not including limit.
func DeleteEntries(ctx context.Context, client store.Client, c program.Cohort, first, limit uint64) error {
	for n := first; n < limit; n++ {
		err := store.Retry(ctx, func() error { return deleteEntry(ctx, client, EntryKey(c, n)) })
		if err != nil {
			return errors.Wrap(err, EntryKey(c, n).String())
		}
	}
	return nil
}

// deleteEntry deletes one object. It is no error if the object does not exist.
func deleteEntry(ctx context.Context, client store.Client, key store.Key) error {
	object, err := client.Get(ctx, key)
	if err == nil {
		err = client.Delete(ctx, key, object.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
