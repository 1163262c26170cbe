package program

import (
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/program/programpb"
)

// Opening holds the parameters with which a program or an account is opened.
type Opening struct {
	ID       ID
	Customer string
	Plan     string
	// Parent is nil for a program that the customer started.
	Parent *State
	Bounds Bounds
	// Account marks an account of earnings, which has no steps.
	Account bool
}

// Open returns the event that starts a program or an account.
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

// OpenChild returns the event that adds a sub-agent to the program.
func OpenChild(child ID) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_ChildOpened{
		ChildOpened: &programpb.ChildOpened{Child: string(child)},
	}}
}

// RecordIntent returns the event that is logged before a call that may not be repeated is sent.
func RecordIntent(h StepIdentity, call ToolCall) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Intent{Intent: &programpb.Intent{
		Head:    identityTo(h),
		Service: call.Service,
		Method:  call.Method,
		Path:    call.Path,
	}}}
}

// StepResult is the result of a placed step, apart from the upstream's response.
type StepResult struct {
	Identity    StepIdentity
	Upstream    string
	ServiceTime time.Duration
	Earning     Earning
	EndsProgram bool
}

// Turn is a model's response together with the messages that it responds to.
type Turn struct {
	// Added are the messages that the caller appended to the history.
	Added        []chat.Message
	Message      chat.Message
	Model        string
	FinishReason string
	Usage        chat.Usage
}

// RecordTurn returns the event that completes a model step.
func RecordTurn(r StepResult, t Turn) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Turn{Turn: &programpb.Turn{
		Head:         identityTo(r.Identity),
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

// ToolResponse is a tool's response and the verdict on its step.
type ToolResponse struct {
	Call        ToolCall
	Verdict     Verdict
	Status      int
	ContentType string
	Body        []byte
}

// RecordOutcome returns the event that records the outcome of a tool step. The verdict NotRun
// withdraws the step's intent. A body larger than MaxBody is not recorded.
func RecordOutcome(r StepResult, t ToolResponse) *programpb.Event {
	outcome := &programpb.Outcome{
		Head:        identityTo(r.Identity),
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

// RecordFailure returns the event for a placed, repeatable step that ended without a response: its
// cost is counted, and its number is not used up.
func RecordFailure(r StepResult) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Outcome{Outcome: &programpb.Outcome{
		Head:      identityTo(r.Identity),
		Verdict:   programpb.Verdict_VERDICT_FAILED,
		Upstream:  r.Upstream,
		Earning:   earningTo(r.Earning),
		ServiceMs: r.ServiceTime.Milliseconds(),
	}}}
}

// Resolution is the outcome of a step that was recorded as unknown.
type Resolution struct {
	Number int
	// Hash is the one in the step's Identity; set if the step's sender reports the outcome.
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

// Resolve returns the event that resolves an unknown step. The instance that sent the step has
// seen the response and may also correct an operator who resolved the step as not run. A report
// by the sender whose hash differs from the recorded step's is refused. Otherwise, if a former
// owner ran one step while its successor gave the number to another, the caller of the second
// step would get the response to the first. The hash covers the whole call.
func (s *State) Resolve(r Resolution, bySender bool) (*programpb.Event, *Refusal) {
	if r.Number < 1 || r.Number > len(s.Steps) || s.Steps[r.Number-1].Tool == nil {
		return nil, refuse(ReasonNoStep, "the program has no tool step %d", r.Number)
	}
	step := &s.Steps[r.Number-1]
	if bySender && r.Hash != step.Identity.Hash {
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

// ResolutionsFrom returns resolutions for the steps that are unknown here and recorded as done in the
// events of a former owner.
func (s *State) ResolutionsFrom(events []Event) []Resolution {
	var resolutions []Resolution
	for _, e := range events {
		o := e.pb.GetOutcome()
		identity := identityFrom(o.GetHead())
		if o.GetVerdict() != programpb.Verdict_VERDICT_DONE || identity.Number < 1 || identity.Number > len(s.Steps) {
			continue
		}
		step := &s.Steps[identity.Number-1]
		if step.Verdict != Unknown || step.Identity.Hash != identity.Hash {
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

// MarkPendingUnknown returns the event by which a successor marks an intent without an outcome as
// unknown, since the step may have been sent. It returns nil if there is no such intent.
func (s *State) MarkPendingUnknown() *programpb.Event {
	if len(s.Steps) == 0 {
		return nil
	}
	last := &s.Steps[len(s.Steps)-1]
	if last.Verdict != Pending {
		return nil
	}
	return RecordOutcome(StepResult{Identity: last.Identity}, ToolResponse{Call: last.Tool.ToolCall, Verdict: Unknown})
}

// RequestEnd returns the event that records the caller's request to end the program.
func RequestEnd() *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_EndWanted{EndWanted: &programpb.EndWanted{}}}
}

// End returns the event that ends the program and removes it from the log.
func End(reason string) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Ended{Ended: &programpb.Ended{Reason: reason}}}
}

// MergeEarnings returns the event by which an account takes over the earnings of a program or of
// another account that ends in the same append.
func MergeEarnings(from *State) *programpb.Event {
	return &programpb.Event{Kind: &programpb.Event_Absorbed{Absorbed: &programpb.Absorbed{
		From:    string(from.ID),
		Buckets: bucketsTo(from.buckets),
	}}}
}
