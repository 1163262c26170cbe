package program

import (
	"encoding/hex"
	"time"

	"foxhall/internal/chat"
)

// Bounds limit one program; they are fixed when it is opened. Zero means no bound.
type Bounds struct {
	Steps         int
	Depth         int
	Children      int
	Lifetime      time.Duration
	HistoryTokens int
}

// Verdict is what is known of a step.
type Verdict int8

// The verdicts on a step.
const (
	// Pending is an intent without an outcome.
	Pending Verdict = iota
	// Done says that the step ran and its answer is recorded.
	Done
	// NotRun says that the step was resolved as not run.
	NotRun
	// Unknown says that the step may have run.
	Unknown
)

// Head identifies a step towards its caller.
type StepIdentity struct {
	Number int
	Key    string
	Hash   [chainSize]byte
}

// ToolCall names what a tool step called.
type ToolCall struct {
	Service string
	Method  string
	Path    string
}

// Step is a step that has taken its number.
type Step struct {
	Head    StepIdentity
	Verdict Verdict
	// Tool is nil for a model step.
	Tool *ToolStep
	// Model is nil for a tool step.
	Model *ModelStep
	At    time.Time
}

// ToolStep is what is kept of a tool step.
type ToolStep struct {
	ToolCall
	// Intent says that the call may not be repeated.
	Intent      bool
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped says that the answer was too large or is too old to be kept, or
	// that the step was settled without it.
	BodyDropped bool
	Upstream    string
	ResolvedBy  string
	Note        string
}

// ModelStep is what is kept of a model step; its answer is in the history.
type ModelStep struct {
	Message      int
	Name         string
	FinishReason string
	Usage        chat.Usage
	Upstream     string
}

// Earning is what one placed step brought, in micros.
type Earning struct {
	Price int64
	Cut   int64
}

// State is a program as its events tell it. It is not safe for concurrent use.
type State struct {
	ID       ID
	Customer string
	Plan     string
	Parent   ID
	// Root is the program that the customer started; itself where there is no parent.
	Root     ID
	Depth    int
	Bounds   Bounds
	OpenedAt time.Time
	// Account marks the earnings of ended programs, which is no program.
	Account bool

	// History holds the messages of all turns.
	History       []chat.Message
	HistoryTokens int
	// Steps[i] is the step with the number i+1.
	Steps    []Step
	Children int
	// Attained is the time that upstreams have worked for the program.
	Attained time.Duration
	// Pauses are the latest times between a turn's end and the next turn's start.
	Pauses []time.Duration
	// LastAt is the time of the last event.
	LastAt time.Time
	// EndWantedAt is when the caller said that it needs the program no longer; zero before.
	EndRequestedAt time.Time
	Ended          bool
	// Uncertain says that events after the last one here may have been lost.
	Uncertain bool
	// Broken says that an event in the middle is missing; the history is never served again.
	Broken bool

	buckets       []Bucket
	bucketIndex   map[bucketKey]int
	seq           uint64
	chain         Chain
	turn          Chain
	historyBytes  int
	bodyBytes     int
	firstRetained int
}

// Seq returns the number of the last event.
func (s *State) Seq() uint64 { return s.seq }

// Next returns the number of the next step.
func (s *State) Next() int { return len(s.Steps) + 1 }

// TurnToken names the last turn and, through its chain value, all before it. A
// caller that sends it back proves which history it has seen. It is empty
// before the first turn.
func (s *State) TurnToken() string {
	if len(s.History) == 0 {
		return ""
	}
	return hex.EncodeToString(s.turn[:])
}

// Unresolved returns the number of steps whose outcome is not known.
func (s *State) Unresolved() int {
	n := 0
	for i := range s.Steps {
		if v := s.Steps[i].Verdict; v == Unknown || v == Pending {
			n++
		}
	}
	return n
}

// HasOpenWork reports whether the program was left where something remains to
// be done: a step without a known outcome, an answer that asks for a tool, or
// a tool's answer that its model has not seen.
func (s *State) HasOpenWork() bool {
	if s.Broken || s.Unresolved() > 0 {
		return true
	}
	if len(s.Steps) == 0 || !s.EndRequestedAt.IsZero() {
		return false
	}
	last := &s.Steps[len(s.Steps)-1]
	if last.Tool != nil {
		return len(s.History) > 0
	}
	return chat.AsksTool(s.History[last.Model.Message])
}
