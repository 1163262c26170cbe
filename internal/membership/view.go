package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/program"
)

// Centre is what this instance knows of a data centre.
type DataCentre struct {
	Name string
	// Reachable says whether the last exchanges with the data centre succeeded.
	Reachable bool
	// Contact is the last exchange with one of its members, zero for never.
	LastContact time.Time
}

// View is an immutable snapshot of the members.
type View struct {
	// Self is this instance.
	Self Member
	// Isolated says that this instance lost most of its data centre at once
	// and holds back: it declares no deaths and should start no take-overs.
	Isolated bool
	// Fenced says that this instance's cohort was sealed by a successor.
	Fenced bool

	members     []Member
	dataCentres []DataCentre
	index       map[program.Cohort]int
}

// Members returns all members, this instance included, in the order of their
// cohorts. The slice is shared and must not be changed.
func (v *View) Members() []Member { return v.members }

// Centres returns the data centres in the order of their names. The slice is
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

// Living returns the members of a data centre that take new work, or those of
// all data centres if dataCentre is empty.
func (v *View) Living(dataCentre string) []Member {
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

// Ranked returns the living members of a data centre in the order in which
// they should take a key, by weighted rendezvous hashing (Thaler and
// Ravishankar, 1998): each takes a share in proportion to its size, and a
// member that comes or goes moves only its own share.
func (v *View) Ranked(dataCentre, key string) []Member {
	living := v.Living(dataCentre)
	slices.SortFunc(living, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b, key), score(a, key)), cmp.Compare(a.Cohort, b.Cohort))
	})
	return living
}

// Contends reports whether this instance is one of the first n living of its
// data centre in the rank of a key and is not holding back. It bounds the
// instances that compete for a lease, whatever the size of the data centre.
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
