package ledger

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// CompactionOptions say when the head of a log is copied forward. Zero values
// stand for the defaults.
type CompactionOptions struct {
	// MinEntries is the length below which a log is left alone. Default 64.
	MinEntries int
	// MaxEntries is the length above which a log of small entries is copied
	// into fuller ones, and so the bound of recovery by reads. Default 1024.
	MaxEntries int
}

const (
	defaultMinEntries = 64
	defaultMaxEntries = 1024
	// compactPause keeps a log whose head can't be dropped yet, since one of
	// its programs is busy, from copying the others forward at each commit.
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

// due reports whether compaction is worth its writes: more than half of the
// log is dead, or the log is long and its entries are less than half full.
func (o CompactionOptions) isDue(x *index) bool {
	entries := int(x.next - x.first)
	if entries < o.MinEntries {
		return false
	}
	return 2*x.liveBytes < x.totalBytes || entries > o.MaxEntries && x.totalBytes/entries < store.MaxValue/2
}

// compactLoop copies the head of the log forward when it is due.
func (l *Log) compactLoop() {
	for {
		select {
		case <-l.compactWake:
		case <-l.ctx.Done():
			return
		}
		if err := l.compactOnce(l.ctx); err != nil && l.ctx.Err() == nil {
			l.log.WithError(err).Warn("compaction put off")
		}
		l.pause(compactionInterval)
	}
}

// compactOnce drops up to half of the log's entries: it writes a snapshot or
// tombstone at the log's end for each program that needs one of them, moves
// the checkpoint pointer in the cohort's object, and deletes what lies before.
// A crash between any two of these leaves a log that recovers to the same.
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

// copyForward appends a snapshot or tombstone of each program, and the marks.
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

// snapshot queues a snapshot or tombstone of the program, unless a record of
// it was queued since last was read: the snapshot might not hold that record
// and would hide it. Such a program is left for the next time.
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

// dropHead moves the checkpoint pointer and deletes the entries before it.
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

// DeleteEntries deletes the entries from first up to, not with, limit.
func DeleteEntries(ctx context.Context, client store.Client, c program.Cohort, first, limit uint64) error {
	for n := first; n < limit; n++ {
		err := store.Retry(ctx, func() error { return deleteEntry(ctx, client, EntryKey(c, n)) })
		if err != nil {
			return errors.Wrap(err, EntryKey(c, n).String())
		}
	}
	return nil
}

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
