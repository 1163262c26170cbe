package ownership

import "foxhall/internal/program"

// toldSealed is the number of cohorts kept of which peers said that they are sealed.
const maxReportedSealed = 4096

// Sealed reports whether this instance knows that the cohort's log is sealed. A
// peer that is asked to hold a copy for such a cohort must refuse.
//
// The failure: an owner is paused, its programs are taken over, and the object
// API goes down before it wakes. It can't see the seal, gives a turn to two peers
// and tells its caller that the turn is durable, while the successor goes on
// without it. The successors are the ones that hold copies, and they know.
func (k *Reconciler) Sealed(c program.Cohort) bool {
	if seen, ok := k.directory.cache.Get(c); ok && seen.cohort.Seal != nil {
		return true
	}
	return k.reportedSealed.Contains(c)
}

// NoticeSealed takes a peer's word that the cohort's log is sealed, and wakes
// the next pass.
func (k *Reconciler) ObserveSealed(c program.Cohort) {
	k.reportedSealed.Add(c, struct{}{})
	k.Wake()
}
