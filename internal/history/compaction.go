package history

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

const (
	// snapshotName is the name of a snapshot while it is written. It becomes a segment once it is durable.
	snapshotName = "snapshot.tmp"
	// maxSegmentsAtStart is the number of segments from which on a start compacts the log.
	maxSegmentsAtStart = 16
	// compactionRetryInterval is the pause after a failed compaction.
	compactionRetryInterval = 5 * time.Second
)

// snapshot is a segment with all retained records that replaces the segments before it.
type snapshot struct {
	dir  string
	path string
	file logFile
	// segmentPath is the path of the segment that it becomes, and older the paths of those that it replaces.
	segmentPath string
	older       []string
	framed      []byte
	size        int64
	// replaced is the size in bytes of what was appended to the older segments since the last snapshot.
	replaced int64
	began    time.Time
	done     chan error
}

// beginSnapshot begins a snapshot and a new segment behind it, to which records are appended meanwhile. The snapshot must
// hold what the older segments do.
func (l *diskLog) beginSnapshot() (*snapshot, error) {
	older, err := listSegments(l.dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.dir, snapshotName)
	file, err := l.open(path)
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	l.segment++
	s := &snapshot{dir: l.dir, path: path, file: file, segmentPath: l.segmentPath(l.segment), began: time.Now(), replaced: l.appended, done: make(chan error, 1)}
	for _, n := range older {
		s.older = append(s.older, l.segmentPath(n))
	}
	if err := l.startSegment(); err != nil {
		file.Close()
		return nil, err
	}
	l.appended = 0
	return s, nil
}

// append adds records to the snapshot. Its parts are synced one by one, so that the sync of another file does not have
// to wait for all of it.
func (s *snapshot) append(records []*historypb.Record) error {
	for _, r := range records {
		framed, err := appendFrame(s.framed, r)
		if err != nil {
			return err
		}
		s.framed = framed
		if len(s.framed) < compactionBufferSize {
			continue
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
	return nil
}

func (s *snapshot) flush() error {
	n, err := s.file.Write(s.framed)
	s.size += int64(n)
	s.framed = s.framed[:0]
	if err != nil {
		return errors.Wrap(err, "history")
	}
	return errors.Wrap(s.file.Sync(), "history")
}

// commit makes the snapshot a segment and removes the older ones.
func (s *snapshot) commit() error {
	if err := s.flush(); err != nil {
		return err
	}
	if err := os.Rename(s.path, s.segmentPath); err != nil {
		return errors.Wrap(err, "history")
	}
	if err := syncDir(s.dir); err != nil {
		return err
	}
	for _, path := range s.older {
		if err := os.Remove(path); err != nil {
			return errors.Wrap(err, "history")
		}
	}
	return nil
}

// syncDir makes the names of a directory durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "history")
	}
	defer dir.Close()
	return errors.Wrap(dir.Sync(), "history")
}

// isLarge reports whether compaction is worth its writes: the log has maxSegmentSize, and as much was appended since the
// last snapshot as that one has, or a further maxSegmentSize.
func (l *diskLog) isLarge() bool {
	return l.snapshotSize+l.appended >= maxSegmentSize && l.appended >= min(l.snapshotSize, maxSegmentSize)
}

// beginLog makes this start of the keeper durable. It leaves the log as it is where it can, since what rewriting takes
// grows with what is retained. The writer compacts it later.
func (k *Keeper) beginLog() error {
	if len(k.log.damages) > 0 || k.log.segments >= maxSegmentsAtStart {
		return k.log.compact(k.snapshotRecords())
	}
	now := time.Now()
	for _, s := range k.shards {
		k.expireShard(s, now)
	}
	framed, err := appendFrame(nil, k.diskRecord())
	if err != nil {
		return err
	}
	return k.log.write(framed)
}

// compactIfLarge starts a compaction if the log is large and none is running. Only the writer calls it.
func (k *Keeper) compactIfLarge(ctx context.Context) {
	if k.compaction != nil {
		select {
		case err := <-k.compaction.done:
			k.endCompaction(err)
		default:
			return
		}
	}
	if !k.log.isLarge() || time.Now().Before(k.compactAfter) {
		return
	}
	s, err := k.log.beginSnapshot()
	if err != nil {
		k.postponeCompaction(err)
		return
	}
	k.compaction = s
	go func() { s.done <- k.writeSnapshot(ctx, s) }()
}

func (k *Keeper) endCompaction(err error) {
	if err != nil {
		k.log.appended += k.compaction.replaced
		k.postponeCompaction(err)
	} else {
		k.log.snapshotSize = k.compaction.size
		k.settings.Logger.WithField("bytes", k.compaction.size).WithField("ms", time.Since(k.compaction.began).Milliseconds()).Info("log compacted")
	}
	k.compaction = nil
}

// awaitCompaction waits for the end of a compaction that was interrupted: another process may open the log next.
func (k *Keeper) awaitCompaction() {
	if k.compaction != nil {
		<-k.compaction.done
	}
}

func (k *Keeper) postponeCompaction(err error) {
	k.compactAfter = time.Now().Add(compactionRetryInterval)
	k.settings.Logger.WithError(err).Error("log compaction failed; older segments may remain")
}

// writeSnapshot writes a snapshot. What a failed one has written is removed: the log may need the room.
func (k *Keeper) writeSnapshot(ctx context.Context, s *snapshot) error {
	err := k.writeRetained(ctx, s)
	s.file.Close()
	if err != nil {
		if err := os.Remove(s.path); err != nil && !os.IsNotExist(err) {
			k.settings.Logger.WithError(err).Error("failed snapshot not removed")
		}
	}
	return err
}

// writeRetained writes what is retained, shard by shard. Calls get the lock between two shards.
func (k *Keeper) writeRetained(ctx context.Context, s *snapshot) error {
	records := []*historypb.Record{k.diskRecord()}
	for _, shard := range k.shards {
		k.mu.Lock()
		records = append(records, shard.retained()...)
		k.mu.Unlock()
		if err := s.append(records); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		records = nil
	}
	return s.commit()
}

// diskRecord returns the record that names the disk.
func (k *Keeper) diskRecord() *historypb.Record {
	return &historypb.Record{Body: &historypb.Record_Disk{Disk: k.disk}, Starts: k.diskStarts}
}

// retained returns the shard's records with its epoch state; the keeper's lock is held or not needed.
func (s *shard) retained() []*historypb.Record {
	records := s.state.records(s.id)
	if s.epochState.promised > 0 {
		records = append(records, epochStateRecord(s.id, s.epochState))
	}
	return records
}
