package program

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/chat"
	"foxhall/internal/program/programpb"
)

func message(role, content string) chat.Message {
	raw, _ := json.Marshal(map[string]string{"role": role, "content": content})
	return chat.Message{Role: role, Raw: raw}
}

// life is a program with all its events, as an owner would have written them.
type testProgram struct {
	state  *State
	events []Event
	now    time.Time
}

func newTestProgram(b Bounds) *testProgram {
	l := &testProgram{state: &State{ID: NewID("dc.i.x")}, now: time.UnixMilli(1_700_000_000_000)}
	l.apply(Open(Opening{ID: l.state.ID, Customer: "semente", Plan: "p", Bounds: b}))
	return l
}

func (l *testProgram) apply(decided ...*programpb.Event) {
	l.now = l.now.Add(time.Second)
	for _, e := range l.state.NumberEvents(l.now, decided...) {
		if err := l.state.Apply(e); err != nil {
			panic(err)
		}
		l.events = append(l.events, e)
	}
}

func (l *testProgram) nextIdentity() StepIdentity {
	n := l.state.Next()
	return StepIdentity{Number: n, Key: fmt.Sprint("key", n), Hash: HashBody([]byte{byte(n)})}
}

func (l *testProgram) nextResult() StepResult {
	return StepResult{Head: l.nextIdentity(), Upstream: "u", ServiceTime: time.Second, Earning: Earning{Price: 10, Cut: 1}}
}

func (l *testProgram) addTurn(user, answer string) {
	l.apply(RecordTurn(l.nextResult(), Turn{
		Added:   []chat.Message{message("user", user)},
		Message: message("assistant", answer),
		Usage:   chat.Usage{PromptTokens: 7, CompletionTokens: 3},
	}))
}

var chargeCall = ToolCall{Service: "pay", Method: "POST", Path: "/"}

// grow takes one random step of a program's life.
func (l *testProgram) addRandomStep(rt *rapid.T) {
	n := l.state.Next()
	switch rapid.IntRange(0, 6).Draw(rt, "event") {
	case 0, 1:
		l.addTurn(fmt.Sprint("q", n), fmt.Sprint("a", n))
	case 2:
		a := l.nextResult()
		l.apply(RecordIntent(a.Head, chargeCall))
		l.apply(RecordOutcome(a, ToolAnswer{Call: chargeCall, Verdict: Done, Status: 200, Body: bytes.Repeat([]byte("x"), n*20_000)}))
	case 3:
		a := l.nextResult()
		l.apply(RecordIntent(a.Head, chargeCall))
		l.apply(RecordOutcome(StepResult{Head: a.Head}, ToolAnswer{Call: chargeCall, Verdict: NotRun}))
	case 4:
		a := l.nextResult()
		l.apply(RecordIntent(a.Head, chargeCall), RecordOutcome(a, ToolAnswer{Call: chargeCall, Verdict: Unknown}))
		if rapid.Bool().Draw(rt, "resolve") {
			event, _ := l.state.Resolve(Resolution{Number: n, Verdict: Done, Status: 200, By: "operator"}, false)
			l.apply(event)
		}
	case 5:
		l.apply(Fail(l.nextResult()))
	case 6:
		l.apply(OpenChild(NewID("dc.i.x")))
	}
}

// same compares two states by all that a snapshot holds.
func equalStates(a, b *State) bool {
	return bytes.Equal(a.Snapshot(time.Time{}).Raw, b.Snapshot(time.Time{}).Raw)
}

// A log and held copies give a program's events in any order, with doubles and
// with snapshots in between. Folded, they are the program; without an event
// that no snapshot covers they are a broken one, which no caller is served.
func TestFoldRestoresProgram(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestProgram(Bounds{})
		var snapshots []Event
		for range rapid.IntRange(0, 20).Draw(rt, "length") {
			l.addRandomStep(rt)
			if rapid.IntRange(0, 4).Draw(rt, "snapshot") == 0 {
				snapshots = append(snapshots, l.state.Snapshot(l.now))
			}
		}
		events := slices.Concat(l.events, snapshots, l.events[:rapid.IntRange(0, len(l.events)).Draw(rt, "doubles")])
		for i, e := range events {
			read, err := Decode(e.Raw)
			if err != nil {
				rt.Fatal(err)
			}
			events[i] = read
		}
		shuffled := rapid.Permutation(events).Draw(rt, "order")
		got, err := Fold(l.state.ID, shuffled)
		if err != nil || !equalStates(got, l.state) {
			rt.Fatalf("folded to another program: %v", err)
		}
		checkMissingEvent(rt, l, snapshots)
	})
}

