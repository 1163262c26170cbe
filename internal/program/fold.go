package program

import (
	"bytes"
	"slices"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/program/programpb"
)

// maxPauses is the number of latest pauses that a program retains.
const maxPauses = 8

// Size limits of a program, in bytes. Tool responses are retained to answer repeats. A caller that
// sends step N+1 has the response to step N, so older responses are needed only by repeats that
// were sent earlier and arrive late.
const (
	// MaxBody is the largest response body that is recorded. Many events share an entry of the
	// log, which holds a megabyte.
	MaxBody = 128 << 10
	// maxRetainedBodies limits the response bodies that a program retains in total.
	maxRetainedBodies = 256 << 10
	// MaxHistory limits the history and the steps without their responses, so that a snapshot
	// fits into one entry of the log. A history of 120,000 tokens at 4.5 bytes takes 540,000.
	MaxHistory = 768 << 10
	// maxSnapshot limits the history, steps and responses in a snapshot. Above it, steps are
	// shortened.
	maxSnapshot = 896 << 10
)

// Errors of Fold and Apply.
var (
	// ErrChain indicates that an event does not follow the state's last one.
	ErrChain = errors.New("program: chain of events is broken")
	// ErrOtherProgram indicates that an event belongs to another program.
	ErrOtherProgram = errors.New("program: event of another program")
)

// Fold rebuilds a program from the events of a log and of held copies, in any order and with
// duplicates. If an event is missing and later ones exist, the state ends before the gap and is
// Broken, and the error is ErrChain: the events after the gap prove that the history before it is
// incomplete.
func Fold(id ID, events []Event) (*State, error) {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, compareSeq)
	s := &State{ID: id}
	start := lastSnapshot(sorted)
	for i, e := range sorted[start:] {
		if err := s.Apply(e); err != nil {
			s.Broken = true
			s.salvageAfterGap(sorted[start+i:])
			return s, err
		}
	}
	return s, nil
}

// salvageAfterGap applies the parts of the events after a gap that don't depend on earlier
// events: the earnings, and whether the program has ended.
func (s *State) salvageAfterGap(events []Event) {
	var last uint64
	for _, e := range events {
		if e.Seq == last {
			continue
		}
		last = e.Seq
		at := time.UnixMilli(e.pb.At)
		s.addEarning(at, e.pb.GetTurn().GetEarning())
		s.addEarning(at, e.pb.GetOutcome().GetEarning())
		s.addEarning(at, e.pb.GetResolved().GetEarning())
		s.mergeBuckets(e.pb.GetAbsorbed().GetBuckets())
		s.Ended = s.Ended || e.pb.GetEnded() != nil
	}
}

// compareSeq orders events by number; a snapshot comes after the event whose number it has.
func compareSeq(a, b Event) int {
	switch {
	case a.Seq < b.Seq:
		return -1
	case a.Seq > b.Seq:
		return 1
	case a.isSnapshot() == b.isSnapshot():
		return 0
	case a.isSnapshot():
		return 1
	}
	return -1
}

func (e Event) isSnapshot() bool { return e.pb.GetSnapshot() != nil }

// lastSnapshot returns the index of the first of the snapshots with the highest number, or 0.
// Several snapshots may have the same number, one for each log that the program was in.
func lastSnapshot(sorted []Event) int {
	start := 0
	for i, e := range sorted {
		if e.isSnapshot() && (!sorted[start].isSnapshot() || sorted[start].Seq < e.Seq) {
			start = i
		}
	}
	return start
}

// Following returns, in order, those of the events that continue the state's chain.
func (s *State) Following(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, compareSeq)
	seq, chain := s.seq, s.chain
	var following []Event
	for _, e := range sorted {
		if !e.isSnapshot() && e.Seq == seq+1 && bytes.Equal(e.pb.Prev, chainBytes(e.Seq, chain)) {
			seq, chain = e.Seq, e.chain
			following = append(following, e)
		}
	}
	return following
}

// Contains reports whether the state covers all the events: each has a lower number than the
// state's last event, or is that event or a snapshot with its number.
func (s *State) Contains(events []Event) bool {
	for _, e := range events {
		if e.Seq > s.seq || e.Seq == s.seq && !e.isSnapshot() && e.chain != s.chain {
			return false
		}
	}
	return true
}

