// Package history keeps the turns of programs and counts the tokens that they
// make, on the instances that have a disk.
//
// Programs hash to slices. For each slice one object in the platform's store
// names the keepers that hold it, under an epoch. The primary decides; a decision
// counts once it is on the primary's disk and on those of its partners, all of them
// or all but one, see Ensemble.
//
// A change of holders is one conditional write by a keeper that makes itself the
// primary of the next epoch. A keeper that did not decide in the epoch before first
// has enough of its holders refuse that epoch, and fetches what they have: any
// decision is on one of them. So a primary that was frozen or cut off can finish
// nothing after it was replaced, without a lease and without a clock.
package history

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// SliceCount is the number of slices. Two dozen keepers have a few each, and
// the object that assigns them stays at 3 KB.
const ShardCount = 32

// SliceOf returns the slice that a program belongs to.
func ShardOf(program string) uint32 {
	return uint32(xxhash.Sum64String(program) % ShardCount)
}

// assignmentForm is the form in which assignments are written. Form 1, which has no
// number, names no disks and has decisions on all disks of a slice.
const assignmentFormatVersion = 2

// Assignment tells who holds which slice.
type Assignment struct {
	// Form is that of the object in the store.
	FormatVersion int                         `json:"form,omitempty"`
	Shards        [ShardCount]ShardAssignment `json:"slices"`
}

// ErrForm says that an assignment was written by a later version of foxhall.
var ErrUnknownFormat = errors.New("history: assignment of an unknown form")

// DecodeAssignment reads an assignment from the store.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrap(err, "assignment")
	}
	if a.FormatVersion > assignmentFormatVersion {
		return Assignment{}, errors.Wrapf(ErrUnknownFormat, "form %d, known up to %d", a.FormatVersion, assignmentFormatVersion)
	}
	return a, nil
}

// Encode returns the assignment as the store holds it.
func (a *Assignment) Encode() ([]byte, error) {
	a.FormatVersion = assignmentFormatVersion
	return json.Marshal(a)
}

// Candidate is a keeper that may be given slices.
type Candidate struct {
	Name       string
	DataCentre string
	// Disk names its disk, where it is known.
	Disk string
}

// First returns the assignment of a system that has never run: slices go round
// the keepers. Of each slice, disksLost holders may be lost at once.
func InitialAssignment(keepers []Candidate, maxDiskFailures int) (Assignment, bool) {
	var a Assignment
	if len(keepers) < 2 {
		return a, false
	}
	c := backupSelector{assignment: &a, keepers: keepers, maxDiskFailures: maxDiskFailures, shardsHeld: map[string]int{}}
	for s := range a.Shards {
		primary := keepers[s%len(keepers)]
		backups := c.selectBackups(s, primary)
		a.Shards[s] = ShardAssignment{Ensemble: newEnsemble(1, primary, backups, maxDiskFailures)}
		c.countHolders(&a.Shards[s])
	}
	return a, true
}

// held counts the slices that a keeper holds in either role.
func (a *Assignment) countHeldBy(name string) int {
	n := 0
	for i := range a.Shards {
		if r := &a.Shards[i]; r.Epoch > 0 && r.hasHolder(name) {
			n++
		}
	}
	return n
}

// ensembleOf returns an ensemble of the primary and its partners.
func newEnsemble(epoch uint64, primary Candidate, backups []Candidate, maxDiskFailures int) Ensemble {
	e := Ensemble{Epoch: epoch, Primary: primary.Name, Disks: []string{primary.Disk}}
	for _, p := range backups {
		e.Backups = append(e.Backups, p.Name)
		e.Disks = append(e.Disks, p.Disk)
	}
	if len(backups) > maxDiskFailures && allowsOptionalBackup(append([]Candidate{primary}, backups...)) {
		e.OptionalBackups = maxOptionalBackups
	}
	return e
}

// sparesOne reports that a decision need not be on all disks of the holders: all disks
// are known by name, and whichever data centre is lost, more holders than the spare one
// are left.
func allowsOptionalBackup(holders []Candidate) bool {
	for _, h := range holders {
		if h.Disk == "" || len(holders)-countInDataCentre(holders, h.DataCentre) <= maxOptionalBackups {
			return false
		}
	}
	return true
}

// sharing counts those in the data centre.
func countInDataCentre(taken []Candidate, dataCentre string) int {
	n := 0
	for _, c := range taken {
		if c.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func containsKeeper(list []Candidate, name string) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Name == name })
}
