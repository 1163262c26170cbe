package program

import (
	"fmt"
	"slices"
	"time"

	"foxhall/internal/chat"
)

// Reason is the rule by which a program refuses a step.
type Reason int8

// Reasons of a refusal.
const (
	// ReasonEnded means that the program has ended or was asked to end.
	ReasonEnded Reason = iota + 1
	// ReasonBounds means that the request exceeds a limit of the program.
	ReasonBounds
	// ReasonHistoryConflict means that the caller's history differs from the program's.
	ReasonHistoryConflict
	// ReasonHistoryUncertain means that a part of the history is lost or may be lost.
	ReasonHistoryUncertain
	// ReasonResolved means that the step to be resolved has a known outcome.
	ReasonResolved
	// ReasonNoStep means that the program has no such tool step.
	ReasonNoStep
)

// Refusal is the error for a request that a program's rules don't allow.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// bytesPerToken is used to estimate the tokens of messages that no engine has counted yet.
const bytesPerToken = 4

// Merge returns the full list of messages for the next turn and those of them that are new. The
// caller may send only the new messages, or the full list, which must then start with exactly the
// program's history.
func (s *State) Merge(sent []chat.Message) (full, added []chat.Message, refusal *Refusal) {
	if len(s.History) == 0 {
		return sent, sent, nil
	}
	if chat.IsContinuation(sent) {
		return slices.Concat(s.History, sent), sent, nil
	}
	if !chat.HasPrefix(sent, s.History) {
		return nil, nil, refuse(ReasonHistoryConflict,
			"the messages contradict the program's history of %d messages", len(s.History))
	}
	added = sent[len(s.History):]
	return slices.Concat(s.History, added), added, nil
}

// Kind distinguishes model calls and tool calls, and whether a tool call may be repeated.
type Kind int8

// Kinds of steps.
const (
	// ModelKind is a model call.
	ModelKind Kind = iota
	// RepeatableToolKind is a tool call that may be repeated.
	RepeatableToolKind
	// NonRepeatableKind is a tool call that may not be repeated.
	NonRepeatableKind
)

// CheckHistory refuses a step if the history here differs, or may differ, from the one that the
// caller has seen. If the latest turns may be lost (Uncertain), a step must prove that none is:
// by the token of the last turn, or by a full list of messages that starts with the history here
// and continues without a response that is missing here. A step number is weaker proof, since a
// late repeat of a lost turn has the same number, so it suffices only for a tool call that may be
// repeated. A tool call that may not be repeated is refused while the state is Uncertain, since
// its own intent may have been in a corrupt entry of the log.
func (s *State) CheckHistory(a Attempt, sent []chat.Message, k Kind) *Refusal {
	if s.Broken {
		return refuse(ReasonHistoryUncertain, "a part of the program's history is missing; it is not served")
	}
	if a.After != "" && a.After != s.TurnToken() && !s.Uncertain {
		return refuse(ReasonHistoryConflict, "the step follows another turn than the program's last")
	}
	if !s.Uncertain || s.provesHistory(a, sent, k) {
		return nil
	}
	return refuse(ReasonHistoryUncertain,
		"the latest turns may not have been recovered; the next step known here is %d", s.Next())
}

// provesHistory reports whether the step proves that no turn of an Uncertain program is lost; see
// CheckHistory.
func (s *State) provesHistory(a Attempt, sent []chat.Message, k Kind) bool {
	switch {
	case k == NonRepeatableKind:
		return false
	case a.After != "":
		return a.After == s.TurnToken()
	case k == RepeatableToolKind:
		return a.Number == s.Next()
	case len(s.History) == 0 || len(sent) < len(s.History) || !chat.HasPrefix(sent, s.History):
		return false
	}
	return chat.IsContinuation(sent[len(s.History):])
}

// CheckBounds refuses a step that would exceed the program's bounds, and any step of a program
// that has ended.
func (s *State) CheckBounds(now time.Time, added []chat.Message) *Refusal {
	b := s.Bounds
	switch {
	case s.Ended || !s.EndRequestedAt.IsZero():
		return refuse(ReasonEnded, "the program has ended")
	case b.Steps > 0 && len(s.Steps) >= b.Steps:
		return refuse(ReasonBounds, "the plan allows %d steps", b.Steps)
	case b.Lifetime > 0 && now.Sub(s.OpenedAt) > b.Lifetime:
		return refuse(ReasonBounds, "the plan allows a lifetime of %s", b.Lifetime)
	case b.HistoryTokens > 0 && s.HistoryTokens+estimateTokens(added) > b.HistoryTokens:
		return refuse(ReasonBounds, "the plan allows a history of %d tokens", b.HistoryTokens)
	case s.historyBytes+s.stepBytes()+messageBytes(added) > MaxHistory:
		return refuse(ReasonBounds, "a history and its steps hold %d bytes", MaxHistory)
	}
	return nil
}

// CheckChild refuses another sub-agent that would exceed the program's bounds; unrecorded is the
// number of sub-agents that no event counts yet.
func (s *State) CheckChild(now time.Time, unrecorded int) *Refusal {
	switch {
	case s.Ended || !s.EndRequestedAt.IsZero():
		return refuse(ReasonEnded, "the parent program has ended")
	case s.Bounds.Depth > 0 && s.Depth+1 > s.Bounds.Depth:
		return refuse(ReasonBounds, "the plan allows a depth of %d", s.Bounds.Depth)
	case s.Bounds.Children > 0 && s.Children+unrecorded >= s.Bounds.Children:
		return refuse(ReasonBounds, "the plan allows %d children", s.Bounds.Children)
	case s.Bounds.Lifetime > 0 && now.Sub(s.OpenedAt) > s.Bounds.Lifetime:
		return refuse(ReasonBounds, "the plan allows a lifetime of %s", s.Bounds.Lifetime)
	}
	return nil
}

// estimateTokens estimates the tokens of the messages from their size.
func estimateTokens(messages []chat.Message) int { return messageBytes(messages) / bytesPerToken }

// messageBytes returns the size of the messages' encodings in bytes.
func messageBytes(messages []chat.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Raw)
	}
	return n
}
