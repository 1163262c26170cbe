package peerload

import (
	"net"
	"slices"
	"time"

	"foxhall/internal/limit"
	"foxhall/internal/peerload/peerloadpb"
)

// countedMost is the number of customers in one datagram, which maxDatagram holds.
const maxCountsPerDatagram = 400

// Quotas tells and takes in calls of customers.
type Quotas interface {
	// Tell returns what to tell, and which instances are to hear it beside those whose turn
	// it is.
	Report(now time.Time) (t limit.QuotaReport, atOnce []string)
	// Started returns the instances that have started, and what to tell them.
	NewInstances(now time.Time) (instances []string, t limit.QuotaReport)
	Merge(t limit.QuotaReport, now time.Time)
}

// OnUses has the quotas tell and take in calls of customers. It is called before Run.
func (x *Exchange) SetQuotas(q Quotas) { x.quotas = q }

// addUses adds what is to be told of customers, and returns who is to hear it at once.
func (x *Exchange) addUsage(load *peerloadpb.Load, now time.Time) (atOnce []string) {
	if x.quotas == nil {
		return nil
	}
	t, atOnce := x.quotas.Report(now)
	load.Run, load.KnownMs = t.Incarnation, uint32(t.ObservedFor.Milliseconds())
	for _, u := range t.Usage {
		load.Customers = append(load.Customers, u.Customer)
		load.Made = append(load.Made, u.Admitted)
		load.Recent = append(load.Recent, u.Recent)
	}
	return atOnce
}

// tellStarted tells instances that have started what they don't know.
func (x *Exchange) reportToNewInstances(conn *net.UDPConn) {
	if x.quotas == nil {
		return
	}
	instances, t := x.quotas.NewInstances(time.Now())
	if len(instances) == 0 {
		return
	}
	x.mu.Lock()
	peers := x.addPeers(nil, instances)
	x.mu.Unlock()
	for part := range slices.Chunk(t.WindowCounts, maxCountsPerDatagram) {
		load := &peerloadpb.Load{From: x.name, DataCentre: x.dataCentre, Run: t.Incarnation, KnownMs: uint32(t.ObservedFor.Milliseconds())}
		for _, c := range part {
			load.CountedCustomers = append(load.CountedCustomers, c.Customer)
			load.Counted = append(load.Counted, c.Calls)
		}
		x.sendTo(conn, load, peers)
	}
}

// hearCounted takes in what an instance tells to one that has started.
func (x *Exchange) mergeCounts(load *peerloadpb.Load, now time.Time) {
	if x.quotas != nil {
		x.quotas.Merge(decodeQuotaReport(load), now)
	}
}

// even reports that lists which go together are of one length.
func isConsistent(l *peerloadpb.Load) bool {
	return len(l.Calls) == len(l.Upstreams) && len(l.Backlog) == len(l.Upstreams) &&
		len(l.Made) == len(l.Customers) && len(l.Recent) == len(l.Customers) &&
		len(l.Counted) == len(l.CountedCustomers)
}

func decodeQuotaReport(l *peerloadpb.Load) limit.QuotaReport {
	t := limit.QuotaReport{From: l.From, Incarnation: l.Run, ObservedFor: time.Duration(l.KnownMs) * time.Millisecond}
	for i, customer := range l.Customers {
		t.Usage = append(t.Usage, limit.CallUsage{Customer: customer, Admitted: l.Made[i], Recent: l.Recent[i]})
	}
	for i, customer := range l.CountedCustomers {
		t.WindowCounts = append(t.WindowCounts, limit.WindowCount{Customer: customer, Calls: l.Counted[i]})
	}
	return t
}
