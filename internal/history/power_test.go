package history

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxSyncTime is the longest time, in virtual time, that a sync takes.
	maxSyncTime = 8 * time.Millisecond
	// syncsPerCompaction is how many syncs of the log there are, on average, between two compactions.
	syncsPerCompaction = 40
)

var errDiskOff = errors.New("the machine is off")

// powerDisk records what is durable of a machine's log, so that a loss of power can take the rest. Each write after
// the last sync of a file may be present, missing or torn. A new file is durable with its own sync, and the removal of
// a name with the sync of the directory.
type powerDisk struct {
	dir string
	// kept is a directory with a second link to each file, which outlives the removal of its name.
	kept string

	mu     sync.Mutex
	random *rand.Rand
	off    bool
	files  []*powerFile
	links  int
	// lost counts what losses of power took, by its kind.
	lost map[string]int
}

// powerFile is a file of a powerDisk. The disk's lock guards it.
type powerFile struct {
	*os.File
	disk       *powerDisk
	ctx        context.Context
	path, link string
	// size and synced are the file's length and how much of it is durable, in bytes. The writes since are unsynced.
	size, synced int64
	unsynced     []unsyncedWrite
	durable      bool
	// removedBefore are the files that were removed before this snapshot was begun.
	removedBefore []*powerFile
	onSync        func()
}

type unsyncedWrite struct {
	at   int64
	data []byte
}

func newPowerDisk(dir string, seed uint64) (*powerDisk, error) {
	d := &powerDisk{dir: dir, kept: dir + "-kept", random: rand.New(rand.NewPCG(seed, 0)), lost: map[string]int{}}
	return d, os.MkdirAll(d.kept, 0o755)
}

// attach records the writes to a log that was just opened, until ctx ends with its process. What the log has read is
// synced.
func (d *powerDisk) attach(ctx context.Context, l *diskLog) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off = false
	numbers, err := listSegments(d.dir)
	if err != nil {
		return err
	}
	var current *powerFile
	for _, n := range numbers {
		current = d.fileAt(l.segmentPath(n))
		if current == nil {
			if current, err = d.add(l.segmentPath(n)); err != nil {
				return err
			}
		}
		info, err := os.Stat(current.path)
		if err != nil {
			return err
		}
		current.size, current.synced, current.unsynced, current.durable = info.Size(), info.Size(), nil, true
	}
	file, err := os.OpenFile(current.path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	// Only the log's own goroutine syncs segments, so that it may change the log.
	compactNow := func() {
		if d.random.IntN(syncsPerCompaction) == 0 {
			l.appended = maxSegmentSize
		}
	}
	current.File, current.ctx, current.onSync = file, ctx, compactNow
	l.file.Close()
	l.file = current
	l.open = func(path string) (logFile, error) { return d.create(ctx, path, compactNow) }
	return nil
}

// fileAt returns the file that has the path now; nil for none.
func (d *powerDisk) fileAt(path string) *powerFile {
	for _, f := range d.files {
		if isSameFile(path, f.link) {
			f.path = path
			return f
		}
	}
	return nil
}

func isSameFile(a, b string) bool {
	first, err := os.Stat(a)
	if err != nil {
		return false
	}
	second, err := os.Stat(b)
	return err == nil && os.SameFile(first, second)
}

// add begins to record a file; the lock is held.
func (d *powerDisk) add(path string) (*powerFile, error) {
	d.links++
	f := &powerFile{disk: d, path: path, link: filepath.Join(d.kept, strconv.Itoa(d.links))}
	d.files = append(d.files, f)
	return f, os.Link(path, f.link)
}

func (d *powerDisk) create(ctx context.Context, path string, onSync func()) (logFile, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.off {
		return nil, errDiskOff
	}
	removed := d.removedFiles()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, err
	}
	f, err := d.add(path)
	if err != nil {
		return nil, err
	}
	f.File, f.ctx, f.onSync = file, ctx, onSync
	if f.isSnapshot() {
		f.removedBefore, f.onSync = removed, nil
	}
	return f, nil
}

// removedFiles returns the files whose names were removed, which a loss of power may undo.
func (d *powerDisk) removedFiles() []*powerFile {
	var removed []*powerFile
	for _, f := range d.files {
		if !d.isNamed(f) {
			removed = append(removed, f)
		}
	}
	return removed
}

