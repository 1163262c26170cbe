// Package control runs the one goroutine that owns the control state. Events
// arrive through bounded mailboxes, and an immutable snapshot is published through
// an atomic pointer. The goroutine does no I/O: I/O happens elsewhere, and its
// result arrives as an event.
//
// Events carry state rather than changes: an event replaces the state of an
// earlier one with the same key. A waiting event is therefore replaced by a newer
// one, and an event shed under overload by the next of its key.
package control

import (
	"foxhall/internal/lease"
	"foxhall/internal/membership"
)

// Snapshot is the control state at one time. It and all that it refers to are
// immutable; the handling of calls reads it without a lock.
type Snapshot struct {
	// Sequence increases by one with each published snapshot.
	Sequence uint64
	// Members is nil until the first view arrives.
	Members *membership.View
	// Leases are the duties of this data centre and their holders.
	Leases lease.Status
	// ConfigVersion is the version of the configuration in force. It never decreases.
	ConfigVersion uint64
	// StoreHealthy reports whether the object API responds to this instance.
	StoreHealthy bool
	// Upstreams is an immutable table of the upstream package's type.
	Upstreams any
	// Loads are the loads of other data centres by name, as values of the
	// placement package's type.
	Loads map[string]any
}
