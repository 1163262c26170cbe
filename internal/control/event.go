package control

import (
	"maps"

	"foxhall/internal/lease"
	"foxhall/internal/membership"
)

// Class is the importance of an event. Under overload a lower class is shed
// before a higher one, and a higher one is applied first.
type Class int

// The classes of events, the least important first.
const (
	// Load holds load reports: a lost one leaves a placement a little worse
	// until the next, within a second or so.
	Load Class = iota
	// Membership holds members and upstream states: a lost one is made good by
	// the next period's view; meanwhile calls to what is gone are retried.
	Membership
	// Configuration holds versions in force, leases and the store's health. Its
	// keys are few and fixed, so that coalescing alone bounds it.
	Configuration
	classCount
)

var classNames = [classCount]string{Load: "load", Membership: "membership", Configuration: "configuration"}

// String returns the class's name in metrics.
func (c Class) String() string { return classNames[c] }

// Event is a piece of control state. Of two waiting events with the same class
// and key only the newer is applied.
type Event interface {
	Class() Class
	Key() string
	// Apply changes a copy of the snapshot. It runs on the control goroutine:
	// it must not block and must replace maps rather than write to them.
	Apply(*Snapshot)
}

// MembersChanged carries the newest view of the members.
type MembersChanged struct{ View *membership.View }

// Class implements Event.
func (MembersChanged) Class() Class { return Membership }

// Key implements Event.
func (MembersChanged) Key() string { return "members" }

// Apply implements Event.
func (e MembersChanged) Apply(s *Snapshot) { s.Members = e.View }

// LeasesChanged carries the last seen holders of the data centre's duties.
type LeasesChanged struct{ Status lease.Status }

// Class implements Event.
func (LeasesChanged) Class() Class { return Configuration }

// Key implements Event.
func (LeasesChanged) Key() string { return "leases" }

// Apply implements Event.
func (e LeasesChanged) Apply(s *Snapshot) { s.Leases = e.Status }

// ConfigChanged carries the version of the configuration in force.
type ConfigChanged struct{ Version uint64 }

// Class implements Event.
func (ConfigChanged) Class() Class { return Configuration }

// Key implements Event.
func (ConfigChanged) Key() string { return "config" }

// Apply implements Event. A version that would go back is ignored: a stale
// source may report late, and an accepted edit never reverts.
func (e ConfigChanged) Apply(s *Snapshot) { s.ConfigVersion = max(s.ConfigVersion, e.Version) }

// StoreChanged carries whether the object API answers.
type StoreChanged struct{ Healthy bool }

// Class implements Event.
func (StoreChanged) Class() Class { return Configuration }

// Key implements Event.
func (StoreChanged) Key() string { return "store" }

// Apply implements Event.
func (e StoreChanged) Apply(s *Snapshot) { s.StoreHealthy = e.Healthy }

// UpstreamsChanged carries the upstream package's table.
type UpstreamsChanged struct{ Table any }

// Class implements Event.
func (UpstreamsChanged) Class() Class { return Membership }

// Key implements Event.
func (UpstreamsChanged) Key() string { return "upstreams" }

// Apply implements Event.
func (e UpstreamsChanged) Apply(s *Snapshot) { s.Upstreams = e.Table }

// LoadReported carries the load of another data centre.
type LoadReported struct {
	DataCentre string
	Value      any
}

// Class implements Event.
func (LoadReported) Class() Class { return Load }

// Key implements Event.
func (e LoadReported) Key() string { return e.DataCentre }

// Apply implements Event.
func (e LoadReported) Apply(s *Snapshot) {
	loads := maps.Clone(s.Loads)
	if loads == nil {
		loads = map[string]any{}
	}
	loads[e.DataCentre] = e.Value
	s.Loads = loads
}