// checkGap loses one event and expects the fold to say so, unless a snapshot
// covers it or nothing comes after it.
func checkMissingEvent(rt *rapid.T, l *testProgram, snapshots []Event) {
	missing := rapid.IntRange(0, len(l.events)-1).Draw(rt, "lost")
	covered := missing == len(l.events)-1
	for _, s := range snapshots {
		covered = covered || s.Seq > uint64(missing)
	}
	got, err := Fold(l.state.ID, slices.Concat(slices.Delete(slices.Clone(l.events), missing, missing+1), snapshots))
	if covered {
		return
	}
	if !errors.Is(err, ErrChain) || !got.Broken {
		rt.Fatalf("event %d of %d is missing and nobody says so", missing+1, len(l.events))
	}
	if got.CheckHistory(Attempt{Number: got.Next()}, nil, RepeatableKind) == nil {
		rt.Fatal("a broken program is served")
	}
	if earned(got) != earned(l.state)-earnedBy(l.events[missing]) {
		rt.Fatal("the earnings of a broken program are not those of its events")
	}
}

func earned(s *State) (sum int64) {
	for _, b := range s.Earnings(time.Time{}) {
		sum += b.Price
	}
	return sum
}

func earnedBy(e Event) int64 {
	return e.pb.GetTurn().GetEarning().GetPrice() + e.pb.GetOutcome().GetEarning().GetPrice()
}

// A program went through two logs. When the second was adopted its tail may
// have been lost, and both adoptions left a snapshot after the same event. In
// whatever order they are read, the doubt is not forgotten.
func TestFoldPreservesUncertainty(t *testing.T) {
	l := newTestProgram(Bounds{})
	l.addTurn("q", "a")
	certain := l.state.Snapshot(l.now)
	l.state.Uncertain = true
	doubtful := l.state.Snapshot(l.now)
	for _, order := range [][]Event{{certain, doubtful}, {doubtful, certain}} {
		got, err := Fold(l.state.ID, append(order, l.events...))
		is.New(t).NoErr(err)
		is.New(t).True(got.Uncertain)
	}
}

// An event of another program, or one that was altered, does not follow.
func TestFoldRejectsForeignEvent(t *testing.T) {
	is := is.New(t)
	ours, theirs := newTestProgram(Bounds{}), newTestProgram(Bounds{})
	ours.addTurn("q", "a")
	theirs.addTurn("other", "a")
	theirs.addTurn("more", "a")
	_, err := Fold(ours.state.ID, append(slices.Clone(ours.events), theirs.events[2]))
	is.True(errors.Is(err, ErrChain))
	_, err = Fold(ours.state.ID, theirs.events)
	is.True(errors.Is(err, ErrOtherProgram))
	_, err = Decode([]byte{0xff})
	is.True(errors.Is(err, ErrCorrupt))
}

// A caller sends only what is new, or its whole conversation: the engine gets
// the same. A whole list that differs anywhere in the history is refused.
func TestMergeNewOrFullMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestProgram(Bounds{})
		for i := range rapid.IntRange(1, 6).Draw(rt, "turns") {
			l.addTurn(fmt.Sprint("q", i), fmt.Sprint("a", i))
		}
		added := []chat.Message{message("tool", "result"), message("user", "next")}
		sent := slices.Concat(l.state.History, added)
		for i := range sent { // a client encodes what it read in its own way
			sent[i].Raw = append([]byte(`{"refusal": null, `), sent[i].Raw[1:]...)
		}
		fromNew, _, refusal := l.state.Merge(added)
		if refusal != nil {
			rt.Fatal(refusal)
		}
		fromFull, rest, refusal := l.state.Merge(sent)
		if refusal != nil || len(rest) != len(added) || !chat.HasPrefix(fromFull, fromNew) || len(fromFull) != len(fromNew) {
			rt.Fatalf("whole list: %v", refusal)
		}
		sent[rapid.IntRange(0, len(l.state.History)-1).Draw(rt, "changed")] = message("assistant", "invented")
		if _, _, refusal = l.state.Merge(sent); refusal == nil || refusal.Reason != ReasonHistoryConflict {
			rt.Fatal("a list that contradicts the history was taken")
		}
	})
}