// FromFirst returns, in order, the events that form an unbroken chain from a program's opening.
func FromFirst(events []Event) []Event { return new(State).Following(events) }

// Apply applies the event to the state. An event that was applied before is ignored, since an
// append is repeated if its response is lost.
func (s *State) Apply(e Event) error {
	if snapshot := e.pb.GetSnapshot(); snapshot != nil {
		return s.applySnapshot(e.Seq, snapshot)
	}
	if e.Seq <= s.seq {
		return nil
	}
	if e.Seq != s.seq+1 || !bytes.Equal(e.pb.Prev, chainBytes(e.Seq, s.chain)) {
		return errors.Wrapf(ErrChain, "%s: event %d does not follow event %d", s.ID, e.Seq, s.seq)
	}
	at := time.UnixMilli(e.pb.At)
	if err := s.apply(at, e.pb); err != nil {
		return err
	}
	s.seq, s.chain, s.LastAt = e.Seq, e.chain, at
	if e.pb.GetTurn() != nil {
		s.turn = e.chain
	}
	return nil
}

// applySnapshot replaces the state by a later snapshot. Of two snapshots with the same number, one
// may have been taken before the tail of a log was lost and the other after it, so Uncertain and
// Broken stay set if either has them.
func (s *State) applySnapshot(seq uint64, p *programpb.Snapshot) error {
	switch {
	case seq > s.seq:
		return s.restore(seq, p)
	case seq == s.seq:
		s.Uncertain = s.Uncertain || p.Uncertain
		s.Broken = s.Broken || p.Broken
	}
	return nil
}

func (s *State) apply(at time.Time, pb *programpb.Event) error {
	switch kind := pb.Kind.(type) {
	case *programpb.Event_Opened:
		return s.applyOpened(at, kind.Opened)
	case *programpb.Event_Turn:
		s.applyTurn(at, kind.Turn)
		s.Uncertain = false
	case *programpb.Event_Intent:
		s.applyIntent(at, kind.Intent)
	case *programpb.Event_Outcome:
		return s.applyOutcome(at, kind.Outcome)
	case *programpb.Event_Resolved:
		s.applyResolved(at, kind.Resolved)
	case *programpb.Event_ChildOpened:
		s.Children++
	case *programpb.Event_Absorbed:
		s.mergeBuckets(kind.Absorbed.Buckets)
	case *programpb.Event_EndWanted:
		s.EndRequestedAt = at
	case *programpb.Event_Ended:
		s.Ended = true
	}
	return nil
}

func (s *State) applyOpened(at time.Time, o *programpb.Opened) error {
	if ID(o.Id) != s.ID {
		return errors.Wrapf(ErrOtherProgram, "found %s among the events of %s", o.Id, s.ID)
	}
	s.setOpened(o)
	s.OpenedAt = at
	return nil
}

func (s *State) setOpened(o *programpb.Opened) {
	s.Customer, s.Plan, s.Account = o.Customer, o.Plan, o.Account
	s.Parent, s.Root, s.Depth = ID(o.Parent), ID(o.Root), int(o.Depth)
	s.Bounds = boundsFrom(o.Bounds)
}

func (s *State) applyTurn(at time.Time, t *programpb.Turn) {
	service := time.Duration(t.ServiceMs) * time.Millisecond
	s.recordPause(at.Add(-service))
	s.addHistory(messagesFrom(t.New)...)
	s.addHistory(messageFrom(t.Answer))
	usage := usageFrom(t.Usage)
	s.HistoryTokens = usage.PromptTokens + usage.CompletionTokens
	s.Steps = append(s.Steps, Step{
		Identity: identityFrom(t.Head),
		Verdict:  Done,
		At:       at,
		Model: &ModelStep{
			Message:      len(s.History) - 1,
			Name:         t.Model,
			FinishReason: t.FinishReason,
			Usage:        usage,
			Upstream:     t.Upstream,
		},
	})
	s.completeStep(at, service, t.Earning, t.EndsProgram)
}

// addHistory appends the messages to the history.
func (s *State) addHistory(messages ...chat.Message) {
	s.History = append(s.History, messages...)
	s.historyBytes += messageBytes(messages)
}

// recordPause adds the time between the last model step and start to the pauses.
func (s *State) recordPause(start time.Time) {
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if s.Steps[i].Model == nil {
			continue
		}
		s.Pauses = append(s.Pauses, max(0, start.Sub(s.Steps[i].At)))
		break
	}
	if len(s.Pauses) > maxPauses {
		s.Pauses = slices.Delete(s.Pauses, 0, len(s.Pauses)-maxPauses)
	}
}

