package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/program"
)

// DataCentre is the state of this instance's contact with a data centre.
type DataCentre struct {
	Name string
	// Reachable reports whether the latest exchanges with the data centre
	// succeeded.
	Reachable bool
	// LastContact is the time of the last exchange with one of its members,
	// zero if there was none.
	LastContact time.Time
}

// View is an immutable snapshot of the members.
type View struct {
	// Self is this instance.
	Self Member
	// Isolated reports whether this instance has lost contact with most of its
	// data centre and defers actions: it declares no deaths and should start no
	// take-overs.
	Isolated bool
	// Fenced reports whether a successor sealed this instance's cohort.
	Fenced bool

	members     []Member
	dataCentres []DataCentre
	index       map[program.Cohort]int
}

// Members returns all members, this instance included, in the order of their
// cohorts. The slice is shared and must not be changed.
func (v *View) Members() []Member { return v.members }

// DataCentres returns the data centres in the order of their names. The slice is
// shared and must not be changed.
func (v *View) DataCentres() []DataCentre { return v.dataCentres }

// Member returns the member of a cohort.
func (v *View) Member(c program.Cohort) (Member, bool) {
	i, ok := v.index[c]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Available returns the members of a data centre that accept new work, or those of
// all data centres if dataCentre is empty.
func (v *View) Available(dataCentre string) []Member {
	var living []Member
	for _, m := range v.members {
		if m.Available() && (dataCentre == "" || m.DataCentre() == dataCentre) {
			living = append(living, m)
		}
	}
	return living
}

// DeadSince returns the members declared dead at or after a time.
func (v *View) DeadSince(t time.Time) []Member {
	var dead []Member
	for _, m := range v.members {
		if m.State == Dead && !m.Since.Before(t) {
			dead = append(dead, m)
		}
	}
	return dead
}

// Ranked returns the members of a data centre that accept new work, in the order
// of their weighted rendezvous hash for a key (Thaler and Ravishankar, 1998). Each
// member ranks first for a share of the keys in proportion to its size, and a
// member that joins or leaves moves only its own share.
func (v *View) Ranked(dataCentre, key string) []Member {
	living := v.Available(dataCentre)
	slices.SortFunc(living, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a.Cohort, b.Cohort))
	})
	return living
}

// IsContender reports whether this instance ranks among the first n members of
// its data centre for a key and does not defer actions because of isolation. It
// bounds the number of instances that compete for a lease, whatever the size of
// the data centre.
func (v *View) IsContender(key string, n int) bool {
	if v.Isolated {
		return false
	}
	ranked := v.Ranked(v.Self.DataCentre(), key)
	for _, m := range ranked[:min(n, len(ranked))] {
		if m.Cohort == v.Self.Cohort {
			return true
		}
	}
	return false
}

// score is the weighted rendezvous score -size/ln(u), with u uniform in (0, 1).
func score(m Member, key string) float64 {
	hash := xxhash.Sum64String(key + "\x00" + string(m.Cohort))
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(m.Report.Size, 1)) / math.Log(u)
}

// View returns a snapshot of the table.
func (t *Table) View(now time.Time) *View {
	v := &View{
		Self:     t.self.Member,
		Isolated: t.DefersActions(now),
		Fenced:   t.fenced,
		members:  make([]Member, 0, len(t.entries)),
		index:    make(map[program.Cohort]int, len(t.entries)),
	}
	for _, e := range t.entries {
		v.members = append(v.members, e.Member)
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.Cohort, b.Cohort) })
	for i, m := range v.members {
		v.index[m.Cohort] = i
	}
	for name, c := range t.links {
		v.dataCentres = append(v.dataCentres, DataCentre{Name: name, Reachable: t.reachable(name), LastContact: c.lastContact})
	}
	slices.SortFunc(v.dataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
