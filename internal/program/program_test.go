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

// testProgram is a program with all its events, as its owner would write them.
type testProgram struct {
	state  *State
	events []Event
	now    time.Time
}

func newTestProgram(b Bounds) *testProgram {
	p := &testProgram{state: &State{ID: NewID("dc.i.x")}, now: time.UnixMilli(1_700_000_000_000)}
	p.apply(Open(Opening{ID: p.state.ID, Customer: "semente", Plan: "p", Bounds: b}))
	return p
}

func (p *testProgram) apply(decided ...*programpb.Event) {
	p.now = p.now.Add(time.Second)
	for _, e := range p.state.NumberEvents(p.now, decided...) {
		if err := p.state.Apply(e); err != nil {
			panic(err)
		}
		p.events = append(p.events, e)
	}
}

func (p *testProgram) nextIdentity() StepIdentity {
	n := p.state.Next()
	return StepIdentity{Number: n, Key: fmt.Sprint("key", n), Hash: HashBody([]byte{byte(n)})}
}

func (p *testProgram) nextResult() StepResult {
	return StepResult{Identity: p.nextIdentity(), Upstream: "u", ServiceTime: time.Second, Earning: Earning{Price: 10, Cut: 1}}
}

func (p *testProgram) addTurn(user, answer string) {
	p.apply(RecordTurn(p.nextResult(), Turn{
		Added:   []chat.Message{message("user", user)},
		Message: message("assistant", answer),
		Usage:   chat.Usage{PromptTokens: 7, CompletionTokens: 3},
	}))
}

var chargeCall = ToolCall{Service: "pay", Method: "POST", Path: "/"}

// addRandomStep applies the events of one random step.
func (p *testProgram) addRandomStep(rt *rapid.T) {
	n := p.state.Next()
	switch rapid.IntRange(0, 6).Draw(rt, "event") {
	case 0, 1:
		p.addTurn(fmt.Sprint("q", n), fmt.Sprint("a", n))
	case 2:
		result := p.nextResult()
		p.apply(RecordIntent(result.Identity, chargeCall))
		p.apply(RecordOutcome(result, ToolResponse{Call: chargeCall, Verdict: Done, Status: 200, Body: bytes.Repeat([]byte("x"), n*20_000)}))
	case 3:
		result := p.nextResult()
		p.apply(RecordIntent(result.Identity, chargeCall))
		p.apply(RecordOutcome(StepResult{Identity: result.Identity}, ToolResponse{Call: chargeCall, Verdict: NotRun}))
	case 4:
		result := p.nextResult()
		p.apply(RecordIntent(result.Identity, chargeCall), RecordOutcome(result, ToolResponse{Call: chargeCall, Verdict: Unknown}))
		if rapid.Bool().Draw(rt, "resolve") {
			event, _ := p.state.Resolve(Resolution{Number: n, Verdict: Done, Status: 200, By: "operator"}, false)
			p.apply(event)
		}
	case 5:
		p.apply(RecordFailure(p.nextResult()))
	case 6:
		p.apply(OpenChild(NewID("dc.i.x")))
	}
}

// equalStates reports whether two states have the same snapshot.
func equalStates(a, b *State) bool {
	return bytes.Equal(a.Snapshot(time.Time{}).Raw, b.Snapshot(time.Time{}).Raw)
}

// Fold restores a program from its events in any order, with duplicates and with snapshots in
// between, as a log and held copies supply them. If an event is missing that no snapshot covers,
// the program is broken and its steps are refused.
func TestFoldRestoresProgram(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestProgram(Bounds{})
		var snapshots []Event
		for range rapid.IntRange(0, 20).Draw(rt, "length") {
			p.addRandomStep(rt)
			if rapid.IntRange(0, 4).Draw(rt, "snapshot") == 0 {
				snapshots = append(snapshots, p.state.Snapshot(p.now))
			}
		}
		events := slices.Concat(p.events, snapshots, p.events[:rapid.IntRange(0, len(p.events)).Draw(rt, "doubles")])
		for i, e := range events {
			read, err := Decode(e.Raw)
			if err != nil {
				rt.Fatal(err)
			}
			events[i] = read
		}
		shuffled := rapid.Permutation(events).Draw(rt, "order")
		got, err := Fold(p.state.ID, shuffled)
		if err != nil || !equalStates(got, p.state) {
			rt.Fatalf("the folded state differs from the program's: %v", err)
		}
		checkMissingEvent(rt, p, snapshots)
	})
}

