// Package node runs one instance of foxhall in front of a platform's replicas:
// an entry, which takes callers' calls, or a keeper, which has a disk.
package node

import (
	"net"
	"slices"
	"strconv"
	"time"

	"foxhall/internal/limit"
)

// Settings are what an instance is told at its start.
type Settings struct {
	// Instance names the instance; the name lasts over restarts.
	Instance string
	IP       string
	// DataCentre is where it stands, DataCentres are all there are.
	DataCentre  string
	DataCentres []string
	// Callers and Ready are the addresses served by an entry.
	Callers, Ready string
	// PeerPort is where instances talk to each other; the same on all of them.
	PeerPort int
	// Seeds are IP numbers of other instances, which may be out of date.
	Seeds []string
	// FirstStart is true only when the whole system starts with empty disks.
	FirstStart bool
	// DisksLost is how many disks may be lost at once.
	MaxDiskFailures int
	// DataFolder is empty on an instance without a disk.
	DataFolder string
	// Tolerance is how far customers may be let beyond their quotas.
	Tolerance limit.Tolerance
	// Memory is the memory that the process may use, in bytes.
	Memory int64
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
	// Store is the address of the platform's object store.
	Store string
}

// peerAddress is where the instance at the IP number listens for others.
func (s *Settings) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PeerPort))
}

func (s *Settings) isSeed() bool { return slices.Contains(s.Seeds, s.IP) }

// ways gives the cost of the way to each other data centre.
func (s *Settings) dataCentreRTT() map[string]time.Duration {
	rtt := map[string]time.Duration{}
	for _, dc := range s.DataCentres {
		if dc != s.DataCentre {
			rtt[dc] = remoteCost
		}
	}
	return rtt
}
