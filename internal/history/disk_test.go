package history

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

// testRecordBytes is the size in bytes of the input of the turns in a test's log.
const testRecordBytes = 5 << 10

func writeTestSegment(t *testing.T, dir string, turns int) {
	is := is.New(t)
	var framed []byte
	for i := range turns {
		var err error
		turn := &historypb.Turn{Id: fmt.Sprint(i), Input: make([]byte, testRecordBytes)}
		framed, err = appendFrame(framed, turnRecord(1, turn))
		is.NoErr(err)
	}
	is.NoErr(os.WriteFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1)), framed, 0o600))
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// replayHeap returns the most memory that reading a log of that many turns holds, apart from what is
// retained of them, which is nothing here.
func replayHeap(t *testing.T, turns int) int64 {
	is := is.New(t)
	dir := t.TempDir()
	writeTestSegment(t, dir, turns)
	before, most, visited := heapBytes(), int64(0), 0
	l, err := openLog(dir, func(*historypb.Record) {
		if visited++; visited%(turns/4) == 1 {
			most = max(most, heapBytes()-before)
		}
	})
	is.NoErr(err)
	is.NoErr(l.close())
	is.Equal(visited, turns)
	return most
}

// Guards against a keeper that exceeds its memory as it starts, because it holds its log beside the
// turns that are read from it. What reading takes must not grow with the log.
func TestReplayTakesNoMemoryForTheLog(t *testing.T) {
	small, large := replayHeap(t, 1000), replayHeap(t, 8000)
	t.Logf("%d KB for a log of 5 MB, %d KB for one of 40 MB", small>>10, large>>10)
	is.New(t).True(large-small < 1<<20)
}

// Guards against a torn record that hides what was acknowledged before it, or that takes memory by the
// size that it states: the log ends before it.
func TestReplayEndsAtATornRecord(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeTestSegment(t, dir, 3)
	path := filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	frame := len(whole) / 3
	stated := append([]byte(nil), whole...)
	copy(stated[2*frame:], []byte{0xff, 0xff, 0xff, 0x03})
	flipped := append([]byte(nil), whole...)
	flipped[3*frame-1] ^= 1
	for name, torn := range map[string][]byte{
		"in the header": whole[:2*frame+frameHeaderSize/2], "in the body": whole[:3*frame-1],
		"stated size": stated, "checksum": flipped, "nothing after": whole[:2*frame],
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(path, torn, 0o600))
			visited := 0
			_, _, err := readSegment(path, false, func(*historypb.Record) { visited++ })
			is.NoErr(err)
			is.Equal(visited, 2)
		})
	}
}

// Guards against a damaged record that hides the intact ones behind it, or that is read as a whole one, and against
// shards that count as complete by what was written after the loss.
func TestReplayPassesOverADamagedRecord(t *testing.T) {
	is := is.New(t)
	var framed []byte
	var ends []int
	state := epochStateRecord(1, epochState{promised: 4, base: 4})
	turn := func(id string) *historypb.Record {
		return turnRecord(1, &historypb.Turn{Id: id, EndedUnixMs: time.Now().UnixMilli()})
	}
	for _, r := range []*historypb.Record{turn("a"), turn("b"), turn("c"), state, turn("d")} {
		var err error
		framed, err = appendFrame(framed, r)
		is.NoErr(err)
		ends = append(ends, len(framed))
	}
	framed[ends[1]-1] ^= 1 // the end of b
	dir := t.TempDir()
	path := filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1))
	is.NoErr(os.WriteFile(path, framed, 0o600))

	logs := memory.New()
	k, err := Open(Settings{Name: "k", LogDir: dir, Logger: &log.Logger{Handler: logs}}, nil, nil)
	is.NoErr(err)
	is.NoErr(k.log.close())
	var held []string
	for _, id := range []string{"a", "b", "c", "d"} {
		if _, ok := k.shards[1].state.turns[recordKey(nil, id)]; ok {
			held = append(held, id)
		}
	}
	is.Equal(held, []string{"a", "c", "d"})
	is.Equal(k.shards[1].epochState, epochState{promised: 4})
	is.Equal(len(logs.Entries), 1)
	is.Equal(logs.Entries[0].Level, log.ErrorLevel)
	is.Equal(logs.Entries[0].Fields["at"], int64(ends[0]))
	is.Equal(logs.Entries[0].Fields["following"], 3)
}

