package history

import (
	"slices"
	"time"
)

// Ensemble is the replica set of a shard in one epoch.
type Ensemble struct {
	// Epoch grows with each reassignment; at 0 no keeper holds the shard yet.
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Backups are the keepers that replicate the primary's changes.
	Backups []string `json:"partners"`
	// Disks names the disks of the holders, the primary's first. A holder whose disk has another
	// name has lost its data. Empty in assignments of format version 1.
	Disks []string `json:"disks,omitempty"`
	// OptionalBackups is the number of backups that need not acknowledge a change before it is
	// committed.
	OptionalBackups int `json:"spare,omitempty"`
	// Copied means that the primary commits a change only once it is in the platform's store, too, and
	// the store has confirmed the assignment after that. Set where changes are on no more disks than may fail at once.
	Copied bool `json:"copied,omitempty"`
}

// ShardAssignment names the holders of a shard.
type ShardAssignment struct {
	Ensemble
	// Previous lists earlier ensembles, the oldest first, that may hold committed changes which the
	// primary has to fetch before it serves.
	Previous []Ensemble `json:"before,omitempty"`
	// LostAtUnixMs is when committed changes may have been lost last, with more disks than may fail at once; 0 if never.
	LostAtUnixMs int64 `json:"lost_at,omitempty"`
}

// maxOptionalBackups is the largest OptionalBackups. Any two holders of an ensemble then have all
// of its committed changes between them.
const maxOptionalBackups = 1

// holders returns the primary followed by its backups.
func (e *Ensemble) holders() []string { return append([]string{e.Primary}, e.Backups...) }

// hasBackup reports whether a keeper is a backup.
func (e *Ensemble) hasBackup(name string) bool { return slices.Contains(e.Backups, name) }

// isSole reports whether the ensemble is a keeper alone. Older versions copy the changes of these only, and don't mark
// them as copied.
func (e *Ensemble) isSole() bool { return len(e.Backups) == 0 && len(e.Disks) == 1 && e.Disks[0] != "" }

// isInStore reports whether all committed changes of the ensemble are in the platform's store.
func (e *Ensemble) isInStore() bool { return e.Copied || e.isSole() }

// survives reports whether a committed change is on more disks than the given number, which may fail at once.
func (e *Ensemble) survives(diskFailures int) bool { return e.disksPerChange() > diskFailures }

// hasHolder reports whether a keeper is the primary or a backup.
func (e *Ensemble) hasHolder(name string) bool { return e.Primary == name || e.hasBackup(name) }

// diskOf returns the name of a holder's disk, or "" if it is unknown.
func (e *Ensemble) diskOf(name string) string {
	i := slices.Index(e.holders(), name)
	if i < 0 || i >= len(e.Disks) {
		return ""
	}
	return e.Disks[i]
}

// requiredAcks returns the number of backups that must acknowledge a change to commit it.
func (e *Ensemble) requiredAcks() int { return len(e.Backups) - e.OptionalBackups }

// disksPerChange returns the least number of disks that a committed change is on.
func (e *Ensemble) disksPerChange() int { return 1 + e.requiredAcks() }

// sameReplicaSet reports whether the other ensemble has the same primary and backups, in any order,
// on the same disks, as many optional backups, and copies its changes likewise.
func (e *Ensemble) sameReplicaSet(other *Ensemble) bool {
	if e.Primary != other.Primary || e.OptionalBackups != other.OptionalBackups || e.Copied != other.Copied || len(e.Backups) != len(other.Backups) {
		return false
	}
	for _, name := range e.holders() {
		if !other.hasHolder(name) || e.diskOf(name) != other.diskOf(name) {
			return false
		}
	}
	return true
}

// covers reports whether whatever recovers this ensemble also recovers an earlier one of the same primary: the same replica
// set, or fewer holders where all have each change and the store has it under the same name.
func (e *Ensemble) covers(earlier *Ensemble) bool {
	if e.sameReplicaSet(earlier) {
		return true
	}
	sameCopies := e.Copied && earlier.Copied && e.OptionalBackups == 0 && earlier.OptionalBackups == 0 && e.Primary == earlier.Primary
	return sameCopies && !slices.ContainsFunc(e.holders(), func(name string) bool {
		return !earlier.hasHolder(name) || e.diskOf(name) == "" || e.diskOf(name) != earlier.diskOf(name)
	})
}

// withoutCovered returns the ensembles but for those that a later one covers. The first stays, since its epoch bounds the
// base of successors.
func withoutCovered(ensembles []Ensemble) []Ensemble {
	var left []Ensemble
	for i := range ensembles {
		covered := slices.ContainsFunc(ensembles[i+1:], func(later Ensemble) bool { return later.covers(&ensembles[i]) })
		if i == 0 || !covered {
			left = append(left, ensembles[i])
		}
	}
	return left
}

// isIntact reports whether a keeper with the disk and the base still has everything that it
// acknowledged in the ensemble.
func (e *Ensemble) isIntact(name, disk string, base uint64) bool {
	if !e.hasHolder(name) {
		return false
	}
	if recorded := e.diskOf(name); recorded != "" {
		return recorded == disk
	}
	// Where the disk's name is unknown, a base of at least the preceding epoch shows that the keeper
	// already had this disk when the ensemble began.
	return base > 0 && base+1 >= e.Epoch
}

// isRecoveryQuorum reports whether the keepers, which are intact, have all committed changes of the
// ensemble between them: each change is on the disks of the primary and of all backups but the
// optional ones.
func (e *Ensemble) isRecoveryQuorum(names []string) bool {
	return slices.Contains(names, e.Primary) || len(names) > e.OptionalBackups
}

// ensembles returns the ensembles that may hold committed changes, the oldest first.
func (r *ShardAssignment) ensembles() []Ensemble { return append(slices.Clone(r.Previous), r.Ensemble) }

// mayLack reports whether a turn that the shard lacks may be one that was retained for the time and lost with its disks.
func (r *ShardAssignment) mayLack(retention time.Duration, now time.Time) bool {
	return r.LostAtUnixMs > 0 && now.UnixMilli() < r.LostAtUnixMs+(retention+retentionMargin).Milliseconds()
}

// allHolders returns the holders of all these ensembles.
func (r *ShardAssignment) allHolders() map[string]bool {
	names := map[string]bool{}
	for _, e := range r.ensembles() {
		for _, name := range e.holders() {
			names[name] = true
		}
	}
	return names
}

// minBase returns the lowest base with which a keeper may take the shard over.
func (r *ShardAssignment) minBase() uint64 {
	if len(r.Previous) > 0 {
		return r.Previous[0].Epoch
	}
	return r.Epoch
}
