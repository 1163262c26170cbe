package history

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/history/historypb"
)

// countingFile counts the bytes written to a log, and holds writes back while gate is set.
type countingFile struct {
	logFile
	written *atomic.Int64
	gate    chan struct{}
}

func (f *countingFile) Write(p []byte) (int, error) {
	if f.gate != nil {
		<-f.gate
	}
	f.written.Add(int64(len(p)))
	return f.logFile.Write(p)
}

// runTestWriter runs the writer of a keeper with a log in dir, and returns the function that stops it. Files are opened
// by open.
func runTestWriter(t *testing.T, dir string, open func(path string) (logFile, error)) (*Keeper, func()) {
	is := is.New(t)
	k, err := Open(Settings{Name: "k", LogDir: dir, Logger: &log.Logger{Handler: discard.Default}}, nil, nil)
	is.NoErr(err)
	k.log.open = open
	is.NoErr(k.log.startSegment())
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.runWriter(ctx) })
	return k, func() {
		stop()
		running.Wait()
		is.NoErr(k.log.close())
	}
}

// retain retains a turn and returns a channel that is closed once it is durable.
func (k *Keeper) retain(id string, bytes int) chan struct{} {
	durable := make(chan struct{})
	k.mu.Lock()
	defer k.mu.Unlock()
	r := turnRecord(1, &historypb.Turn{Id: id, Input: make([]byte, bytes), EndedUnixMs: time.Now().UnixMilli(), RetentionMs: time.Hour.Milliseconds()})
	k.shards[1].state.apply(r)
	k.persist([]*historypb.Record{r}, func() { close(durable) })
	return durable
}

func isDurable(durable chan struct{}) bool {
	select {
	case <-durable:
		return true
	case <-time.After(10 * time.Second):
		return false
	}
}

// Guards against a keeper that rewrites all that it retains with each write, once that exceeds the size at which the log
// is compacted. Each byte must be written a bounded number of times.
func TestCompactionIsAmortized(t *testing.T) {
	is := is.New(t)
	const turns, turnBytes = 90, 1 << 20
	var written atomic.Int64
	k, stop := runTestWriter(t, t.TempDir(), func(path string) (logFile, error) {
		file, err := createSegment(path)
		return &countingFile{logFile: file, written: &written}, err
	})
	for i := range turns {
		is.True(isDurable(k.retain(fmt.Sprint(i), turnBytes)))
	}
	stop()
	t.Logf("%d MB written for %d MB", written.Load()>>20, turns*turnBytes>>20)
	is.True(written.Load() < 3*turns*turnBytes)
}

// Guards against changes that wait until all that is retained is written anew.
func TestWritesDoNotWaitForACompaction(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	gate := make(chan struct{})
	var written atomic.Int64
	opened := 0
	k, stop := runTestWriter(t, dir, func(path string) (logFile, error) {
		file, err := createSegment(path)
		if opened++; opened == 2 { // the first file that a compaction writes
			return &countingFile{logFile: file, written: &written, gate: gate}, err
		}
		return file, err
	})
	const large = maxSegmentSize / 4
	for i := range 5 {
		is.True(isDurable(k.retain(fmt.Sprint(i), large)))
	}
	during := isDurable(k.retain("during", 1))
	close(gate)
	is.True(during)
	stop()
	is.True(k.log.snapshotSize < large) // the compaction was interrupted
	is.Equal(turnsOnDisk(t, dir), []string{"0", "1", "2", "3", "4", "during"})
}

// Guards against acknowledged turns that a compaction drops: those written before, during and after it are read.
func TestCompactedLogIsRead(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	k, stop := runTestWriter(t, dir, createSegment)
	var want []string
	const large = maxSegmentSize / 4
	for i := range 12 {
		id := fmt.Sprintf("%02d", i)
		is.True(isDurable(k.retain(id, large)))
		want = append(want, id)
	}
	stop()
	is.True(k.compaction != nil || k.log.snapshotSize > 0)
	is.Equal(turnsOnDisk(t, dir), want)
	_, err := os.Stat(filepath.Join(dir, snapshotName))
	is.True(os.IsNotExist(err))
}

// Guards against starts that take the longer, the more is retained, and against a log of ever more segments.
func TestStartLeavesALogAsItIs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeTestSegment(t, dir, 100)
	whole, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1)))
	is.NoErr(err)
	disk, starts := "", uint64(0)
	for i := range 2 * maxSegmentsAtStart {
		k, err := Open(Settings{Name: "k", LogDir: dir, Logger: &log.Logger{Handler: discard.Default}}, nil, nil)
		is.NoErr(err)
		if i == 0 {
			disk = k.disk
			kept, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1)))
			is.NoErr(err)
			is.Equal(len(kept), len(whole))
			is.True(k.log.size < 1<<10)
		}
		is.Equal(k.disk, disk)
		is.Equal(k.diskStarts, starts+1)
		starts = k.diskStarts
		segments, err := listSegments(dir)
		is.NoErr(err)
		is.True(len(segments) <= maxSegmentsAtStart)
		is.NoErr(k.log.close())
	}
}

// turnsOnDisk returns the ids of the turns of a log in order.
func turnsOnDisk(t *testing.T, dir string) []string {
	ids := map[string]bool{}
	l, err := openLog(dir, func(r *historypb.Record) {
		if turn := r.GetTurn(); turn != nil {
			ids[turn.Id] = true
		}
	})
	is.New(t).NoErr(err)
	is.New(t).NoErr(l.close())
	is.New(t).Equal(len(l.damages), 0)
	var sorted []string
	for id := range ids {
		sorted = append(sorted, id)
	}
	slices.Sort(sorted)
	return sorted
}