func (s *State) applyIntent(at time.Time, i *programpb.Intent) {
	s.Steps = append(s.Steps, Step{
		Identity: identityFrom(i.Head),
		Verdict:  Pending,
		At:       at,
		Tool:     &ToolStep{ToolCall: ToolCall{i.Service, i.Method, i.Path}, Intent: true},
	})
}

func (s *State) applyOutcome(at time.Time, o *programpb.Outcome) error {
	service := time.Duration(o.ServiceMs) * time.Millisecond
	identity := identityFrom(o.Head)
	if o.Verdict == programpb.Verdict_VERDICT_FAILED {
		s.completeStep(at, service, o.Earning, false)
		return nil
	}
	if o.Verdict == programpb.Verdict_VERDICT_NOT_RUN {
		return s.applyNotRun(identity.Number)
	}
	if identity.Number < 1 || identity.Number > s.Next() {
		return errors.Wrapf(ErrCorrupt, "%s: outcome of step %d, but only %d steps are recorded", s.ID, identity.Number, len(s.Steps))
	}
	if identity.Number == s.Next() {
		s.Steps = append(s.Steps, Step{Identity: identity, Tool: &ToolStep{ToolCall: ToolCall{o.Service, o.Method, o.Path}}})
	}
	step := &s.Steps[identity.Number-1]
	step.At = at
	step.Verdict = verdictFrom(o.Verdict)
	step.Tool.Upstream = o.Upstream
	s.retainResponse(step.Tool, int(o.Status), o.ContentType, o.Body, o.BodyDropped)
	s.completeStep(at, service, o.Earning, o.EndsProgram)
	return nil
}

// applyNotRun removes the last step, which must be an intent without an outcome, so that its
// number can be used again.
func (s *State) applyNotRun(number int) error {
	if number < 1 || number != len(s.Steps) || s.Steps[number-1].Verdict != Pending {
		return errors.Wrapf(ErrCorrupt, "%s: step %d is recorded as not run, but is not the last step with a pending intent", s.ID, number)
	}
	s.Steps = s.Steps[:number-1]
	return nil
}

// retainResponse stores a tool's response in its step and drops the oldest bodies while all bodies
// together exceed maxRetainedBodies.
func (s *State) retainResponse(t *ToolStep, status int, contentType string, body []byte, dropped bool) {
	t.Status, t.ContentType, t.Body, t.BodyDropped = status, contentType, body, dropped
	s.bodyBytes += len(body)
	for ; s.bodyBytes > maxRetainedBodies && s.firstRetained < len(s.Steps)-1; s.firstRetained++ {
		old := s.Steps[s.firstRetained].Tool
		if old == nil || old == t || len(old.Body) == 0 {
			continue
		}
		s.bodyBytes -= len(old.Body)
		old.Body, old.BodyDropped = nil, true
	}
}

func (s *State) applyResolved(at time.Time, r *programpb.Resolved) {
	if r.Number < 1 || int(r.Number) > len(s.Steps) {
		return
	}
	step := &s.Steps[r.Number-1]
	step.Verdict = verdictFrom(r.Verdict)
	step.Tool.ResolvedBy, step.Tool.Note = r.By, r.Note
	// A resolved step without a body is one whose response is not known here: it was too large,
	// or an operator reported only that the step ran. Returned as an empty response, it would be
	// taken for the tool's own. A response that was really empty is marked as dropped too; that
	// loses information but is not wrong.
	bodyDropped := step.Verdict == Done && len(r.Body) == 0
	s.retainResponse(step.Tool, int(r.Status), r.ContentType, r.Body, bodyDropped)
	s.addEarning(at, r.Earning)
}

// completeStep records the service time and earning of a step and whether it ends the program.
func (s *State) completeStep(at time.Time, service time.Duration, e *programpb.Earning, ends bool) {
	s.Attained += service
	s.addEarning(at, e)
	if ends {
		s.EndRequestedAt = at
	}
}

func messagesFrom(list []*programpb.Message) []chat.Message {
	converted := make([]chat.Message, 0, len(list))
	for _, m := range list {
		converted = append(converted, messageFrom(m))
	}
	return converted
}
