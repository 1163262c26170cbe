package history

import "slices"

// Ensemble is the keepers that hold a slice in one epoch.
type Ensemble struct {
	// Epoch grows with each change; 0 says that nobody holds the slice yet.
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Partners hold the same as the primary.
	Backups []string `json:"partners"`
	// Disks names the disks of the holders, the primary's first. A holder whose
	// disk has another name lost what it held. Empty in assignments of form 1.
	Disks []string `json:"disks,omitempty"`
	// Spare is the number of partners on whose disks a decision need not be.
	OptionalBackups int `json:"spare,omitempty"`
}

// Role tells who holds a slice.
type ShardAssignment struct {
	Ensemble
	// Before lists earlier ensembles, the oldest first, that may hold decisions
	// which the primary has to fetch before it decides.
	Previous []Ensemble `json:"before,omitempty"`
}

// spareMost is the largest Spare. Any two holders of an ensemble then have all of its
// decisions between them.
const maxOptionalBackups = 1

// holders returns the primary and its partners.
func (e *Ensemble) holders() []string { return append([]string{e.Primary}, e.Backups...) }

// partner reports whether a keeper is a partner.
func (e *Ensemble) hasBackup(name string) bool { return slices.Contains(e.Backups, name) }

// holds reports whether a keeper is a holder.
func (e *Ensemble) hasHolder(name string) bool { return e.Primary == name || e.hasBackup(name) }

// disk returns the name of a holder's disk, or nothing where it is not known.
func (e *Ensemble) diskOf(name string) string {
	i := slices.Index(e.holders(), name)
	if i < 0 || i >= len(e.Disks) {
		return ""
	}
	return e.Disks[i]
}

// acks returns on how many partners' disks a decision must be.
func (e *Ensemble) requiredAcks() int { return len(e.Backups) - e.OptionalBackups }

// sameHolders reports that the other ensemble has the same primary and partners, in any
// order, on the same disks, and the same spare.
func (e *Ensemble) sameReplicaSet(other *Ensemble) bool {
	if e.Primary != other.Primary || e.OptionalBackups != other.OptionalBackups || len(e.Backups) != len(other.Backups) {
		return false
	}
	for _, name := range e.holders() {
		if !other.hasHolder(name) || e.diskOf(name) != other.diskOf(name) {
			return false
		}
	}
	return true
}

// keeps reports whether a keeper with the disk and the base still has all that it
// acknowledged in the ensemble.
func (e *Ensemble) isIntact(name, disk string, base uint64) bool {
	if !e.hasHolder(name) {
		return false
	}
	if recorded := e.diskOf(name); recorded != "" {
		return recorded == disk
	}
	// Without the disk's name, a base of the epoch before shows that the disk was
	// there when the ensemble began.
	return base > 0 && base+1 >= e.Epoch
}

// complete reports whether the keepers, which have all that they acknowledged in the
// ensemble, have all of its decisions between them: each is on the primary's disk, and
// on those of all partners but the spare ones.
func (e *Ensemble) isRecoveryQuorum(names []string) bool {
	return slices.Contains(names, e.Primary) || len(names) > e.OptionalBackups
}

// chain returns the ensembles that may hold decisions, the oldest first.
func (r *ShardAssignment) ensembles() []Ensemble { return append(slices.Clone(r.Previous), r.Ensemble) }

// everHeld returns the holders of all these ensembles.
func (r *ShardAssignment) allHolders() map[string]bool {
	names := map[string]bool{}
	for _, e := range r.ensembles() {
		for _, name := range e.holders() {
			names[name] = true
		}
	}
	return names
}

// oldest returns the lowest base with which a keeper may take the slice over.
func (r *ShardAssignment) minBase() uint64 {
	if len(r.Previous) > 0 {
		return r.Previous[0].Epoch
	}
	return r.Epoch
}
