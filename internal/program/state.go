package program

import (
	"encoding/hex"
	"time"

	"foxhall/internal/chat"
)

// Bounds limits one program; it is fixed when the program is opened. Zero means no limit.
type Bounds struct {
	Steps         int
	Depth         int
	Children      int
	Lifetime      time.Duration
	HistoryTokens int
}

// Verdict is the state of a step.
type Verdict int8

// Verdicts on a step.
const (
	// Pending means that the step has an intent but no outcome.
	Pending Verdict = iota
	// Done means that the step ran. Its response is recorded unless BodyDropped is set.
	Done
	// NotRun means that the step was resolved as not run.
	NotRun
	// Unknown means that the step may have run.
	Unknown
)

// StepIdentity identifies a step to its caller: by number, by idempotency key and by the hash of
// the call.
type StepIdentity struct {
	Number int
	Key    string
	Hash   [chainSize]byte
}

// ToolCall is the target of a tool step's call.
type ToolCall struct {
	Service string
	Method  string
	Path    string
}

// Step is a step that has a number in its program.
type Step struct {
	Identity StepIdentity
	Verdict  Verdict
	// Tool is nil for a model step.
	Tool *ToolStep
	// Model is nil for a tool step.
	Model *ModelStep
	At    time.Time
}

// ToolStep is the record of a tool step.
type ToolStep struct {
	ToolCall
	// Intent reports whether an intent was recorded first, which means that the call may not be
	// repeated.
	Intent      bool
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped reports whether the response is not recorded: it was too large, is too old to
	// be retained, or the step was resolved without it.
	BodyDropped bool
	Upstream    string
	// ResolvedBy is Resolution.By if the step was resolved, else empty.
	ResolvedBy string
	Note       string
}

// ModelStep is the record of a model step.
type ModelStep struct {
	// Message is the index of the response in State.History.
	Message      int
	Name         string
	FinishReason string
	Usage        chat.Usage
	Upstream     string
}

// Earning is the revenue from one placed step, in micros.
type Earning struct {
	// Price is what the customer pays.
	Price int64
	// Cut is foxhall's share of the price.
	Cut int64
}

// State is the state of a program, built from its events. It is not safe for concurrent use.
type State struct {
	ID       ID
	Customer string
	Plan     string
	Parent   ID
	// Root is the program that the customer started; it is ID if there is no parent.
	Root ID
	// Depth is the number of ancestors.
	Depth    int
	Bounds   Bounds
	OpenedAt time.Time
	// Account marks an account, which is not a program but sums the earnings of ended programs.
	Account bool

	// History holds the messages of all turns.
	History       []chat.Message
	HistoryTokens int
	// Steps[i] is the step with the number i+1.
	Steps []Step
	// Children is the number of sub-agents that were opened.
	Children int
	// Attained is the service time that upstreams have spent on the program.
	Attained time.Duration
	// Pauses are the latest durations from the end of a turn to the start of the next, at most
	// maxPauses, oldest first.
	Pauses []time.Duration
	// LastAt is the time of the last event.
	LastAt time.Time
	// EndRequestedAt is when the caller asked to end the program; zero before.
	EndRequestedAt time.Time
	Ended          bool
	// Uncertain reports whether events after the last one here may have been lost.
	Uncertain bool
	// Broken reports whether an event is missing before later ones. The program then takes no
	// steps any more.
	Broken bool

	buckets []Bucket
	// bucketIndex is nil until there are more than maxScannedBuckets.
	bucketIndex map[bucketKey]int
	// seq and chain are those of the last event.
	seq   uint64
	chain Chain
	// turn is the chain value of the last turn.
	turn         Chain
	historyBytes int
	// bodyBytes is the size of all response bodies that are retained.
	bodyBytes int
	// firstRetained is the index of the first step whose body may be retained.
	firstRetained int
}

// Seq returns the number of the last event that was applied.
func (s *State) Seq() uint64 { return s.seq }

// Next returns the number of the next step.
func (s *State) Next() int { return len(s.Steps) + 1 }

// TurnToken returns a token for the last turn and, through its chain value, all turns before it. A
// caller that sends it back proves which history it has seen. It is empty before the first turn.
func (s *State) TurnToken() string {
	if len(s.History) == 0 {
		return ""
	}
	return hex.EncodeToString(s.turn[:])
}

// Unresolved returns the number of steps without a known outcome.
func (s *State) Unresolved() int {
	n := 0
	for i := range s.Steps {
		if v := s.Steps[i].Verdict; v == Unknown || v == Pending {
			n++
		}
	}
	return n
}

// HasOpenWork reports whether something remains to be done in the program: a step has no known
// outcome, the last response of the model asks for a tool, or the model has not seen the last
// response of a tool. It is also true for a program that is Broken.
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
	return chat.HasToolCalls(s.History[last.Model.Message])
}