// Guards against a shard that counts as complete by an epoch state in a later segment than the damage, at the first start
// or the next one, when the log shows no damage any more. The promise of that state must not be forgotten.
func TestDamageInAnEarlierSegmentLeavesShardIncomplete(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	writeTestSegment(t, dir, 3)
	first := filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1))
	whole, err := os.ReadFile(first)
	is.NoErr(err)
	whole[len(whole)/2] ^= 1
	is.NoErr(os.WriteFile(first, whole, 0o600))
	var framed []byte
	disk, state := &historypb.Record{Body: &historypb.Record_Disk{Disk: "d"}}, epochStateRecord(1, epochState{promised: 1, base: 1})
	for _, r := range []*historypb.Record{disk, state} {
		framed, err = appendFrame(framed, r)
		is.NoErr(err)
	}
	is.NoErr(os.WriteFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 2)), framed, 0o600))
	assigned := Assignment{}
	assigned.Shards[1].Ensemble = Ensemble{Epoch: 1, Primary: "k", Disks: []string{"d"}}
	for start := range 2 {
		k, err := Open(Settings{Name: "k", LogDir: dir, Logger: &log.Logger{Handler: discard.Default}}, nil, nil)
		is.NoErr(err)
		is.Equal(k.shards[1].epochState, epochState{promised: 1})
		is.True(!k.verified || start > 0) // other promises may be lost with the damage until the assignment is read
		k.ApplyAssignment(assigned, 1)
		is.Equal(len(k.pendingWrites), 0) // no state that makes it complete
		is.NoErr(k.log.close())
	}
}

var errDisk = errors.New("disk refuses the write")

// faultyFile takes a number of bytes, and then fails each write in the middle.
type faultyFile struct {
	logFile
	room int
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if len(p) <= f.room {
		f.room -= len(p)
		return f.logFile.Write(p)
	}
	n, err := f.logFile.Write(p[:f.room])
	f.room = 0
	if err == nil {
		err = errDisk
	}
	return n, err
}

// openFaulty returns a log whose segments take room bytes each while faulty is set, and the function
// that reads the ids of the turns on its disk.
func openFaulty(t *testing.T, room int, faulty *bool) (*diskLog, func() []string) {
	is := is.New(t)
	dir := t.TempDir()
	l, err := openLog(dir, func(*historypb.Record) {})
	is.NoErr(err)
	l.open = func(path string) (logFile, error) {
		file, err := createSegment(path)
		if *faulty {
			return &faultyFile{logFile: file, room: room}, err
		}
		return file, err
	}
	return l, func() []string {
		var ids []string
		l, err := openLog(dir, func(r *historypb.Record) { ids = append(ids, r.GetTurn().GetId()) })
		is.NoErr(err)
		is.NoErr(l.close())
		return ids
	}
}

func testTurnRecord(id string) *historypb.Record {
	return turnRecord(1, &historypb.Turn{Id: id, Input: make([]byte, 100)})
}

// Guards against acknowledged records that are not read again: the disk fails in the middle of a
// compaction, and what is written next must not follow a torn record.
func TestRecordsAfterAFailedCompactionAreRead(t *testing.T) {
	is := is.New(t)
	faulty := true
	l, read := openFaulty(t, 150, &faulty)
	is.True(l.compact([]*historypb.Record{testTurnRecord("a"), testTurnRecord("b")}) != nil)
	faulty = false
	framed, err := appendFrame(nil, testTurnRecord("acknowledged"))
	is.NoErr(err)
	is.NoErr(l.write(framed))
	is.NoErr(l.close())
	is.True(slices.Contains(read(), "acknowledged"))
}

// Guards against shards that count as incomplete after a write that failed and was repeated: nothing is lost by it.
func TestRepeatedWriteLeavesNoDamage(t *testing.T) {
	is := is.New(t)
	faulty := true
	l, _ := openFaulty(t, 150, &faulty)
	is.NoErr(l.startSegment())
	framed, err := appendFrame(nil, testTurnRecord("a"))
	is.NoErr(err)
	is.NoErr(l.write(framed))
	is.True(l.write(framed) != nil)
	faulty = false
	framed, err = appendFrame(framed, epochStateRecord(1, epochState{promised: 4, base: 4}))
	is.NoErr(err)
	is.NoErr(l.write(framed))
	is.NoErr(l.close())
	k, err := Open(Settings{Name: "k", LogDir: l.dir, Logger: &log.Logger{Handler: discard.Default}}, nil, nil)
	is.NoErr(err)
	is.NoErr(k.log.close())
	is.Equal(len(k.log.damages), 0)
	is.Equal(k.shards[1].epochState, epochState{promised: 4, base: 4})
}

// Guards against an acknowledgement without a durable record: the disk fails while the keeper stops.
func TestWriteThatFailsAtAStopIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	faulty := true
	l, read := openFaulty(t, 0, &faulty)
	is.NoErr(l.startSegment())
	k := &Keeper{log: l, wakeWriter: make(chan struct{}, 1), settings: Settings{Logger: &log.Logger{Handler: discard.Default}}}
	acknowledged := false
	k.mu.Lock()
	k.persist([]*historypb.Record{testTurnRecord("a")}, func() { acknowledged = true })
	k.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(2*appendRetryInterval, stop)
	k.runWriter(ctx)
	is.NoErr(l.close())
	is.Equal(acknowledged, slices.Contains(read(), "a"))
}
