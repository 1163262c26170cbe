package history

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

const (
	// frameHeaderSize is the length in bytes of the header of a record: its size and its checksum.
	frameHeaderSize = 12
	// maxRecordSize bounds a record in bytes; a turn's input is at most the body of a call.
	maxRecordSize = 64 << 20
	// maxSegmentSize is the size in bytes from which on the log is compacted into a segment of all
	// retained records, see isLarge. Two segments and twice the retained records fit the smallest disk, of
	// 340 MB.
	maxSegmentSize    = 48 << 20
	segmentNameFormat = "history-%08d.log"
	// compactionBufferSize is how many bytes a compaction buffers before it writes them.
	compactionBufferSize = 1 << 20
	// replayBufferSize is how many bytes of a segment are read at once.
	replayBufferSize = 256 << 10
)

// diskLog is the segmented write-ahead log of records on this instance's disk. It is used by one
// goroutine.
type diskLog struct {
	dir     string
	open    func(path string) (logFile, error)
	file    logFile
	segment int
	// size is the segment's length in bytes, and synced how much of it is durable.
	size, synced int64
	// snapshotSize is the size in bytes of the last snapshot of all retained records, and appended that of the records
	// written since.
	snapshotSize, appended int64
	// torn means that a write failed, so that the segment may end within a record. What follows there
	// would not be read again.
	torn bool
	// damages are the parts of segments that could not be read at the start, segments is how many there were.
	damages  []damage
	segments int
}

// damage is a part of a segment that is not a record as it was written.
type damage struct {
	path string
	// at is where in the segment it begins, and bytes its length.
	at, bytes int64
	// following is the number of records behind it in its segment. Without any it may be a record that was written
	// in part, and never acknowledged.
	following int
}

// lostRecords reports whether the start passed over records that may have been acknowledged.
func (l *diskLog) lostRecords() bool {
	return slices.ContainsFunc(l.damages, func(d damage) bool { return d.following > 0 })
}

// logFile is the file of a segment.
type logFile interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

func createSegment(path string) (logFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
}

// openLog calls visit for every record of all segments, and opens a new segment for writing. A
// record that was written in part ends its segment: nothing after it was ever acknowledged. A damaged record is left
// out. Epoch states behind one, also in later segments, count only as promises: what they state to be there may be
// lost with it.
func openLog(dir string, visit func(*historypb.Record)) (*diskLog, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "history")
	}
	if err := os.Remove(filepath.Join(dir, snapshotName)); err != nil && !os.IsNotExist(err) {
		return nil, errors.Wrap(err, "history")
	}
	numbers, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	l := &diskLog{dir: dir, open: createSegment}
	for _, n := range numbers {
		damages, size, err := readSegment(l.segmentPath(n), len(l.damages) > 0, visit)
		if err != nil {
			return nil, err
		}
		l.segment, l.damages = n, append(l.damages, damages...)
		l.appended += size
	}
	l.segments = len(numbers)
	return l, l.startSegment()
}

