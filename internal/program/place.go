package program

// Attempt identifies a step as its caller does. Number 0 means the program's next step.
type Attempt struct {
	Number int
	// Key is the idempotency key; may be empty.
	Key  string
	Hash [chainSize]byte
	// After is the token of the last turn that the caller has seen; may be empty.
	After string
	// FullConversation reports whether the body holds the full conversation. A second call with
	// the same body is then a repeat and not a new step.
	FullConversation bool
}

// Position is the position of an attempt among the steps of its program.
type Position int8

// Positions of an attempt.
const (
	// Ready means that the attempt is the program's next step.
	Ready Position = iota
	// Early means that steps before the attempt are missing.
	Early
	// Recorded means that the attempt repeats a step that is recorded.
	Recorded
	// Reused means that the attempt's number or key belongs to a step with another body, or that
	// they belong to different steps.
	Reused
)

// Find returns the position of the attempt, and the recorded step if its number, key or body
// matches one.
func (s *State) Find(a Attempt) (Position, *Step) {
	if step := s.byKey(a.Key); step != nil {
		return a.compare(step.Identity), step
	}
	if n := len(s.Steps); n > 0 && a.Matches(s.Steps[n-1].Identity) {
		return a.compare(s.Steps[n-1].Identity), &s.Steps[n-1]
	}
	switch {
	case a.Number == 0, a.Number == s.Next():
		return Ready, nil
	case a.Number > s.Next():
		return Early, nil
	}
	step := &s.Steps[a.Number-1]
	return a.compare(step.Identity), step
}

func (s *State) byKey(key string) *Step {
	if key == "" {
		return nil
	}
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if s.Steps[i].Identity.Key == key {
			return &s.Steps[i]
		}
	}
	return nil
}

// Matches reports whether the attempt names the step with the identity h, by number, by key or, if
// it has neither, by the body of a full conversation.
func (a Attempt) Matches(h StepIdentity) bool {
	if a.Number == 0 && a.Key == "" {
		return a.FullConversation && a.Hash == h.Hash
	}
	return a.Number != 0 && a.Number == h.Number || a.Key != "" && a.Key == h.Key
}

// Repeats reports whether an attempt that matches the step has the same body and no other number
// or key.
func (a Attempt) Repeats(h StepIdentity) bool { return a.compare(h) == Recorded }

func (a Attempt) compare(h StepIdentity) Position {
	switch {
	case a.Hash != h.Hash:
		return Reused
	case a.Number != 0 && a.Number != h.Number:
		return Reused
	case a.Key != "" && h.Key != "" && a.Key != h.Key:
		return Reused
	}
	return Recorded
}
