package program

import (
	"fmt"
	"slices"
	"time"

	"foxhall/internal/chat"
)

// Reason names why a program's rules refuse a step.
type Reason int8

// The reasons of a refusal.
const (
	ReasonEnded Reason = iota + 1
	ReasonBounds
	ReasonHistoryConflict
	ReasonHistoryUncertain
	ReasonResolved
	ReasonNoStep
)

// Refusal says that a program's rules do not allow what was asked.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// bytesPerToken estimates the tokens of messages that no engine has counted yet.
const bytesPerToken = 4

// Merge returns the whole list of messages for the next turn and those of them
// that are new. The caller may send only the new ones, or the whole list,
// which must then start with the history exactly.
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

// Kind tells how a step may be treated.
type Kind int8

// The kinds of step.
const (
	// ModelKind is a model call.
	ModelKind Kind = iota
	// RepeatableKind is a tool call that may be repeated.
	RepeatableKind
	// OnceKind is a tool call that may not.
	OnceKind
)

// CheckWhole refuses a step where the history here is not the one that the
// caller has seen, or may not be. In a program whose latest turns may be lost
// a step must prove that none is: by the token of the last turn, or by a whole
// list that ends in no answer that is missing here. A step number proves less,
// since a late repeat of a lost turn carries it too, so it is enough only for a
// tool call that may be repeated. One that may not is refused while there is
// any doubt: its own intent may have been in an entry that is corrupt.
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

func (s *State) provesHistory(a Attempt, sent []chat.Message, k Kind) bool {
	switch {
	case k == OnceKind:
		return false
	case a.After != "":
		return a.After == s.TurnToken()
	case k == RepeatableKind:
		return a.Number == s.Next()
	case len(s.History) == 0 || len(sent) < len(s.History) || !chat.HasPrefix(sent, s.History):
		return false
	}
	return chat.IsContinuation(sent[len(s.History):])
}

// CheckBounds refuses a step beyond what the program may grow to.
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

// CheckChild refuses one more sub-agent of the program beyond its bounds;
// unrecorded is the number of those that no event counts yet.
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

func estimateTokens(messages []chat.Message) int { return messageBytes(messages) / bytesPerToken }

func messageBytes(messages []chat.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Raw)
	}
	return n
}