// checkMissingEvent removes one event and expects Fold to report it, unless a snapshot covers the
// event or no event comes after it.
func checkMissingEvent(rt *rapid.T, p *testProgram, snapshots []Event) {
	missing := rapid.IntRange(0, len(p.events)-1).Draw(rt, "lost")
	covered := missing == len(p.events)-1
	for _, s := range snapshots {
		covered = covered || s.Seq > uint64(missing)
	}
	got, err := Fold(p.state.ID, slices.Concat(slices.Delete(slices.Clone(p.events), missing, missing+1), snapshots))
	if covered {
		return
	}
	if !errors.Is(err, ErrChain) || !got.Broken {
		rt.Fatalf("event %d of %d is missing: expected ErrChain and a broken program", missing+1, len(p.events))
	}
	if got.CheckHistory(Attempt{Number: got.Next()}, nil, RepeatableToolKind) == nil {
		rt.Fatal("a step of a broken program was not refused")
	}
	if earned(got) != earned(p.state)-earnedBy(p.events[missing]) {
		rt.Fatal("the earnings of a broken program differ from those of its events")
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

// A program was in two logs, and both adoptions wrote a snapshot with the same number. The tail of
// the second log may have been lost. The state must be Uncertain in whichever order the snapshots
// are read.
func TestFoldPreservesUncertainty(t *testing.T) {
	p := newTestProgram(Bounds{})
	p.addTurn("q", "a")
	certain := p.state.Snapshot(p.now)
	p.state.Uncertain = true
	doubtful := p.state.Snapshot(p.now)
	for _, order := range [][]Event{{certain, doubtful}, {doubtful, certain}} {
		got, err := Fold(p.state.ID, append(order, p.events...))
		is.New(t).NoErr(err)
		is.New(t).True(got.Uncertain)
	}
}

// Fold refuses an event of another program, and Decode an event that can't be decoded.
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

// The engine gets the same messages whether the caller sends only the new ones or the full
// conversation. A full conversation that differs anywhere from the history is refused.
func TestMergeNewOrFullMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestProgram(Bounds{})
		for i := range rapid.IntRange(1, 6).Draw(rt, "turns") {
			p.addTurn(fmt.Sprint("q", i), fmt.Sprint("a", i))
		}
		added := []chat.Message{message("tool", "result"), message("user", "next")}
		sent := slices.Concat(p.state.History, added)
		for i := range sent { // clients encode the same message differently
			sent[i].Raw = append([]byte(`{"refusal": null, `), sent[i].Raw[1:]...)
		}
		fromNew, _, refusal := p.state.Merge(added)
		if refusal != nil {
			rt.Fatal(refusal)
		}
		fromFull, rest, refusal := p.state.Merge(sent)
		if refusal != nil || len(rest) != len(added) || !chat.HasPrefix(fromFull, fromNew) || len(fromFull) != len(fromNew) {
			rt.Fatalf("merging the full conversation failed or differs: %v", refusal)
		}
		sent[rapid.IntRange(0, len(p.state.History)-1).Draw(rt, "changed")] = message("assistant", "invented")
		if _, _, refusal = p.state.Merge(sent); refusal == nil || refusal.Reason != ReasonHistoryConflict {
			rt.Fatal("a conversation that contradicts the history was accepted")
		}
	})
}

// Find distinguishes steps by number, key and content.
func TestFind(t *testing.T) {
	p := newTestProgram(Bounds{})
	p.addTurn("q1", "a1")
	p.addTurn("q2", "a2")
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
		{Attempt{Hash: second, FullConversation: true}, Recorded}, // a retry of the full conversation, without number and key
		{Attempt{Hash: second}, Ready},                            // a user may send the same message twice
	}
	for _, c := range cases {
		position, _ := p.state.Find(c.attempt)
		is.New(t).Equal(position, c.want)
	}
}

// Each bound refuses the first step that exceeds it and not the one before. An ended program
// refuses every step.
func TestBounds(t *testing.T) {
	is := is.New(t)
	p := newTestProgram(Bounds{Steps: 2, Lifetime: time.Hour, HistoryTokens: 100})
	p.addTurn("q1", "a1")
	soon, late := p.now.Add(time.Minute), p.now.Add(2*time.Hour)
	is.True(p.state.CheckBounds(soon, nil) == nil)
	is.Equal(p.state.CheckBounds(late, nil).Reason, ReasonBounds)
	long := []chat.Message{message("user", string(bytes.Repeat([]byte("x"), 400)))}
	is.Equal(p.state.CheckBounds(soon, long).Reason, ReasonBounds)
	p.addTurn("q2", "a2")
	is.Equal(p.state.CheckBounds(soon, nil).Reason, ReasonBounds)
	ended := newTestProgram(Bounds{})
	result := ended.nextResult()
	result.EndsProgram = true
	ended.apply(RecordTurn(result, Turn{Message: message("assistant", "bye")}))
	is.Equal(ended.state.CheckBounds(soon, nil).Reason, ReasonEnded)
	large := newTestProgram(Bounds{})
	large.state.historyBytes = MaxHistory
	is.Equal(large.state.CheckBounds(soon, long).Reason, ReasonBounds)
}

