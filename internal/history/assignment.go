// Package history replicates the retained turns of programs and their token accounts over keepers,
// the instances that have a disk.
//
// Programs hash to shards. One object in the platform's store assigns each shard an epoch and an
// ensemble of keepers: a primary and its backups. The primary orders the changes; a change is
// committed once it is on the disks of the primary and of all backups, or all but one, see
// Ensemble.
//
// A reassignment is one conditional update by a keeper that makes itself the primary of the next
// epoch. Unless it was the primary before, it first has a recovery quorum of the earlier holders
// refuse lower epochs, and fetches their records: each committed change is on one of them. A
// primary that was paused or isolated can therefore commit nothing after it was replaced. This
// needs neither leases nor synchronised clocks.
package history

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ShardCount is the number of shards. Two dozen keepers have a few each, and the assignment object
// stays at 3 KB.
const ShardCount = 32

// ShardOf returns the shard that a program belongs to.
func ShardOf(program string) uint32 {
	return uint32(xxhash.Sum64String(program) % ShardCount)
}

// assignmentFormatVersion is the format version in which assignments are written. Version 1, which
// is encoded without a number, names no disks and commits changes on all disks of a shard.
const assignmentFormatVersion = 2

// Assignment names the holders of each shard.
type Assignment struct {
	// FormatVersion is that of the object in the store.
	FormatVersion int                         `json:"form,omitempty"`
	Shards        [ShardCount]ShardAssignment `json:"slices"`
}

// ErrUnknownFormat indicates an assignment that was written by a later version of foxhall.
var ErrUnknownFormat = errors.New("history: assignment of an unknown format version")

// DecodeAssignment reads an assignment from the store.
func DecodeAssignment(data []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(data, &a); err != nil {
		return Assignment{}, errors.Wrap(err, "assignment")
	}
	if a.FormatVersion > assignmentFormatVersion {
		return Assignment{}, errors.Wrapf(ErrUnknownFormat, "found format version %d, expected %d or lower", a.FormatVersion, assignmentFormatVersion)
	}
	return a, nil
}

// Encode returns the assignment in the store's encoding.
func (a *Assignment) Encode() ([]byte, error) {
	a.FormatVersion = assignmentFormatVersion
	return json.Marshal(a)
}

// Candidate is a keeper to which shards may be assigned.
type Candidate struct {
	Name       string
	DataCentre string
	// Disk is the name of its disk, if known.
	Disk string
}

// InitialAssignment returns the assignment of a system that has never run: shards are assigned to
// the keepers in turn. Of each shard, maxDiskFailures holders may be lost at once. It returns false
// for fewer than two keepers.
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

// Holders returns the names of the keepers that hold a shard or may be needed to recover one.
func (a *Assignment) Holders() map[string]bool {
	holders := map[string]bool{}
	for i := range a.Shards {
		for name := range a.Shards[i].allHolders() {
			holders[name] = true
		}
	}
	delete(holders, "")
	return holders
}

// MaxActiveKeepers is the number of keepers that share the shards. Each of them hears of each other
// several times a second, so that more would cost all of them more without taking load from them:
// there are about as many shards.
const MaxActiveKeepers = 30

// ActiveKeepers returns the keepers that share the shards, sorted by name: those that hold shards,
// and of each data centre the same number of others, at most MaxActiveKeepers in all. All instances
// choose the same ones.
func ActiveKeepers(keepers []Candidate, holders map[string]bool) []Candidate {
	byDataCentre := map[string][]Candidate{}
	for _, k := range keepers {
		byDataCentre[k.DataCentre] = append(byDataCentre[k.DataCentre], k)
	}
	var active []Candidate
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(a, b Candidate) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
		limit := max(1, MaxActiveKeepers/len(byDataCentre))
		for i, k := range members {
			if i < limit || holders[k.Name] {
				active = append(active, k)
			}
		}
	}
	slices.SortFunc(active, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	return active
}

// countHeldBy counts the shards that a keeper holds as primary or backup.
func (a *Assignment) countHeldBy(name string) int {
	n := 0
	for i := range a.Shards {
		if r := &a.Shards[i]; r.Epoch > 0 && r.hasHolder(name) {
			n++
		}
	}
	return n
}

// newEnsemble returns an ensemble of the primary and its backups.
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

// allowsOptionalBackup reports whether a change may be committed without one of the backups: all
// disks are known by name, and whichever data centre is lost, more holders than the optional one
// are left.
func allowsOptionalBackup(holders []Candidate) bool {
	for _, h := range holders {
		if h.Disk == "" || len(holders)-countInDataCentre(holders, h.DataCentre) <= maxOptionalBackups {
			return false
		}
	}
	return true
}

// countInDataCentre counts the candidates in the data centre.
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
