package history

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// boundedFile is a file on a disk of limited size that holds nothing but the log.
type boundedFile struct {
	logFile
	dir string
	max int64
}

var errNoSpace = errors.New("no space left on device")

func (f *boundedFile) Write(p []byte) (int, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return 0, err
	}
	used := int64(len(p))
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			used += info.Size()
		}
	}
	if used > f.max {
		return 0, errNoSpace
	}
	return f.logFile.Write(p)
}

// Guards against a keeper that stops writing because a snapshot that found no space keeps the rest of it.
func TestSnapshotWithoutSpaceIsRemoved(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	const turns, size = 90, 1 << 20
	k, stop := runTestWriter(t, dir, func(path string) (logFile, error) {
		file, err := createSegment(path)
		return &boundedFile{logFile: file, dir: dir, max: maxSegmentSize * 2}, err
	})
	for i := range turns {
		select {
		case <-k.retain(fmt.Sprint(i), size):
		case <-time.After(10 * time.Second):
			t.Fatalf("turn %d of %d is not durable", i, turns)
		}
	}
	stop()
	_, err := os.Stat(filepath.Join(dir, snapshotName))
	is.True(os.IsNotExist(err))
}