// Steps are told apart by number, key and content.
func TestFind(t *testing.T) {
	l := newTestProgram(Bounds{})
	l.addTurn("q1", "a1")
	l.addTurn("q2", "a2")
	first, other := HashBody([]byte{1}), HashBody([]byte{9})
	second := HashBody([]byte{2})
	cases := []struct {
		attempt Attempt
		want    Position
	}{
		{Attempt{Number: 3, Hash: other}, Ready},
		{Attempt{Hash: other}, Ready},
		{Attempt{Key: "key9", Hash: other}, Ready},
		{Attempt{Number: 4, Hash: other}, Early},
		{Attempt{Number: 1, Hash: first}, Recorded},
		{Attempt{Key: "key1", Hash: first}, Recorded},
		{Attempt{Number: 1, Key: "key1", Hash: first}, Recorded},
		{Attempt{Number: 1, Hash: other}, Reused},
		{Attempt{Key: "key1", Hash: other}, Reused},
		{Attempt{Number: 2, Key: "key1", Hash: first}, Reused},
		{Attempt{Number: 1, Key: "key9", Hash: first}, Reused},
		{Attempt{Hash: second, FullConversation: true}, Recorded}, // an unnamed retry of the whole list
		{Attempt{Hash: second}, Ready},                            // a user may say the same twice
	}
	for _, c := range cases {
		position, _ := l.state.Find(c.attempt)
		is.New(t).Equal(position, c.want)
	}
}

// Each bound refuses the step beyond it and not the one before.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := newTestProgram(Bounds{Steps: 2, Lifetime: time.Hour, HistoryTokens: 100})
	l.addTurn("q1", "a1")
	soon, late := l.now.Add(time.Minute), l.now.Add(2*time.Hour)
	is.True(l.state.CheckBounds(soon, nil) == nil)
	is.Equal(l.state.CheckBounds(late, nil).Reason, ReasonBounds)
	long := []chat.Message{message("user", string(bytes.Repeat([]byte("x"), 400)))}
	is.Equal(l.state.CheckBounds(soon, long).Reason, ReasonBounds)
	l.addTurn("q2", "a2")
	is.Equal(l.state.CheckBounds(soon, nil).Reason, ReasonBounds)
	ended := newTestProgram(Bounds{})
	a := ended.nextResult()
	a.EndsProgram = true
	ended.apply(RecordTurn(a, Turn{Message: message("assistant", "bye")}))
	is.Equal(ended.state.CheckBounds(soon, nil).Reason, ReasonEnded)
	large := newTestProgram(Bounds{})
	large.state.historyBytes = MaxHistory
	is.Equal(large.state.CheckBounds(soon, long).Reason, ReasonBounds)
}

// What a program that was left has still to do.
func TestHasOpenWork(t *testing.T) {
	is := is.New(t)
	l := newTestProgram(Bounds{})
	is.True(!l.state.HasOpenWork())
	l.addTurn("q", "a plain answer")
	is.True(!l.state.HasOpenWork())
	l.apply(RecordTurn(l.nextResult(), Turn{Message: chat.Message{Role: "assistant",
		Raw: []byte(`{"role":"assistant","tool_calls":[{"id":"1"}]}`)}}))
	is.True(l.state.HasOpenWork()) // the caller never called the tool
	a := l.nextResult()
	l.apply(RecordIntent(a.Head, chargeCall), RecordOutcome(a, ToolAnswer{Call: chargeCall, Verdict: Done}))
	is.True(l.state.HasOpenWork()) // the model never saw the tool's answer
	l.addTurn("q", "done")
	is.True(!l.state.HasOpenWork())
	a = l.nextResult()
	l.apply(RecordIntent(a.Head, chargeCall), RecordOutcome(a, ToolAnswer{Call: chargeCall, Verdict: Unknown}))
	l.addTurn("q", "done")
	is.True(l.state.HasOpenWork()) // nobody knows whether the charge was made
}

