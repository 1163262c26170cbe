package program

// Attempt is a step as its caller names it. Number 0 asks for the next one.
type Attempt struct {
	Number int
	Key    string
	Hash   [chainSize]byte
	// After is the token of the last turn that the caller has seen; may be empty.
	After string
	// Whole says that the body holds the whole conversation, so that the same
	// body can't be meant twice.
	FullConversation bool
}

// Place says where an attempt stands in its program.
type Position int8

// The places of an attempt.
const (
	// Ready says that it is the program's next step.
	Ready Position = iota
	// Early says that steps before it are missing.
	Early
	// Recorded says that it is a repeat of a step that has its number.
	Recorded
	// Reused says that its number or key belongs to a step with another body.
	Reused
)

// Find says where the attempt stands, and for a recorded one which step it is.
func (s *State) Find(a Attempt) (Position, *Step) {
	if step := s.byKey(a.Key); step != nil {
		return a.compare(step.Head), step
	}
	if n := len(s.Steps); n > 0 && a.Matches(s.Steps[n-1].Head) {
		return a.compare(s.Steps[n-1].Head), &s.Steps[n-1]
	}
	switch {
	case a.Number == 0, a.Number == s.Next():
		return Ready, nil
	case a.Number > s.Next():
		return Early, nil
	}
	step := &s.Steps[a.Number-1]
	return a.compare(step.Head), step
}

func (s *State) byKey(key string) *Step {
	if key == "" {
		return nil
	}
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if s.Steps[i].Head.Key == key {
			return &s.Steps[i]
		}
	}
	return nil
}

// Matches reports whether the attempt names the step that has the head.
func (a Attempt) Matches(h StepIdentity) bool {
	if a.Number == 0 && a.Key == "" {
		return a.FullConversation && a.Hash == h.Hash
	}
	return a.Number != 0 && a.Number == h.Number || a.Key != "" && a.Key == h.Key
}

// Repeats reports whether an attempt that names the step asks for the same
// thing under the same names.
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
