package program

import (
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/program/programpb"
)

// Opening is what a program or an account is opened with.
type Opening struct {
	ID       ID
	Customer string
	Plan     string
	// Parent is nil for a program that the customer started.
	Parent  *State
	Bounds  Bounds
	Account bool
}

// Open decides that a program starts.
func Open(o Opening) *programpb.Event {
	opened := &programpb.Opened{
		Id:       string(o.ID),
		Customer: o.Customer,
		Plan:     o.Plan,
		Root:     string(o.ID),
		Bounds:   boundsTo(o.Bounds),
		Account:  o.Account,
	}
	if o.Parent != nil {
		opened.Parent = string(o.Parent.ID)
		opened.Root = string(o.Parent.Root)
		opened.Depth = int32(o.Parent.Depth + 1)
	}
	return &programpb.Event{Kind: &programpb.Event_Opened{Opened: opened}}
}

// OpenChild decides that the program has one more sub-agent.
func OpenChild(child ID) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_ChildOpened{
		ChildOpened: &programpb.ChildOpened{Child: string(child)},
	}}
}

// Intend decides that a call which may not be repeated is sent.
func RecordIntent(h StepIdentity, call ToolCall) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Intent{Intent: &programpb.Intent{
		Head:    identityTo(h),
		Service: call.Service,
		Method:  call.Method,
		Path:    call.Path,
	}}}
}

// Answer is what a placed step came to.
type StepResult struct {
	Head        StepIdentity
	Upstream    string
	ServiceTime time.Duration
	Earning     Earning
	EndsProgram bool
}

// Turn is the model's part of an answer.
type Turn struct {
	Added        []chat.Message
	Message      chat.Message
	Model        string
	FinishReason string
	Usage        chat.Usage
}

// TakeTurn decides that a model step is answered.
func RecordTurn(r StepResult, t Turn) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Turn{Turn: &programpb.Turn{
		Head:         identityTo(r.Head),
		New:          messagesTo(t.Added),
		Answer:       messageTo(t.Message),
		Model:        t.Model,
		FinishReason: t.FinishReason,
		Usage:        usageTo(t.Usage),
		Upstream:     r.Upstream,
		Earning:      earningTo(r.Earning),
		EndsProgram:  r.EndsProgram,
		ServiceMs:    r.ServiceTime.Milliseconds(),
	}}}
}

// ToolAnswer is the tool's part of an answer.
type ToolAnswer struct {
	Call        ToolCall
	Verdict     Verdict
	Status      int
	ContentType string
	Body        []byte
}

// TakeOutcome decides what became of a tool step. NotRun takes the step's
// intent back.
func RecordOutcome(r StepResult, t ToolAnswer) *programpb.Event {
	outcome := &programpb.Outcome{
		Head:        identityTo(r.Head),
		Verdict:     verdictTo(t.Verdict),
		Status:      int32(t.Status),
		ContentType: t.ContentType,
		Body:        t.Body,
		Upstream:    r.Upstream,
		Earning:     earningTo(r.Earning),
		EndsProgram: r.EndsProgram,
		Service:     t.Call.Service,
		Method:      t.Call.Method,
		Path:        t.Call.Path,
		ServiceMs:   r.ServiceTime.Milliseconds(),
	}
	if len(t.Body) > MaxBody {
		outcome.Body, outcome.BodyDropped = nil, true
	}
	return &programpb.Event{Kind: &programpb.Event_Outcome{Outcome: outcome}}
}

// Fail decides that a placed step which may be repeated ended without an
// answer; what it cost is counted, its number is still to be run.
func Fail(r StepResult) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Outcome{Outcome: &programpb.Outcome{
		Head:      identityTo(r.Head),
		Verdict:   programpb.Verdict_VERDICT_FAILED,
		Upstream:  r.Upstream,
		Earning:   earningTo(r.Earning),
		ServiceMs: r.ServiceTime.Milliseconds(),
	}}}
}

