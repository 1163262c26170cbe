package instance

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"

	"foxhall/internal/config"
	"foxhall/internal/entry"
	"foxhall/internal/membership"
	"foxhall/internal/ownership"
	"foxhall/internal/program"
)

// view returns the members in the current control snapshot, or those of the membership runner while
// the snapshot has none.
func (i *Instance) view() *membership.View {
	if v := i.control.Snapshot().Members; v != nil {
		return v
	}
	return i.members.View()
}

// otherMembers returns the members of the data centre, or of all data centres if dataCentre is
// empty, that are believed to be running, without this one.
func (i *Instance) otherMembers(dataCentre string) []membership.Member {
	view := i.view()
	var others []membership.Member
	for _, m := range view.Members() {
		inDataCentre := dataCentre == "" || m.DataCentre() == dataCentre
		if inDataCentre && m.State.Present() && m.Cohort != i.cohort {
			others = append(others, m)
		}
	}
	return others
}

// sample returns up to n of the members, chosen at random. It reorders members.
func sample(members []membership.Member, n int) []membership.Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members[:min(n, len(members))]
}

// configPeers implements config.Peers with the other members.
type configPeers struct{ instance *Instance }

// Sample implements config.Peers.
func (c configPeers) Sample(n int) []config.Peer {
	members := sample(c.instance.otherMembers(""), n)
	peers := make([]config.Peer, len(members))
	for i, m := range members {
		peers[i] = configPeer{client: c.instance.peers, member: m}
	}
	return peers
}

// gateMembers implements limit.Members.
type gateMembers struct{ instance *Instance }

// Weights implements limit.Members.
func (g gateMembers) Weights() map[string]float64 {
	weights := map[string]float64{g.Self(): g.instance.settings.Size * sizeUnit}
	for _, m := range g.instance.view().Available(g.instance.settings.DataCentre) {
		weights[m.Instance()] = float64(m.Report.Size)
	}
	return weights
}

// Self implements limit.Members.
func (g gateMembers) Self() string { return g.instance.settings.Instance }

// ownershipMembers implements ownership.Members for this instance's data centre.
type ownershipMembers struct{ instance *Instance }

func (o ownershipMembers) member(m membership.Member) ownership.Member {
	return ownership.Member{Instance: m.Instance(), Cohort: m.Cohort, Addr: m.Address, Weight: float64(m.Report.Size)}
}

// Living implements ownership.Members.
func (o ownershipMembers) Living() []ownership.Member {
	view := o.instance.view()
	// An instance that lost contact with most of its data centre at once is itself isolated and
	// must not take over programs. Its appends would be fenced anyway, but each wrong seal takes a
	// healthy instance's programs away from it.
	if view.Isolated {
		return nil
	}
	var living []ownership.Member
	for _, m := range view.Available(o.instance.settings.DataCentre) {
		living = append(living, o.member(m))
	}
	return living
}

// Find implements ownership.Members.
func (o ownershipMembers) Find(c program.Cohort) (ownership.Member, bool) {
	m, ok := o.instance.view().Member(c)
	if !ok || m.State == membership.Dead {
		return ownership.Member{}, false
	}
	return o.member(m), true
}

// Dead implements ownership.Members.
func (o ownershipMembers) Dead() []ownership.Dead {
	view := o.instance.view()
	if view.Isolated {
		return nil
	}
	var dead []ownership.Dead
	for _, m := range view.Members() {
		if m.State == membership.Dead && m.DataCentre() == o.instance.settings.DataCentre {
			dead = append(dead, ownership.Dead{Cohort: m.Cohort, Since: m.Since, StoreDown: !m.Report.StoreHealthy})
		}
	}
	return dead
}

// directory implements entry.Directory.
type directory struct{ instance *Instance }

// Locate implements entry.Directory.
func (d directory) Locate(ctx context.Context, id program.ID) (entry.Owner, error) {
	owner, err := d.instance.ownership.Directory().Locate(ctx, id)
	if errors.Is(err, ownership.ErrUnknownCohort) {
		// No such program. The owner service answers as for any unknown id, so that the response
		// does not reveal to other callers whether an id exists.
		return entry.Owner{IsSelf: true}, nil
	}
	if err != nil {
		return entry.Owner{}, err
	}
	return entry.Owner{Instance: owner.Instance, Address: owner.Addr, IsSelf: owner.IsSelf}, nil
}
