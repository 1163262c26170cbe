// Package history keeps the turns of programs and counts the tokens that they
// make, on the instances that have a disk.
//
// Programs hash to slices. For each slice one object in the platform's store
// names the keepers that hold it, one more than disks may be lost at once, under
// an epoch. The primary decides; what it decides counts once it is on the disks
// of all of them. A change of keepers is one conditional write by a keeper that
// has all of the slice, which becomes the primary; the others are filled from it.
// Since every change keeps a keeper of the epoch before, and a keeper refuses
// epochs below its own, a primary that was frozen or cut off can finish nothing
// after it was replaced, without a lease and without a clock.
package history

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// SliceCount is the number of slices. Two dozen keepers have a few each, and
// the object that assigns them stays at 3 KB.
const SliceCount = 32

// SliceOf returns the slice that a program belongs to.
func SliceOf(program string) uint32 {
	return uint32(xxhash.Sum64String(program) % SliceCount)
}

// Role tells who holds a slice.
type Role struct {
	// Epoch grows with each change; 0 says that nobody holds the slice yet.
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Partners hold the same as the primary.
	Partners []string `json:"partners"`
}

// holders returns the primary and its partners.
func (r *Role) holders() []string { return append([]string{r.Primary}, r.Partners...) }

// partner reports whether a keeper is a partner.
func (r *Role) partner(name string) bool { return slices.Contains(r.Partners, name) }

// heldBy reports that these are the partners, in any order.
func (r *Role) heldBy(partners []string) bool {
	if len(partners) != len(r.Partners) {
		return false
	}
	for _, name := range partners {
		if !r.partner(name) {
			return false
		}
	}
	return true
}

// Assignment tells who holds which slice.
type Assignment struct {
	Slices [SliceCount]Role `json:"slices"`
}

// DecodeAssignment reads an assignment from the store.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrap(err, "assignment")
	}
	return a, nil
}

// Encode returns the assignment as the store holds it.
func (a *Assignment) Encode() ([]byte, error) { return json.Marshal(a) }

// Candidate is a keeper that may be given slices.
type Candidate struct {
	Name       string
	DataCentre string
}

// First returns the assignment of a system that has never run: slices go round
// the keepers, each with so many partners as there are others for, in other data
// centres where there are any.
func First(keepers []Candidate, partners int) (Assignment, bool) {
	var a Assignment
	if len(keepers) < 2 {
		return a, false
	}
	for s := range a.Slices {
		primary := keepers[s%len(keepers)]
		a.Slices[s] = Role{Epoch: 1, Primary: primary.Name, Partners: a.partnersFor(s, primary, keepers, partners, nil)}
	}
	return a, true
}

// held counts the slices that a keeper holds in either role.
func (a *Assignment) held(name string) int {
	n := 0
	for _, r := range a.Slices {
		if r.Epoch > 0 && (r.Primary == name || r.partner(name)) {
			n++
		}
	}
	return n
}

// partnersFor chooses partners for the primary of a slice: each in a data centre of
// its own while there is one, since a data centre can be lost whole, then those that
// hold the slice already, then those with the fewest slices. It returns fewer where
// there are not enough.
func (a *Assignment) partnersFor(slice int, primary Candidate, keepers []Candidate, count int, out func(name string) bool) []string {
	taken := []Candidate{primary}
	var partners []string
	for len(partners) < count {
		best := -1
		for i, k := range keepers {
			if contains(taken, k.Name) || out != nil && out(k.Name) {
				continue
			}
			if best < 0 || a.better(slice, taken, k, keepers[best]) {
				best = i
			}
		}
		if best < 0 {
			return partners
		}
		taken = append(taken, keepers[best])
		partners = append(partners, keepers[best].Name)
	}
	return partners
}

func contains(list []Candidate, name string) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Name == name })
}

func (a *Assignment) better(slice int, taken []Candidate, k, best Candidate) bool {
	shared, bestShared := sharing(taken, k.DataCentre), sharing(taken, best.DataCentre)
	if shared != bestShared {
		return shared < bestShared
	}
	holds, bestHolds := a.Slices[slice].partner(k.Name), a.Slices[slice].partner(best.Name)
	if holds != bestHolds {
		return holds
	}
	return a.held(k.Name) < a.held(best.Name)
}

// sharing counts those in the data centre.
func sharing(taken []Candidate, dataCentre string) int {
	n := 0
	for _, c := range taken {
		if c.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