// Resolution settles a step whose outcome was unknown.
type Resolution struct {
	Number int
	// Hash is that of the step's Head, where the sender settles it.
	Hash        [chainSize]byte
	Verdict     Verdict
	Status      int
	ContentType string
	Body        []byte
	// By is "lookup", "sender" or the operator's name.
	By      string
	Note    string
	Earning Earning
}

// Resolve decides that an unknown step is settled. Its sender, who saw the
// answer, may also correct what an operator resolved. A sender's word on a step
// with another content is refused: the failure is a former owner that ran one
// step while its successor gave the number to another, whose caller would get
// the foreign answer. The hash covers the whole call, so it is enough.
func (s *State) Resolve(r Resolution, bySender bool) (*programpb.Event, *Refusal) {
	if r.Number < 1 || r.Number > len(s.Steps) || s.Steps[r.Number-1].Tool == nil {
		return nil, refuse(ReasonNoStep, "the program has no tool step %d", r.Number)
	}
	step := &s.Steps[r.Number-1]
	if bySender && r.Hash != step.Head.Hash {
		return nil, refuse(ReasonNoStep, "the sender's step %d is another one", r.Number)
	}
	corrects := bySender && step.Verdict == NotRun && r.Verdict == Done
	if step.Verdict != Unknown && !corrects {
		return nil, refuse(ReasonResolved, "the outcome of step %d is known", r.Number)
	}
	resolved := &programpb.Resolved{
		Number:      int32(r.Number),
		Verdict:     verdictTo(r.Verdict),
		Status:      int32(r.Status),
		ContentType: r.ContentType,
		Body:        r.Body,
		By:          r.By,
		Note:        r.Note,
		Earning:     earningTo(r.Earning),
	}
	if len(r.Body) > MaxBody {
		resolved.Body = nil
	}
	return &programpb.Event{Kind: &programpb.Event_Resolved{Resolved: resolved}}, nil
}

// SettledBy returns what a former owner's events tell of steps that are
// unknown here.
func (s *State) SettledBy(events []Event) []Resolution {
	var resolutions []Resolution
	for _, e := range events {
		o := e.pb.GetOutcome()
		identity := identityFrom(o.GetHead())
		if o.GetVerdict() != programpb.Verdict_VERDICT_DONE || identity.Number < 1 || identity.Number > len(s.Steps) {
			continue
		}
		step := &s.Steps[identity.Number-1]
		if step.Verdict != Unknown || step.Head.Hash != identity.Hash {
			continue
		}
		resolutions = append(resolutions, Resolution{
			Number:      identity.Number,
			Hash:        identity.Hash,
			Verdict:     Done,
			Status:      int(o.Status),
			ContentType: o.ContentType,
			Body:        o.Body,
			Earning:     Earning{Price: o.GetEarning().GetPrice(), Cut: o.GetEarning().GetCut()},
		})
	}
	return resolutions
}

// Recover decides what a successor makes of an intent without an outcome: it
// is unknown, since the step may have been sent. It returns nil where none is.
func (s *State) Recover() *programpb.Event {
	if len(s.Steps) == 0 {
		return nil
	}
	last := &s.Steps[len(s.Steps)-1]
	if last.Verdict != Pending {
		return nil
	}
	return RecordOutcome(StepResult{Head: last.Head}, ToolAnswer{Call: last.Tool.ToolCall, Verdict: Unknown})
}

// WantEnd decides that the caller needs the program no longer.
func RequestEnd() *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_EndWanted{EndWanted: &programpb.EndWanted{}}}
}

// End decides that the program is over and drops it from the log.
func End(reason string) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Ended{Ended: &programpb.Ended{Reason: reason}}}
}

// Absorb decides that an account takes over the earnings of a program or of
// another account that ends with the same append.
func MergeEarnings(from *State) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Absorbed{Absorbed: &programpb.Absorbed{
		From:    string(from.ID),
		Buckets: bucketsTo(from.buckets),
	}}}
}