// HasOpenWork is true after a response that asks for a tool, after a tool's response that the model
// has not seen, and while an outcome is unknown.
func TestHasOpenWork(t *testing.T) {
	is := is.New(t)
	p := newTestProgram(Bounds{})
	is.True(!p.state.HasOpenWork())
	p.addTurn("q", "a plain answer")
	is.True(!p.state.HasOpenWork())
	p.apply(RecordTurn(p.nextResult(), Turn{Message: chat.Message{Role: "assistant",
		Raw: []byte(`{"role":"assistant","tool_calls":[{"id":"1"}]}`)}}))
	is.True(p.state.HasOpenWork()) // the tool was not called yet
	result := p.nextResult()
	p.apply(RecordIntent(result.Identity, chargeCall), RecordOutcome(result, ToolResponse{Call: chargeCall, Verdict: Done}))
	is.True(p.state.HasOpenWork()) // the model has not seen the tool's response
	p.addTurn("q", "done")
	is.True(!p.state.HasOpenWork())
	result = p.nextResult()
	p.apply(RecordIntent(result.Identity, chargeCall), RecordOutcome(result, ToolResponse{Call: chargeCall, Verdict: Unknown}))
	p.addTurn("q", "done")
	is.True(p.state.HasOpenWork()) // it is unknown whether the charge was made
}

// Operators resolve only unknown steps. The sender may correct an operator who resolved a step as
// not run, but not by the outcome of another step with the same number.
func TestResolve(t *testing.T) {
	is := is.New(t)
	p := newTestProgram(Bounds{})
	p.addTurn("q", "a")
	result := p.nextResult()
	p.apply(RecordIntent(result.Identity, chargeCall), RecordOutcome(result, ToolResponse{Call: chargeCall, Verdict: Unknown}))
	_, refusal := p.state.Resolve(Resolution{Number: 1, Verdict: Done}, false)
	is.Equal(refusal.Reason, ReasonNoStep)
	event, refusal := p.state.Resolve(Resolution{Number: 2, Verdict: NotRun, By: "operator ana"}, false)
	is.True(refusal == nil)
	p.apply(event)
	_, refusal = p.state.Resolve(Resolution{Number: 2, Verdict: Done}, false)
	is.Equal(refusal.Reason, ReasonResolved)
	_, refusal = p.state.Resolve(Resolution{Number: 2, Verdict: Done, Hash: HashBody([]byte("other"))}, true)
	is.True(refusal != nil) // the sender ran another step under the number
	is.Equal(refusal.Reason, ReasonNoStep)
	event, refusal = p.state.Resolve(Resolution{Number: 2, Verdict: Done, Hash: result.Identity.Hash, Body: []byte("made")}, true)
	is.True(refusal == nil)
	p.apply(event)
	is.Equal(string(p.state.Steps[1].Tool.Body), "made")
}

// A step is resolved by a lookup whose response is too large to record, or by an operator who knows
// only that it ran. Guards against answering a repeat with an empty response as if the tool had
// sent it: the step must be marked BodyDropped, also after a restore from a snapshot.
func TestResolvedStepWithoutResponse(t *testing.T) {
	is := is.New(t)
	for _, body := range [][]byte{make([]byte, MaxBody+1), nil} {
		p := newTestProgram(Bounds{})
		p.apply(RecordIntent(p.nextIdentity(), chargeCall), RecordOutcome(p.nextResult(), ToolResponse{Call: chargeCall, Verdict: Unknown}))
		event, _ := p.state.Resolve(Resolution{Number: 1, Verdict: Done, Status: 200, Body: body}, false)
		p.apply(event)
		is.True(p.state.Steps[0].Tool.BodyDropped)
		folded, err := Fold(p.state.ID, []Event{p.state.Snapshot(p.now)})
		is.NoErr(err)
		is.True(folded.Steps[0].Tool.BodyDropped)
	}
}

// A program with forty searches of 28 KB of query each is taken over. Guards against a snapshot
// that contains every full path and exceeds the size of a log entry: the log refuses it at every
// attempt, and the whole shard is never taken over.
func TestSnapshotShortensLongPaths(t *testing.T) {
	is := is.New(t)
	p := newTestProgram(Bounds{})
	search := ToolCall{Service: "search", Method: "GET", Path: "/?" + strings.Repeat("q", 28<<10)}
	for range 40 {
		p.apply(RecordOutcome(p.nextResult(), ToolResponse{Call: search, Verdict: Done, Status: 200, Body: []byte("trees")}))
	}
	snapshot := p.state.Snapshot(p.now)
	is.True(len(snapshot.Raw) <= maxSnapshot)
	folded, err := Fold(p.state.ID, []Event{snapshot})
	is.NoErr(err)
	is.True(equalStates(folded, p.state))
	is.Equal(p.state.CheckBounds(p.now, nil).Reason, ReasonBounds) // the limit refuses further steps
}

// After a year an account has counted every step and has few buckets for each customer.
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
	is.True(len(account.buckets) < 160) // 48 to 72 hours, 64 days and ten spans of 32 days
}

func BenchmarkFold(b *testing.B) {
	for _, turns := range []int{10, 260} {
		b.Run(fmt.Sprint(turns, "turns"), func(b *testing.B) {
			p := newTestProgram(Bounds{})
			text := string(bytes.Repeat([]byte("word "), 180))
			for range turns {
				p.addTurn(text, text)
			}
			b.ReportAllocs()
			for b.Loop() {
				events := make([]Event, 0, len(p.events))
				for _, e := range p.events {
					read, _ := Decode(e.Raw)
					events = append(events, read)
				}
				if _, err := Fold(p.state.ID, events); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
