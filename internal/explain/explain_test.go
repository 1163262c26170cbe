package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const logText = `
  -9.99 entry-1 {"time":"2026-03-02T21:07:05.1Z","level":"info","message":"start","fields":{"instance":"entry-1","data_centre":"north"}}
{"time":"2026-03-02T21:07:07.2Z","level":"info","message":"call","fields":{"instance":"entry-1","outcome":"not-run","reason":"turns_unreached","request":"r2","program":"p","reserving_ms":1800,"cause":"slice 3 in epoch 7"}}
{"time":"2026-03-02T21:07:06.1Z","level":"info","message":"call","fields":{"instance":"entry-1","outcome":"answered","request":"r1","program":"p","placing_ms":4}}
{"time":"2026-03-02T21:07:06.3Z","level":"info","message":"call","fields":{"instance":"entry-1","outcome":"answered","request":"r3","program":"q","placing_ms":2}}
{"time":"2026-03-02T21:07:06.0Z","level":"info","message":"placed","fields":{"instance":"entry-1","program":"p","upstream":"u"}}
not a line
{"broken":`

func read(t *testing.T) *Log {
	l, err := Read(strings.NewReader(logText))
	is.New(t).NoErr(err)
	return l
}

// Guards against a table that hides when or why calls failed: it has one row per second and
// data centre, with the mean time in each stage and the reasons.
func TestTableShowsFailuresByTimeAndReason(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(read(t).Table(time.Second).Write(&out))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 3)
	is.Equal(strings.Fields(rows[1]), []string{"1.0", "north", "2", "0.0", "3.0", "0.0", "0.0"})
	is.Equal(strings.Fields(rows[2]), []string{"2.0", "north", "1", "1800.0", "0.0", "0.0", "0.0", "1", "not-run", "turns_unreached", "p"})
}

// The story of a program has the lines of all instances in order of time.
func TestStoryIsInTimeOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteTrace(&out, read(t).Trace("p")))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 3)
	is.True(strings.Contains(rows[0], "placed"))
	is.True(strings.Contains(rows[2], "+1.200 s"))
	is.True(strings.Contains(rows[2], "cause=slice 3 in epoch 7"))
}

// Text that is not a log line of an instance is counted and skipped.
func TestOtherTextIsSkipped(t *testing.T) {
	is := is.New(t)
	l := read(t)
	is.Equal(len(l.Lines), 5)
	is.Equal(l.Skipped, 3)
	is.Equal(len((&Log{}).Table(time.Second).rows), 0)
}

// Guards against a rejected call whose cause can't be found, since the ends that decided it were seen
// under other ids at other instances.
func TestTraceOfARejectedCallHasTheEndsThatDecidedIt(t *testing.T) {
	is := is.New(t)
	l, err := Read(strings.NewReader(strings.Join([]string{
		`{"time":"2026-01-01T00:00:01Z","message":"replica ended under a call","fields":{"instance":"e1","request":"r1","content":"c","replica":"a@1"}}`,
		`{"time":"2026-01-01T00:00:02Z","message":"replica ended under a call","fields":{"instance":"e2","request":"r2","content":"c","replica":"b@1"}}`,
		`{"time":"2026-01-01T00:00:02Z","message":"replica ended under a call","fields":{"instance":"e2","request":"r5","content":"other","replica":"b@1"}}`,
		`{"time":"2026-01-01T00:00:03Z","message":"attempt failed","fields":{"instance":"e1","request":"r3","content":"c"}}`,
		`{"time":"2026-01-01T00:00:04Z","message":"call rejected: replicas ended under its content","fields":{"instance":"e3","request":"r4","content":"c","ends":"a@1, b@1"}}`,
		`{"time":"2026-01-01T00:00:35Z","message":"trial of a rejected content","fields":{"instance":"e1","request":"r6","content":"c","ends":"a@1, b@1"}}`,
	}, "\n")))
	is.NoErr(err)
	var requests []string
	for _, line := range l.Trace("r4") {
		requests = append(requests, line.Text("request"))
	}
	is.Equal(requests, []string{"r1", "r2", "r4", "r6"})
	is.Equal(len(l.Trace("r3")), 1)
}