// isNamed reports whether the file has a name, and notes a new one.
func (d *powerDisk) isNamed(f *powerFile) bool {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if path := filepath.Join(d.dir, e.Name()); isSameFile(path, f.link) {
			f.path = path
			return true
		}
	}
	return false
}

func (f *powerFile) isSnapshot() bool { return strings.HasSuffix(f.path, snapshotName) }

// Write implements logFile.
func (f *powerFile) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.off {
		return 0, errDiskOff
	}
	n, err := f.File.Write(b)
	f.unsynced = append(f.unsynced, unsyncedWrite{at: f.size, data: append([]byte(nil), b[:n]...)})
	f.size += int64(n)
	return n, err
}

// Sync implements logFile. It makes durable what was written before it began, unless the process or the power ends
// meanwhile.
func (f *powerFile) Sync() error {
	d := f.disk
	d.mu.Lock()
	writes, size := len(f.unsynced), f.size
	took := time.Duration(d.random.Int64N(int64(maxSyncTime)))
	d.mu.Unlock()
	sleep(f.ctx, took)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.off || f.ctx.Err() != nil {
		return errDiskOff
	}
	f.unsynced, f.synced, f.durable = f.unsynced[writes:], size, true
	if f.onSync != nil {
		f.onSync()
	}
	return nil
}

// Truncate implements logFile.
func (f *powerFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.off {
		return errDiskOff
	}
	f.size, f.synced, f.unsynced = size, min(size, f.synced), nil
	return f.File.Truncate(size)
}

// Close implements logFile. A snapshot that is a segment by then has had its directory synced, before it removed those that it replaces.
func (f *powerFile) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.removedBefore != nil && f.disk.isNamed(f) && !f.isSnapshot() {
		for _, removed := range f.removedBefore {
			f.disk.forget(removed)
		}
	}
	f.removedBefore = nil
	return f.File.Close()
}

// forget leaves a file out; the lock is held.
func (d *powerDisk) forget(f *powerFile) {
	for i := range d.files {
		if d.files[i] == f {
			d.files = append(d.files[:i:i], d.files[i+1:]...)
			break
		}
	}
	_ = os.Remove(f.link)
}

// cut ends all writes at this moment.
func (d *powerDisk) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off = true
}

// lose takes what a loss of power takes, after the process has ended: all that is not durable, or parts of it.
func (d *powerDisk) lose(all bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range append([]*powerFile(nil), d.files...) {
		if err := d.loseOf(f, all); err != nil {
			return err
		}
	}
	return nil
}

func (d *powerDisk) loseOf(f *powerFile, all bool) error {
	named := d.isNamed(f)
	switch {
	case !named && (!f.durable || d.random.IntN(2) == 0):
		d.forget(f)
		return nil
	case !named:
		d.lost["removal undone"]++
		if err := os.Link(f.link, f.path); err != nil && !os.IsExist(err) {
			return err
		}
	case !f.durable && (all || d.random.IntN(2) == 0):
		d.lost["new file"]++
		d.forget(f)
		return os.Remove(f.path)
	}
	return f.loseWrites(all)
}

// loseWrites leaves each unsynced write present, missing or torn.
func (f *powerFile) loseWrites(all bool) error {
	file, err := os.OpenFile(f.link, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(f.synced); err != nil {
		return err
	}
	for _, w := range f.unsynced {
		from, to := f.disk.survivingPart(len(w.data), all)
		if _, err := file.WriteAt(w.data[from:to], w.at+int64(from)); err != nil && err != io.EOF {
			return err
		}
	}
	f.unsynced = nil
	return nil
}

// survivingPart draws which part of an unsynced write of some bytes is left.
func (d *powerDisk) survivingPart(bytes int, all bool) (from, to int) {
	fate := d.random.IntN(4)
	switch {
	case all || fate == 0:
		d.lost["write missing"]++
		return 0, 0
	case fate == 1:
		d.lost["write present"]++
		return 0, bytes
	case fate == 2:
		d.lost["write torn at its end"]++
		return 0, d.random.IntN(bytes + 1)
	}
	d.lost["write torn at its start"]++
	return d.random.IntN(bytes + 1), bytes
}
