// Package node runs one instance of foxhall in front of a platform's replicas: an entry, which
// takes callers' calls, or a keeper, which has a disk.
package node

import (
	"net"
	"slices"
	"strconv"
	"time"

	"foxhall/internal/limit"
)

// Settings configure an instance at its start.
type Settings struct {
	// Instance is the instance's name, which stays the same over restarts.
	Instance string
	IP       string
	// DataCentre is the instance's own data centre, DataCentres are all of them.
	DataCentre  string
	DataCentres []string
	// Fleet names the system that this instance belongs to, the same on all its instances; empty for any.
	Fleet string
	// CallersAddress and ReadyAddress are the listening addresses of an entry for callers and for readiness
	// probes.
	CallersAddress, ReadyAddress string
	// PeerPort is the port for traffic between instances, the same on all of them.
	PeerPort int
	// Seeds are IP addresses of other instances, which may be out of date.
	Seeds []string
	// FirstStart is true only when the whole system starts with empty disks.
	FirstStart bool
	// MaxDiskFailures is the number of disks that may fail at once without loss of turns.
	MaxDiskFailures int
	// DataFolder is empty on an instance without a disk.
	DataFolder string
	// ChangeDeadline is the time within which a change of the configuration or of a replica has to be
	// in force, Heartbeat the interval between two heartbeats of a replica; 0 if unknown.
	ChangeDeadline, Heartbeat time.Duration
	// Tolerance is how far customers may exceed their quotas.
	Tolerance limit.Tolerance
	// LoadControl turns on the admission of model calls to engines by urgency and rank.
	LoadControl bool
	// Memory is the memory that the process may use, in bytes.
	Memory int64
	// Grace is the time allowed from the order to stop until the process exits.
	Grace time.Duration
	// StoreAddress is the address of the platform's object store.
	StoreAddress string
}

// peerAddress returns the address at which the instance with an IP address listens for other
// instances.
func (s *Settings) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PeerPort))
}

func (s *Settings) isSeed() bool { return slices.Contains(s.Seeds, s.IP) }

// remoteCosts returns the assumed cost of a call to each other data centre.
func (s *Settings) remoteCosts() map[string]time.Duration {
	costs := map[string]time.Duration{}
	for _, dc := range s.DataCentres {
		if dc != s.DataCentre {
			costs[dc] = remoteCost
		}
	}
	return costs
}
