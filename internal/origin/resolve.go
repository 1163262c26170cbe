package origin

// Source is where the version of a stream was found.
type Source uint8

// The sources.
const (
	// Unknown: nobody told the version, and several may have begun the stream.
	Unknown Source = iota
	// Unanswered: too few of the instances that would know have answered.
	Unanswered
	// Contradicted: records name different versions.
	Contradicted
	// Own: this instance has the record.
	Own
	// Told: another instance has the record.
	Told
	// Sole: only one version has served since the stream can have begun.
	Sole
)

// String returns the source's name in log lines and counters.
func (s Source) String() string {
	return [...]string{"unknown", "unanswered", "contradicted", "own", "told", "sole"}[s]
}

// Resolution is the version at which a stream goes on, if Found.
type Resolution struct {
	Source  Source
	Version string
	// Answers is the number of instances that answered.
	Answers int
}

// Found reports whether the version is known.
func (r Resolution) Found() bool { return r.Source >= Own }

// Answer is what another instance knows of a stream.
type Answer struct {
	Key Key
	// Known is set if the instance has a record, Conflict if it has contradicting ones.
	Known, Conflict bool
	// Vouches is set if it has none, would have received one, and has seen no version but Version for the
	// whole life of the stream.
	Vouches bool
	Version string
}

// minVouching is the number of instances that must vouch for a version, if the stream has as many holders.
// They are in different data centres, so that one that is cut off doesn't decide alone.
const minVouching = 2

// decide returns the resolution by the answers of the holders so far. only is the only version that this
// instance has seen; onlyOK is set if there is just one. Without a record, the resolution is final only once
// all holders have answered or no more answers are awaited.
func decide(answers []Answer, holders int, only string, onlyOK bool) Resolution {
	result := Resolution{Source: Unknown, Answers: len(answers)}
	vouching := 0
	for i := range answers {
		switch a := &answers[i]; {
		case a.Conflict, a.Known && result.Source == Told && result.Version != a.Version:
			return Resolution{Source: Contradicted, Answers: len(answers)}
		case a.Known:
			result.Source, result.Version = Told, a.Version
		case a.Vouches && onlyOK && a.Version == only:
			vouching++
		}
	}
	needed := min(minVouching, holders)
	switch {
	case result.Source == Told:
	case holders > 0 && vouching == len(answers) && vouching >= needed:
		result.Source, result.Version = Sole, only
	case len(answers) < needed:
		result.Source = Unanswered
	}
	return result
}
