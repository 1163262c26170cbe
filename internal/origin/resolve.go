package origin

import (
	"net/netip"
	"slices"
)

// Source is where the version of a stream was found.
type Source uint8

// The sources.
const (
	// Unknown: nobody told the version, and several may have begun the stream.
	Unknown Source = iota
	// Unanswered: too few of the instances that would know have answered, or they did before a version came.
	Unanswered
	// Unproven: the view of this instance is older than the question, and the store did not renew it.
	Unproven
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
	return [...]string{"unknown", "unanswered", "unproven", "contradicted", "own", "told", "sole"}[s]
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
	// Covers is set if the instance has seen all of the stream's life, without a gap and by reads of the store, up to
	// the time from which on the one that asks has.
	Covers bool
	// Current is set in the own answer of the instance that asks if its view is newer than the question.
	Current bool
}

// minAgreeing is the number of failure domains in which instances must vouch for a version, and of those in which
// holders must know of no record, if there are as many: a domain that is cut off doesn't decide alone.
const minAgreeing = 2

// count returns the number of holders.
func (h *Holders) count() int {
	if h.Self {
		return len(h.Others) + 1
	}
	return len(h.Others)
}

// domains are the failure domains of instances.
type domains []string

func (d *domains) add(domain string, ok bool) {
	if ok && !slices.Contains(*d, domain) {
		*d = append(*d, domain)
	}
}

// decide returns the resolution by the answers of the holders so far. own is what this instance knows itself,
// which is also the answer at the zero address if it is a holder.
func decide(holders Holders, answers map[netip.AddrPort]Answer, own Answer) Resolution {
	result := Resolution{Source: Unknown, Answers: len(answers)}
	tally := newTally(holders, own)
	for _, holder := range holders.all() {
		a, answered := answers[holder.Address]
		switch {
		case !answered:
		case a.Conflict || a.Known && result.Source == Told && result.Version != a.Version:
			return Resolution{Source: Contradicted, Answers: len(answers)}
		case a.Known:
			result.Source, result.Version = Told, a.Version
		default:
			tally.add(holder.Domain, a, own)
		}
	}
	switch {
	case result.Source == Told:
	case tally.showsSole():
		result.Source, result.Version = Sole, own.Version
		if !tally.covered || !own.Current {
			result.Source, result.Version = Unproven, ""
		}
	case len(answers) < min(minAgreeing, holders.count()):
		result.Source = Unanswered
	}
	return result
}

// all returns all holders, this instance with the zero address.
func (h *Holders) all() []Holder {
	if !h.Self {
		return h.Others
	}
	return append(slices.Clone(h.Others), Holder{Domain: h.Domain})
}

// tally collects the failure domains of the instances that know no record of a stream.
type tally struct {
	// holders are the domains of all holders, instances those of the instances that may vouch.
	holders, instances domains
	vouching, listened domains
	// agree is set while no instance has seen another version than this one.
	agree bool
	// covered is set once an instance has seen the time that this one has not.
	covered bool
}

func newTally(holders Holders, own Answer) *tally {
	t := &tally{agree: own.Only, covered: own.Covers}
	for _, h := range holders.all() {
		t.holders.add(h.Domain, true)
		t.instances.add(h.Domain, true)
	}
	if !holders.Self {
		t.instances.add(holders.Domain, true)
		t.vouching.add(holders.Domain, own.Vouches)
	}
	return t
}

func (t *tally) add(domain string, a, own Answer) {
	t.covered = t.covered || a.Covers
	t.agree = t.agree && a.Only && a.Version == own.Version
	t.vouching.add(domain, a.Vouches)
	t.listened.add(domain, a.Listened)
}

// showsSole reports whether the answers let a stream without a record begin at the only version alone, as far as the views
// of those who gave them go.
func (t *tally) showsSole() bool {
	return t.agree && len(t.vouching) >= min(minAgreeing, len(t.instances)) && len(t.listened) >= min(minAgreeing, len(t.holders))
}
