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

// Answer is what an instance knows of a stream.
type Answer struct {
	Key Key
	// Known is set if the instance has a record, Conflict if it has contradicting ones. Version is that of the
	// record; the other fields are set only without one.
	Known, Conflict bool
	Version         string
	// Only is set if the instance has seen no version but Version within the life of the stream, as far as it
	// goes back, and Vouches if it goes back that far, by a view that is not old.
	Only, Vouches bool
	// Listened is set if the instance would have received the record of a stream that began at a version which
	// views that are not old may lack.
	Listened bool
}

// minAgreeing is the number of instances that must vouch for a version, and of holders that must know of no
// record, if there are as many. Holders are in different data centres, so that one that is cut off doesn't
// decide alone.
const minAgreeing = 2

// decide returns the resolution by the answers of the holders so far. own is what this instance knows itself;
// isHolder is set if it is among the answers, too.
func decide(answers []Answer, holders int, own Answer, isHolder bool) Resolution {
	result := Resolution{Source: Unknown, Answers: len(answers)}
	instances, vouching, listened, agree := holders, 0, 0, own.Only
	if !isHolder {
		instances++
		vouching += count(own.Vouches)
	}
	for i := range answers {
		a := &answers[i]
		if a.Conflict || a.Known && result.Source == Told && result.Version != a.Version {
			return Resolution{Source: Contradicted, Answers: len(answers)}
		}
		if a.Known {
			result.Source, result.Version = Told, a.Version
			continue
		}
		agree = agree && a.Only && a.Version == own.Version
		vouching += count(a.Vouches)
		listened += count(a.Listened)
	}
	switch {
	case result.Source == Told:
	case agree && vouching >= min(minAgreeing, instances) && listened >= min(minAgreeing, holders):
		result.Source, result.Version = Sole, own.Version
	case len(answers) < min(minAgreeing, holders):
		result.Source = Unanswered
	}
	return result
}

func count(ok bool) int {
	if ok {
		return 1
	}
	return 0
}