// Operators settle only unknown steps; the sender's own knowledge corrects an
// operator who took a step for not run.
func TestResolve(t *testing.T) {
	is := is.New(t)
	l := newTestProgram(Bounds{})
	l.addTurn("q", "a")
	a := l.nextResult()
	l.apply(RecordIntent(a.Head, chargeCall), RecordOutcome(a, ToolAnswer{Call: chargeCall, Verdict: Unknown}))
	_, refusal := l.state.Resolve(Resolution{Number: 1, Verdict: Done}, false)
	is.Equal(refusal.Reason, ReasonNoStep)
	event, refusal := l.state.Resolve(Resolution{Number: 2, Verdict: NotRun, By: "operator ana"}, false)
	is.True(refusal == nil)
	l.apply(event)
	_, refusal = l.state.Resolve(Resolution{Number: 2, Verdict: Done}, false)
	is.Equal(refusal.Reason, ReasonResolved)
	_, refusal = l.state.Resolve(Resolution{Number: 2, Verdict: Done, Hash: HashBody([]byte("other"))}, true)
	is.True(refusal != nil) // the sender ran another step under the number
	is.Equal(refusal.Reason, ReasonNoStep)
	event, refusal = l.state.Resolve(Resolution{Number: 2, Verdict: Done, Hash: a.Head.Hash, Body: []byte("made")}, true)
	is.True(refusal == nil)
	l.apply(event)
	is.Equal(string(l.state.Steps[1].Tool.Body), "made")
}

// A charge is settled by a lookup whose answer is too large for the record, or
// by an operator who knows only that it ran. The record holds no answer, and a
// repeat was answered with an empty one as if the tool had given that. It is to
// be told that the step ran and its answer is not kept, also from a snapshot.
func TestResolvedStepWithoutResponse(t *testing.T) {
	is := is.New(t)
	for _, body := range [][]byte{make([]byte, MaxBody+1), nil} {
		l := newTestProgram(Bounds{})
		l.apply(RecordIntent(l.nextIdentity(), chargeCall), RecordOutcome(l.nextResult(), ToolAnswer{Call: chargeCall, Verdict: Unknown}))
		event, _ := l.state.Resolve(Resolution{Number: 1, Verdict: Done, Status: 200, Body: body}, false)
		l.apply(event)
		is.True(l.state.Steps[0].Tool.BodyDropped)
		folded, err := Fold(l.state.ID, []Event{l.state.Snapshot(l.now)})
		is.NoErr(err)
		is.True(folded.Steps[0].Tool.BodyDropped)
	}
}

// A program of forty searches with 28 KB of query each is taken over. Its
// snapshot listed every path whole and passed the log's entry, which refused it
// on every try, so the slice of all its neighbours was never taken over.
func TestSnapshotShortensLongPaths(t *testing.T) {
	is := is.New(t)
	l := newTestProgram(Bounds{})
	search := ToolCall{Service: "search", Method: "GET", Path: "/?" + strings.Repeat("q", 28<<10)}
	for range 40 {
		l.apply(RecordOutcome(l.nextResult(), ToolAnswer{Call: search, Verdict: Done, Status: 200, Body: []byte("trees")}))
	}
	snapshot := l.state.Snapshot(l.now)
	is.True(len(snapshot.Raw) <= maxSnapshot)
	folded, err := Fold(l.state.ID, []Event{snapshot})
	is.NoErr(err)
	is.True(equalStates(folded, l.state))
	is.Equal(l.state.CheckBounds(l.now, nil).Reason, ReasonBounds) // it grows no further
}

// An account of a year holds every step, in few buckets for each customer.
func TestAccountSizeOverAYear(t *testing.T) {
	is := is.New(t)
	account := &State{ID: "x", Account: true}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for hour := range 365 * 24 {
		at := start.Add(time.Duration(hour) * time.Hour)
		account.addBucket(Bucket{Customer: "semente", Start: at, Steps: 1, Earning: Earning{Price: 5, Cut: 1}})
		if hour%24 == 0 {
			account.rollUpBuckets(at)
		}
	}
	steps := int64(0)
	for _, b := range account.Earnings(time.Time{}) {
		steps += b.Steps
	}
	is.Equal(steps, int64(365*24))
	is.True(len(account.buckets) < 160) // 48 to 72 hours, 64 days and ten spans
}

func BenchmarkFold(b *testing.B) {
	for _, turns := range []int{10, 260} {
		b.Run(fmt.Sprint(turns, "turns"), func(b *testing.B) {
			l := newTestProgram(Bounds{})
			text := string(bytes.Repeat([]byte("word "), 180))
			for range turns {
				l.addTurn(text, text)
			}
			b.ReportAllocs()
			for b.Loop() {
				events := make([]Event, 0, len(l.events))
				for _, e := range l.events {
					read, _ := Decode(e.Raw)
					events = append(events, read)
				}
				if _, err := Fold(l.state.ID, events); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
