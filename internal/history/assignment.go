// Package history keeps the turns of programs and counts the tokens that they
// make, on the instances that have a disk.
//
// Programs hash to slices. For each slice one object in the platform's store
// names the two keepers that hold it, under an epoch. The primary decides; what
// it decides counts once it is on both disks. A change of keepers is one
// conditional write by a keeper that has all of the slice, which becomes the
// primary; the other is filled from it. Since every change keeps a keeper of
// the epoch before, and a keeper refuses epochs below its own, a primary that
// was frozen or cut off can finish nothing after it was replaced, without a
// lease and without a clock.
package history

import (
	"encoding/json"

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
	Partner string `json:"partner"`
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
// the keepers, each with a partner in another data centre where there is one.
func First(keepers []Candidate) (Assignment, bool) {
	var a Assignment
	if len(keepers) < 2 {
		return a, false
	}
	for s := range a.Slices {
		primary := keepers[s%len(keepers)]
		partner, _ := a.partnerFor(primary, keepers, nil)
		a.Slices[s] = Role{Epoch: 1, Primary: primary.Name, Partner: partner}
	}
	return a, true
}

// held counts the slices that a keeper holds in either role.
func (a *Assignment) held(name string) int {
	n := 0
	for _, r := range a.Slices {
		if r.Epoch > 0 && (r.Primary == name || r.Partner == name) {
			n++
		}
	}
	return n
}

// partnerFor chooses the keeper with the fewest slices, in another data centre
// if there is one, since a data centre can be lost whole.
func (a *Assignment) partnerFor(primary Candidate, keepers []Candidate, out func(name string) bool) (string, bool) {
	best := -1
	for i, k := range keepers {
		if k.Name == primary.Name || out != nil && out(k.Name) {
			continue
		}
		if best < 0 || a.better(primary, k, keepers[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return keepers[best].Name, true
}

func (a *Assignment) better(primary, k, best Candidate) bool {
	apart, bestApart := k.DataCentre != primary.DataCentre, best.DataCentre != primary.DataCentre
	if apart != bestApart {
		return apart
	}
	return a.held(k.Name) < a.held(best.Name)
}
