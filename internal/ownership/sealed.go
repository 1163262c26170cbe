package ownership

import "foxhall/internal/program"

// maxReportedSealed is the maximum number of cohorts remembered that peers reported as sealed.
const maxReportedSealed = 4096

// Sealed reports whether this instance knows that the cohort's log is sealed. An instance that is
// asked to hold a copy for such a cohort must refuse.
//
// This guards against an owner that is paused and taken over, and resumes while the object API is
// down. It can't see the seal, so it would send a turn to two peers and report the turn to its caller
// as durable, while the successor continues without it. The peers that hold copies are the ones that
// become successors, so they know of the seal.
func (rc *Reconciler) Sealed(c program.Cohort) bool {
	if seen, ok := rc.directory.cache.Get(c); ok && seen.cohort.Seal != nil {
		return true
	}
	return rc.reportedSealed.Contains(c)
}

// ObserveSealed records a peer's report that the cohort's log is sealed, and wakes the reconciler.
func (rc *Reconciler) ObserveSealed(c program.Cohort) {
	rc.reportedSealed.Add(c, struct{}{})
	rc.Wake()
}