func listSegments(dir string) ([]int, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	var numbers []int
	for _, e := range entries {
		n := 0
		if _, err := fmt.Sscanf(e.Name(), segmentNameFormat, &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	sort.Ints(numbers)
	return numbers, nil
}

func (l *diskLog) segmentPath(n int) string {
	return filepath.Join(l.dir, fmt.Sprintf(segmentNameFormat, n))
}

// startSegment begins a new segment.
func (l *diskLog) startSegment() error {
	file, err := l.open(l.segmentPath(l.segment + 1))
	if err != nil {
		return errors.Wrap(err, "history")
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.synced, l.torn = file, 0, 0, false
	l.segment++
	return nil
}

// readSegment calls visit for every record of a segment, and returns its size; behindDamage tells that an earlier segment has damages. It
// holds one record at a time: the keeper's memory is sized for what it retains, not for its log beside it.
func readSegment(path string, behindDamage bool, visit func(*historypb.Record)) (damages []damage, size int64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "history")
	}
	defer file.Close()
	// A process that was killed may have left records that are not durable. They count as such from now on.
	if err := file.Sync(); err != nil {
		return nil, 0, errors.Wrap(err, "history")
	}
	info, err := file.Stat()
	if err != nil {
		return nil, 0, errors.Wrap(err, "history")
	}
	frames := &frameReader{reader: bufio.NewReaderSize(file, replayBufferSize), remaining: info.Size()}
	for frames.remaining > 0 {
		at := info.Size() - frames.remaining
		r, err := frames.next()
		switch {
		case err != nil:
			return nil, 0, errors.Wrap(err, "history")
		case r == nil:
			if last := len(damages) - 1; last >= 0 && damages[last].following == 0 {
				at, damages = damages[last].at, damages[:last]
			}
			damages = append(damages, damage{path: path, at: at, bytes: info.Size() - frames.remaining - at})
			continue
		case len(damages) > 0:
			damages[len(damages)-1].following++
		}
		if m := r.GetMark(); m != nil && (behindDamage || len(damages) > 0) {
			m.Base, m.Synced = 0, false
		}
		visit(r)
	}
	return damages, info.Size(), nil
}

// frameReader reads the records of a segment.
type frameReader struct {
	reader io.Reader
	// remaining is the number of bytes that the segment still has.
	remaining int64
	header    [frameHeaderSize]byte
	body      []byte
}

// next returns the next record; nil if it is not as it was written. The next one begins after the size that it states.
// If that can't be, nothing remains to be read.
func (f *frameReader) next() (*historypb.Record, error) {
	if f.remaining < frameHeaderSize {
		f.remaining = 0
		return nil, nil
	}
	if _, err := io.ReadFull(f.reader, f.header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.LittleEndian.Uint32(f.header[:]))
	checksum := binary.LittleEndian.Uint64(f.header[4:])
	f.remaining -= frameHeaderSize
	if size == 0 || size > maxRecordSize || size > f.remaining {
		f.remaining = 0
		return nil, nil
	}
	f.remaining -= size
	f.body = slices.Grow(f.body[:0], int(size))[:size]
	if _, err := io.ReadFull(f.reader, f.body); err != nil {
		return nil, err
	}
	r := &historypb.Record{}
	if xxhash.Sum64(f.body) != checksum || proto.Unmarshal(f.body, r) != nil {
		return nil, nil
	}
	return r, nil
}

// appendFrame appends a record with its header to b.
func appendFrame(b []byte, r *historypb.Record) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, r)
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	body := b[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(body)))
	binary.LittleEndian.PutUint64(b[start+4:], xxhash.Sum64(body))
	return b, nil
}

// write appends framed records and waits until they are durable. After a failure it cuts off what was
// written in part, so that it doesn't count as damage, and begins a new segment.
func (l *diskLog) write(framed []byte) error {
	if l.torn {
		if err := l.file.Truncate(l.synced); err != nil {
			return errors.Wrap(err, "history")
		}
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.append(framed); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		l.torn = true
		return errors.Wrap(err, "history")
	}
	l.synced = l.size
	return nil
}

func (l *diskLog) append(framed []byte) error {
	n, err := l.file.Write(framed)
	l.size += int64(n)
	l.appended += int64(n)
	if err == nil && n < len(framed) {
		err = io.ErrShortWrite
	}
	l.torn = l.torn || err != nil
	return errors.Wrap(err, "history")
}

// compact begins a new segment with all retained records, and removes the older segments once it is
// durable.
func (l *diskLog) compact(all []*historypb.Record) error {
	older, err := listSegments(l.dir)
	if err != nil {
		return err
	}
	if err := l.startSegment(); err != nil {
		return err
	}
	var framed []byte
	for _, r := range all {
		if framed, err = appendFrame(framed, r); err != nil {
			return err
		}
		if len(framed) >= compactionBufferSize {
			if err := l.append(framed); err != nil {
				return err
			}
			framed = framed[:0]
		}
	}
	if err := l.write(framed); err != nil {
		return err
	}
	l.snapshotSize, l.appended = l.size, 0
	for _, n := range older {
		if err := os.Remove(l.segmentPath(n)); err != nil {
			return errors.Wrap(err, "history")
		}
	}
	return nil
}

func (l *diskLog) close() error { return l.file.Close() }