// Guards against a call that was late for no visible reason: its trace must state how long it waited in
// the queue, for what and with which urgency. Lines without a class stay as they are.
func TestTraceStatesTheTimeInTheQueue(t *testing.T) {
	is := is.New(t)
	l, err := Read(strings.NewReader(strings.Join([]string{
		`{"time":"2026-01-01T00:00:01Z","message":"placed","fields":{"instance":"e1","program":"p","request":"r1","class":"late","rank":2,"queued_ms":310,"full":12,"waited_for":"place"}}`,
		`{"time":"2026-01-01T00:00:02Z","message":"placed","fields":{"instance":"e1","program":"p","request":"r2","class":"tight","rank":0,"queued_ms":0,"full":0}}`,
		`{"time":"2026-01-01T00:00:03Z","message":"placed","fields":{"instance":"e1","program":"p","queued_ms":20}}`,
	}, "\n")))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteTrace(&out, l.Trace("p")))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(strings.Contains(rows[0], "placed  [late, rank 2: waited 310 ms for a place at an engine; 12 engines full for it] class=late"))
	is.True(strings.Contains(rows[1], "placed  [tight, rank 0: did not wait] class=tight"))
	is.True(strings.Contains(rows[2], "placed  program=p"))
	is.Equal(len(l.Trace("r1")), 1)
}

// Guards against the story of a stream that lacks what became of it at other instances: the calls that took it
// up again, with the version at which it began, who knew that, and why one was refused.
func TestStoryOfAStreamHasTheCallsThatResumeIt(t *testing.T) {
	is := is.New(t)
	const text = `
{"time":"2026-03-02T21:07:05.1Z","message":"call","fields":{"instance":"entry-1","outcome":"gone","request":"first","replica_version":"v1"}}
{"time":"2026-03-02T21:07:05.4Z","message":"call","fields":{"instance":"entry-2","outcome":"not-run","reason":"version_unknown","request":"second","resumes":"first","resume_after":"7","version_found":"unanswered","version_answers":0}}
{"time":"2026-03-02T21:07:05.9Z","message":"call","fields":{"instance":"entry-3","outcome":"answered","request":"third","resumes":"first","resume_after":"7","version_found":"told","version_answers":1,"began_at":"v1","replica_version":"v1"}}
{"time":"2026-03-02T21:07:06.0Z","message":"call","fields":{"instance":"entry-3","outcome":"answered","request":"other"}}`
	l, err := Read(strings.NewReader(text))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteTrace(&out, l.Trace("first")))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 3)
	is.True(strings.Contains(rows[1], "reason=version_unknown") && strings.Contains(rows[1], "version_found=unanswered"))
	is.True(strings.Contains(rows[2], "began_at=v1") && strings.Contains(rows[2], "version_found=told"))
}

// Guards against an odd entry among those of the replicas whose story can't be printed, and against one mixed
// with calls at that replica.
func TestStoryOfAReplicasEntry(t *testing.T) {
	is := is.New(t)
	l, err := Read(strings.NewReader(`{"time":"2026-03-02T21:07:05.1Z","message":"replica added","fields":{"replica":"i-1@7"}}
{"time":"2026-03-02T21:07:06.1Z","message":"object of the store can't be read; left out","fields":{"name":"i-1","problem":"no JSON"}}
{"time":"2026-03-02T21:07:06.2Z","message":"entry of a replica is unusable","fields":{"replica":"i-1","problem":"p"}}
{"time":"2026-03-02T21:07:06.3Z","message":"attempt failed","fields":{"replica":"i-1@7"}}
{"time":"2026-03-02T21:07:06.4Z","message":"entry of a replica is unusable","fields":{"replica":"i-11","problem":"p"}}`))
	is.NoErr(err)
	is.Equal(len(l.Trace("i-1")), 3)
}
