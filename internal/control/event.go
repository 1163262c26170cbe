package control

import (
	"maps"

	"foxhall/internal/lease"
	"foxhall/internal/membership"
)

// Class is the priority of an event. Under overload a lower class is shed before
// a higher one, and a higher one is applied first.
type Class int

// The classes of events, in ascending order of priority.
const (
	// Load is the class of load reports. If one is shed, placement is slightly
	// worse until the next one, about a second later.
	Load Class = iota
	// Membership is the class of members and upstream states. If one is shed, the
	// next period's view replaces it; until then, calls to ended instances and
	// upstreams are retried.
	Membership
	// Configuration is the class of versions in force, leases and the store's
	// health. Its keys are few and fixed, so coalescing bounds the waiting events.
	Configuration
	classCount
)

var classNames = [classCount]string{Load: "load", Membership: "membership", Configuration: "configuration"}

// String returns the class's name as used in metrics.
func (c Class) String() string { return classNames[c] }

// Event is a part of the control state. Of two waiting events with the same class
// and key, only the newer is applied.
type Event interface {
	Class() Class
	Key() string
	// Apply changes a copy of the snapshot. It runs on the control goroutine: it
	// must not block, and must replace maps rather than write to them.
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

// Apply implements Event. A version lower than the current one is ignored: an
// outdated source may report late, and an accepted edit is never reverted.
func (e ConfigChanged) Apply(s *Snapshot) { s.ConfigVersion = max(s.ConfigVersion, e.Version) }

// StoreChanged carries whether the object API responds.
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
